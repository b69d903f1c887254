"""After a wave in which cheap machines are taken back, services are started again and again on machines that are gone."""

import asyncio
import copy
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import deployments as site
import standins2 as standins
from standins2 import now

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WAIT_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"
SHARE = 0.5  # spot_taken, share = 0.5
SERVICES = 12


def has_room(platform, worker, spec):
    """Returns whether the machine may run a task of the job and has room for it beside what it holds."""
    kind = platform.types[worker.build]
    held = [t for t in worker.tasks.values() if t.phase != "exited"]
    return (
        worker.alive
        and (not worker.loaners or spec["loaners"])
        and all(
            sum(t.spec[f] for t in held) + spec[f] <= kind[f] + 1e-6 for f in ("cores", "cards", "mem_gb")
        )
    )


def machines_to_take(platform):
    """Returns the machines that report to one controller, at least two, and at most SHARE of all.

    The controller isn't the one that rents machines.
    """
    by_node = {}
    for name, machine in platform.machines.items():
        by_node.setdefault(machine["worker"].node, []).append(name)
    for node, names in by_node.items():
        if node != platform.renter and 2 <= len(names) <= SHARE * len(platform.machines):
            return node, names
    return None, []


async def play(platform, record):
    if not await platform.healthy(15):
        return 2
    specs = [
        platform.spec(
            f"run-{i + 1:06d}",
            lane="partlookup",
            crew="nadi-motors",
            shape="daemon",
            rank="production",
            cores=4.0,
            mem_gb=15.0,
            bundle=f"img-{i:02d}",
            size_gb=1.0,
            guess_s=0.0,
            loaners=True,
        )
        for i in range(SERVICES)
    ]
    for spec in specs:
        status, _ = await platform.submit(spec)
        if status != 201:
            return 2
    up = lambda job: bool(platform.on.get(f"{job}/0"))
    if not await platform.until(lambda: all(up(s["ref"]) for s in specs), 20):
        return 2
    await asyncio.sleep(1)
    node, names = machines_to_take(platform)
    if not names:
        record("no controller but the leader has two machines, and at most half of all, in its care")
        return 2
    record(f"{len(platform.machines)} machines are up, {names} of them report to {node}")
    if TROUBLE:
        for name in names:
            platform.take(name)
    # One of the users whose service goes on withdraws it, as on any day: there is room for another on its machine.
    taken = set(names)
    off = next(
        s["ref"] for s in specs if up(s["ref"]) and platform.on[f"{s['ref']}/0"][0][0].name not in taken
    )
    for _ in range(20):
        status, _ = await platform.ask("knotter-0", "POST", f"/submissions/{off}/withdraw")
        if status == 200:
            break
        await asyncio.sleep(1)
    rest = [s for s in specs if s["ref"] != off]
    over, since, waited, asked = now(), {}, {}, 0.0
    while now() < over + (WAIT_S + 2.0 if TROUBLE else 15.0):
        await asyncio.sleep(0.5)
        for spec in rest:
            job = spec["ref"]
            limit = next(t["cpus_max"] for t in platform.deployment["teams"] if t["name"] == spec["crew"])
            below = platform.cpus[spec["crew"]] + spec["cores"] <= limit
            for machine in list(platform.machines.values()):
                worker = machine["worker"]
                if not up(job) and below and has_room(platform, worker, spec):
                    since.setdefault((job, worker.name), now())
                else:
                    since.pop((job, worker.name), None)
        for job, name in [k for k in since if k[1] not in platform.machines]:
            del since[(job, name)]
        waited = {}
        for (job, name), t in since.items():
            waited[job] = max(waited.get(job, 0.0), now() - t)
        if now() - asked > 10:
            asked = now()
            for spec in rest:
                await platform.ask("knotter-0", "GET", f"/submissions/{spec['ref']}")
        if any(t > WAIT_S for t in waited.values()):
            break
    down = [s["ref"] for s in rest if not up(s["ref"])]
    late = sorted(job for job, t in waited.items() if t > WAIT_S)
    record(f"{len(down)} of {len(rest)} services don't run: {down}")
    record(
        f"room on one machine for over {WAIT_S:.0f} s: {sorted(k for k, t in since.items() if now() - t > WAIT_S)}"
    )
    if late:
        platform.breach("accepted work isn't run", f"{late} wait for over {WAIT_S:.0f} s")
    return 1 if platform.broken else 0


async def scenario(record):
    platform = standins.Platform(
        record, copy.deepcopy(site.CATALOGUE), site.CATALOGUE_TYPES, site.CATALOGUE_NODES
    )
    platform.capacity = lambda build, yard, loaners: 18 if loaners else 0
    await platform.start()
    try:
        return await play(platform, record)
    finally:
        platform.stop()


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, scenario))
