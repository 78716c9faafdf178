"""Common parts of the scripts about a change of the owner: how long do the
lasting tasks of a lost worker stay without a run?"""

import asyncio
import json
import time

import platform_standins as platform

NODES, WORKERS = 4, 8
STANDING = "00000000000000c1"
# An entry goes after three heartbeats of silence.
ENTRY_S = 4.5
# The bounds of the rule: from 6 s after the last run of a task, for 3 s, with
# calm for these 3 s and the 4 s before them.
AFTER_RUN_S, WINDOW_S, CALM_S = 6, 3, 4
WATCH_S = 30


def owner(installation):
    """Returns the node that the platform's store shows as the owner."""
    item = installation.store.items.get("endivedoor/d/shard/0")
    name = json.loads(item[0]).get("node") if item else None
    return next((it for it in installation.nodes if it.name == name), None)


async def wait_for_owner(installation, other_than):
    end = time.monotonic() + 10
    while time.monotonic() < end:
        node = owner(installation)
        if node and node is not other_than and node.process.poll() is None:
            return node
        await asyncio.sleep(0.02)
    raise platform.CannotRun("no owner")


async def remove_owner(installation):
    """Takes the owner away for good; a machine with another name and address
    comes in its place."""
    node = await wait_for_owner(installation, None)
    node.kill()
    installation.nodes.remove(node)
    await asyncio.sleep(1)
    installation.add_node()
    await wait_for_owner(installation, node)


async def lose_worker(installation):
    """Loses the worker with the most runs for good; one of 8."""
    worker = max(installation.workers, key=lambda it: len(it.runs))
    tasks = [task for task, _ in worker.runs]
    await worker.crash()

    async def expire():
        await asyncio.sleep(ENTRY_S)
        await installation.store.erase("servers/" + worker.id)

    return tasks, asyncio.ensure_future(expire())


async def wait_for_runs(installation, record, tasks, lost, calm_at):
    """Waits until lost tasks run again.

    calm_at returns when the last disturbance ended, None before that.
    Returns whether they did so within the bounds of the rule."""
    end = lost + WATCH_S
    back, calm = {}, None
    while time.monotonic() < end and (len(back) < len(tasks) or not calm):
        await asyncio.sleep(0.02)
        calm = calm or calm_at()
        for task in tasks:
            if task not in back and installation.worker_of(task)[0]:
                back[task] = time.monotonic() - lost
    if not tasks or not calm:
        raise platform.CannotRun("no tasks on the worker, or no calm")
    bound = max(AFTER_RUN_S, calm - lost + CALM_S) + WINDOW_S
    record.note(f"calm from {calm - lost:.2f} s after the loss of the worker; its tasks run "
                f"again after { {t: round(s, 2) for t, s in back.items()} } s, "
                f"bound {bound:.2f} s")
    return all(back.get(it, WATCH_S) <= bound for it in tasks)


async def start_standing_job(installation):
    """Starts the installation and a job of lasting tasks, with room to spare."""
    await installation.start()
    await installation.submit(
        STANDING, [{"count": 2 * WORKERS, "cpu": 1000, "mem_mb": 2000,
                    "max_per_server": 4, "long_running": True}], [None])
    await asyncio.sleep(2)
