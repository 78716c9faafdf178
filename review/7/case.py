"""The owner is killed just before many small tasks end on a worker. Its heir gets
a first list of 500 ends."""
import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import harness  # noqa: E402
from http11 import call  # noqa: E402

SMALL = 640
WORK_S = 6.0
KILL_S = 0.3    # before the small tasks end
DARK_S = 3.5
LONG, SHORT = "1" * 16, "2" * 16
# One task that works for a minute, and many small ones for the rack of one worker,
# which work until the same moment.
LONG_BODY = {"spec": '{"work_ms":60000}', "steps": [
    {"count": 1, "cpu": 2000, "mem_mb": 1000, "estimated_ms": 60000, "requirements": "k2"}]}
SHORT_STEP = {"count": SMALL, "cpu": 45, "mem_mb": 100, "estimated_ms": int(WORK_S * 1000),
              "requirements": "r1-1"}


async def main(case):
    await case.start_store()
    await case.configure()
    for i in [0] + list(range(2, 8)):
        labels = ["k2", "r1-1"] if i == 0 else ["a", "r1-3"]
        case.start_worker("w%d" % i, case.zones[i % 3], labels)
    daemons = []
    for zone in case.zones:
        daemons.append("edge-" + zone)
        case.start_daemon(daemons[-1], zone)
    for it in daemons:
        await case.ready(it)
    await asyncio.sleep(1)

    def events(what, job):
        return [r for r in case.worker_events() if r["what"] == what and r["task"][:16] == job]

    async def accept(job, body):
        for i in range(12):
            status, _ = await case.ask(daemons[i % 3], "POST", job, body)
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise harness.CannotRun("a job is not accepted")

    await accept(LONG, LONG_BODY)
    for _ in range(100):
        if events("started", LONG):
            break
        await asyncio.sleep(0.1)
    else:
        raise harness.CannotRun("the long task does not start")
    # Another worker of its kind, with room.
    case.start_worker("w1", case.zones[1], ["k2", "r1-2"])
    await asyncio.sleep(3)
    _, answer = await call(harness.IP, case.store, "GET", "/platform/claims")
    owner = answer["claims"][-1][1]
    case.note("%s owns the shard" % owner)
    end = time.time() + WORK_S
    await accept(SHORT, {"spec": '{"until_ms":%d}' % (end * 1000), "steps": [SHORT_STEP]})
    await asyncio.sleep(max(0, end - KILL_S - time.time()))
    if len(events("started", SHORT)) < 500:
        raise harness.CannotRun("too few small tasks have started")
    case.note("%d small tasks have started, %d have ended"
              % (len(events("started", SHORT)), len(events("ended", SHORT))))
    if case.trouble:
        case.signal(owner, signal.SIGKILL)
        await asyncio.sleep(DARK_S)
        case.start_daemon(owner, owner.split("-", 1)[1])
    await asyncio.sleep(20)
    broken = []
    runs = {}
    for row in case.worker_events():
        if row.get("task", "")[:16] != LONG or row["what"] not in ("started", "ended"):
            continue
        case.note("long task: run %d %s on %s at %.3f%s" % (
            row["run"], row["what"], row["worker"], row["at"] - case.begun,
            " as " + row["how"] if "how" in row else ""))
        if row["what"] == "ended":
            runs.pop((row["worker"], row["run"]), None)
            continue
        for worker, run in runs:
            broken.append("TWICE: run %d starts on %s while run %d is at work on %s"
                          % (row["run"], row["worker"], run, worker))
        runs[(row["worker"], row["run"])] = True
    case.note("%d small tasks have ended" % len(events("ended", SHORT)))
    return broken


harness.run(FOLDER, main)
