"""Two crashes of workers under one task: is its job shown as `failed`?"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import platform_standins as platform  # noqa: E402

NODES, WORKERS = 3, 8
CRASHES = 2
# Time between the start of a run and the crash of its worker, and for which
# the worker is down; srv_crash of the site lasts up to 4.5 s.
CRASH_AFTER_S, DOWN_S = 3.0, 1.0
# One lasting task on each worker, and a batch job with one task.
STANDING, BATCH = "00000000000000c1", "00000000000000b1"
BATCH_WORK_S = 15.0
WATCH_S = 45


async def crash_under(installation, task):
    """Crashes the worker of a task, CRASHES times; one of 8 workers each."""
    run = 0
    for _ in range(CRASHES):
        worker, run = await installation.wait_for_run(task, run, 15)
        if not worker:
            return
        await asyncio.sleep(CRASH_AFTER_S)
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.start()


async def case(record, trouble):
    installation = platform.Installation(record, NODES, WORKERS)
    try:
        await installation.start()
        await installation.submit(
            STANDING, [{"count": WORKERS, "cpu": 1000, "mem_mb": 2000,
                        "max_per_server": 1, "long_running": True}], [None])
        await asyncio.sleep(3)
        await installation.submit(
            BATCH, [{"count": 1, "cpu": 3500, "mem_mb": 6400, "estimated_ms": 15000}],
            [BATCH_WORK_S])
        if trouble:
            await crash_under(installation, BATCH + ".0.0.0")
        states = {}
        for _ in range(WATCH_S):
            await asyncio.sleep(1)
            for job in (STANDING, BATCH):
                states[job] = await installation.state(job) or states.get(job)
            if "failed" in states.values() or states[BATCH] == "succeeded":
                break
        ends = installation.ends("failed")
        record.note(f"states {states}; runs that ended failed: {ends}")
        if "failed" in states.values():
            # Only ends `failed` count as attempts.
            return ends >= installation.MAX_ATTEMPTS
        if states[BATCH] != "succeeded":
            raise platform.CannotRun("the batch job has not ended in time")
        return True
    finally:
        installation.stop()


sys.exit(platform.main(case, FOLDER))
