"""An array whose tasks must be in the same zone; the controller that places it loses the state service for 4 s."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s

QUITO, GUAYAQUIL = "quito-norte", "guayaquil-puerto"
JOB = "run-000500"
CHUNK_TASKS = 38
TASKS = CHUNK_TASKS + 1
CUT_S = 4.0


def shard(machine):
    h = 5381
    for c in machine.encode():
        h = (h * 33 + c) & 0xFFFFFFFF
    return ((h * 2654435761 & 0xFFFFFFFF) >> 8) % 32


def machine_names(wanted):
    """The first free names whose shard number has the wanted parity."""
    names, number = [], 231
    for odd in wanted:
        while shard("i-%06d" % number) % 2 != odd:
            number += 1
        names.append("i-%06d" % number)
        number += 1
    return names


def deployment():
    return {
        "initial_size": 3,
        "zones": [QUITO, GUAYAQUIL],
        "teams": [
            {"name": "quote-desk", "cpus": 72.0, "cpus_max": 208.0, "gpus": 0.0, "gpus_max": 0.0},
            {"name": "pricing-ops", "cpus": 128.0, "cpus_max": 424.0, "gpus": 0.0, "gpus_max": 0.0},
        ],
        "objectives": [],
        "workers": {
            "report_s": 3.0,
            "lease_s": 44.0,
            "gang_wait_s": 45.0,
            "gang_peer_s": 5.0,
            "cancel_s": 69.0,
        },
        "state": {
            "rps": 250.0,
            "write_rps": 60.0,
            "value_kb": 8.0,
            "txn_ops": 32,
            "next": {"write_rps": 42.0, "value_kb": 2.0, "txn_ops": 10},
        },
        "cloud": {"rps": 6.0, "list_lag_s": 6.0},
        "resources": {"cpu": 0.24, "ram_mb": 104.0, "sockets": 3500},
        "clock_off_ms": 1000.0,
    }


async def until(condition, seconds):
    for _ in range(int(seconds / 0.02)):
        if condition():
            return True
        await asyncio.sleep(0.02)
    return False


async def play(record, folder, trouble):
    world = s.World(record, deployment(), [s.machine_type("paramo4", 4, 16, [QUITO, GUAYAQUIL])], folder)
    try:
        await world.start([("knotter-0", QUITO), ("knotter-1", GUAYAQUIL), ("knotter-2", QUITO)])
        if not await world.wait_healthy():
            return None
        first, _, third = world.controllers
        fails = asyncio.Event()
        done, broken, on = set(), [], {}

        async def run(task):
            if task.number:
                await asyncio.sleep(0.4)
                return "done"
            if task.attempt == 1:
                await fails.wait()
                return "error"
            await asyncio.sleep(12)
            return "done"

        def started(worker, task):
            others = [(w.zone, t.name) for t, w in on.items() if w.zone != worker.zone]
            if others:
                record("RULE: %s starts in %s while the job has %s" % (task.name, worker.zone, others))
                broken.append(task.name)
            on[task] = worker

        def left(worker, task, cause):
            on.pop(task, None)
            if cause == "done":
                done.add(task.number)

        world.run_of, world.on_start, world.on_left = run, started, left
        x0, x1 = machine_names([1, 0])
        await s.Worker(world, x0, "paramo4", QUITO).start()
        await asyncio.sleep(4)
        job = s.spec(JOB, strands=TASKS, cores=4.0, mem_gb=12.0, together=True, guess_s=1.0)
        status, _ = await world.submit([first, third], job)
        if status != 201 or not await until(lambda: on, 20):
            return None
        await s.Worker(world, x1, "paramo4", QUITO).start()
        second_chunk = asyncio.Event()

        def sent(data):
            if ("fk/l/t/%s/00001" % JOB).encode() in data and not second_chunk.is_set():
                second_chunk.set()
                if trouble:
                    first.link.begin_cut()

        first.link.on_sent = sent
        if not await until(lambda: len(done) >= CHUNK_TASKS - 6, 70):
            return None
        y1 = s.Worker(world, "i-000300", "paramo4", GUAYAQUIL)
        await y1.start()
        if not await until(second_chunk.is_set, 30):
            return None
        await asyncio.sleep(0.2)
        fails.set()
        await asyncio.sleep(CUT_S - 0.2)
        if trouble:
            await first.link.end_cut()
        await asyncio.sleep(8)
        return not broken
    finally:
        await world.stop()


s.main(play)
