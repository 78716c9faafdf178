"""Workers crash one at a time and come back; a task that lasts was on them."""
import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import harness  # noqa: E402

JOB = "5c0e7a21d94b36f8"
BODY = {"spec": '{"lasts":true}', "steps": [
    {"count": 1, "cpu": 6400, "mem_mb": 13000, "estimated_ms": 400,
     "requirements": "k2", "long_running": True}]}
DOWN_S = 4.5
MOST_CRASHES = 4


async def main(case):
    await case.start_store()
    await case.configure()
    for i in range(8):
        case.start_worker("w%d" % i, case.zones[i % 3],
                          ["k2" if i < 2 else "a", "r1-%d" % (i % 3)])
    daemons = []
    for zone in case.zones:
        case.start_daemon("edge-" + zone, zone)
        daemons.append("edge-" + zone)
    for it in daemons:
        await case.ready(it)
    await asyncio.sleep(1)
    for _ in range(10):
        status, _ = await case.ask(daemons[0], "POST", JOB, BODY)
        if status == 200:
            break
        await asyncio.sleep(1)

    def count(what):
        return len([r for r in case.worker_events() if r["what"] == what])

    def place():
        """The worker that runs the task, by its own account."""
        at = None
        for row in case.worker_events():
            if row["what"] == "started":
                at = row["worker"].split("-")[1]
        return at

    for _ in range(100):
        if place():
            break
        await asyncio.sleep(0.1)
    else:
        raise harness.CannotRun("the task does not start")
    await asyncio.sleep(6)
    if case.trouble:
        for crash in range(1, MOST_CRASHES + 1):
            victim = place()
            starts = count("started")
            case.note("crash %d: of %s, which runs the task" % (crash, victim))
            case.signal(victim, signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            case.start_worker(victim)
            case.note("%s is back" % victim)
            # The task starts again, and then works for some seconds.
            for _ in range(80):
                if count("started") > starts:
                    break
                await asyncio.sleep(0.1)
            status, answer = await case.ask(daemons[crash % 3], "GET", JOB)
            if answer.get("state") == "failed":
                break
            await asyncio.sleep(4)
    else:
        await asyncio.sleep(20)
    await asyncio.sleep(8)
    broken = []
    failed = [r for r in case.worker_events()
              if r["what"] == "ended" and r["how"] == "failed"]
    for it in daemons:
        status, answer = await case.ask(it, "GET", JOB)
        if status == 200 and answer.get("state") == "failed" and not failed:
            broken.append("LOST: %s shows the job as failed; nobody cancelled it, and no "
                          "run of its task has ended as failed" % it)
        if status == 410:
            broken.append("LOST: %s does not know the job" % it)
    return broken


harness.run(FOLDER, main)
