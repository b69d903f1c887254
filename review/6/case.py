"""A low-rank array stops halfway for good, since an array of a higher rank waits for room that doesn't come."""

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
MACHINES = 9  # "Up to about 32 machines"
OFFER = ("paramo4", "guayaquil-puerto", False)
TASKS = 31


def room(platform, worker, spec):
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


async def play(platform, record):
    if not await platform.healthy(15):
        return 2

    def up(job):
        return sum(1 for strand, holders in platform.on.items() if holders and strand.split("/")[0] == job)

    def done(job):
        return sum(1 for strand in platform.results if strand.split("/")[0] == job)

    async def run(ref, expected, seconds, **fields):
        status, _ = await platform.submit(platform.spec(ref, size_gb=0.02, **fields))
        if status != 201 or not await platform.until(lambda: up(ref) >= expected, seconds):
            record(f"{ref} didn't start: {status}, {up(ref)} of {expected} tasks")
            return False
        return True

    # 8 machines run a replica of 3 CPUs each, and one a task of an array of normal rank that needs a whole machine.
    if not await run(
        "run-000001",
        MACHINES - 1,
        12,
        lane="quotelive",
        crew="quote-desk",
        shape="daemon",
        rank="high",
        strands=MACHINES - 1,
        cores=3.0,
        mem_gb=6.0,
        guess_s=0.0,
    ) or not await run(
        "run-000002",
        1,
        12,
        lane="raterefresh",
        crew="quote-desk",
        strands=1,
        cores=4.0,
        mem_gb=12.0,
        guess_s=40.0,
    ):
        return 2
    # The job in question: tasks of 1 CPU in the rest of the eight machines.
    job = "run-000003"
    if not await run(
        job,
        1,
        8,
        lane="claimstats",
        crew="pricing-ops",
        rank="best_effort",
        strands=TASKS,
        cores=1.0,
        mem_gb=3.2,
        guess_s=5.0,
    ):
        return 2
    if not await platform.until(lambda: done(job) >= 8, 15):
        return 2
    record(f"{len(platform.machines)} machines are up, {done(job)} of {TASKS} tasks are done")
    spec = platform.specs[job]
    if TROUBLE:
        platform.capacity = lambda *offer: 0  # the machine that stops isn't replaced: "no capacity"
        platform.on["run-000002/0"][0][0].stop("it stops with all that is on it")
    over, room_since, waited, asked = now(), {}, 0.0, 0.0
    limit = next(t["cpus_max"] for t in platform.deployment["teams"] if t["name"] == spec["crew"])
    while now() < over + WAIT_S + 13.0:
        await asyncio.sleep(0.5)
        waits = done(job) + up(job) < TASKS
        below = platform.cpus[spec["crew"]] + spec["cores"] <= limit
        for machine in list(platform.machines.values()):
            worker = machine["worker"]
            if waits and below and room(platform, worker, spec):
                room_since.setdefault(worker.name, now())
            else:
                room_since.pop(worker.name, None)
        waited = max([now() - t for t in room_since.values()], default=0.0)
        if now() - asked > 5:
            asked = now()
            _, answer = await platform.ask("knotter-1", "GET", f"/submissions/{job}")
            if answer and answer.get("phase") == "done":
                break
        if waited > WAIT_S:
            break
    names = [n for n, t in room_since.items() if now() - t > WAIT_S]
    record(f"{done(job)} of {TASKS} tasks are done, {up(job)} run; room for {waited:.1f} s on {names}")
    if waited > WAIT_S:
        platform.breach("accepted work isn't run", f"{TASKS - done(job)} tasks wait for over {WAIT_S:.0f} s")
    elif done(job) < TASKS:
        return 2
    return 1 if platform.broken else 0


async def scenario(record):
    platform = standins.Platform(
        record, copy.deepcopy(site.QUOTE_ENGINE), site.QUOTE_ENGINE_TYPES, site.QUOTE_ENGINE_NODES
    )
    platform.capacity = lambda *offer: MACHINES if offer == OFFER else 0
    await platform.start()
    try:
        return await play(platform, record)
    finally:
        platform.stop()


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, scenario))
