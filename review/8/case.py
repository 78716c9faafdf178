"""A worker answers starts with 503 for some seconds while jobs wait for room."""
import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import harness  # noqa: E402
from http11 import call  # noqa: E402

WORKERS = 12
GREY_S = 6.5
WAITING = 20
BOOKING = {**harness.ROUTE, "name": "r-booking", "prefix": "/booking/",
           "target_latency_ms": 250, "stretch": 1.5}
# One task that lasts fills each worker; jobs of one task each wait.
FILL = {"spec": '{"lasts":true}', "steps": [
    {"count": 1, "cpu": 31000, "mem_mb": 64000, "estimated_ms": 400, "long_running": True}]}
SMALL = {"spec": '{"work_ms":30000}', "steps": [
    {"count": 1, "cpu": 2100, "mem_mb": 4200, "estimated_ms": 30000}]}


async def accepted(case, daemon, job, body, route):
    for _ in range(10):
        status, _ = await case.ask(daemon, "POST", job, body, route=route, quiet=True)
        if status == 200:
            return
        await asyncio.sleep(1)
    raise harness.CannotRun("a job is not accepted")


async def main(case):
    await case.start_store()
    await case.configure(routes=[harness.ROUTE, BOOKING])
    for i in range(WORKERS):
        case.start_worker("w%d" % i, case.zones[i % 3], ["a", "r1-%d" % (i % 3)])
    daemons = []
    for zone in case.zones:
        case.start_daemon("edge-" + zone, zone)
        daemons.append("edge-" + zone)
    for it in daemons:
        await case.ready(it)
    await asyncio.sleep(1)
    for i in range(WORKERS):
        await accepted(case, daemons[0], "f%015d" % i, FILL, harness.ROUTE)

    def began(what="started"):
        return {r["task"][:16]: r["worker"] for r in case.worker_events() if r["what"] == what}

    for _ in range(100):
        if len(began()) == WORKERS:
            break
        await asyncio.sleep(0.1)
    else:
        raise harness.CannotRun("the workers are not full: %s" % began())
    jobs = ["b%015d" % i for i in range(WAITING)]
    for i, job in enumerate(jobs):
        await accepted(case, daemons[i % 3], job, SMALL, BOOKING)
    accepted_at = time.time()
    case.note("%d jobs are accepted" % WAITING)
    await asyncio.sleep(6)
    broken = []

    async def look(when):
        """Compares what each node says with what has begun before and after it."""
        worst = 0
        for it in daemons:
            before = [j for j in jobs if j not in began()]
            status, answer = await call(
                harness.IP, case.daemons[it]["callers"], "GET", BOOKING["prefix"], None,
                {"Host": BOOKING["host"]})
            after = [j for j in before if j not in began()]
            case.note("%s: %s says %s %s; of %d jobs accepted %.1f s before, %d have not begun"
                      % (when, it, status, answer, WAITING, time.time() - accepted_at, len(after)))
            if status == 200 and 2 * answer["pending"] < len(after):
                broken.append("MIXED: %s: %s gives %d as pending, %d have not begun"
                              % (when, it, answer["pending"], len(after)))

    await look("workers full")
    victim = began()["f%015d" % 3].split("-")[1]
    config = case.workers[victim]
    if case.trouble:
        case.note("%s answers starts with 503 from now on" % victim)
        await call(harness.IP, config["port"], "POST", "/standin/grey", {"on": True})
    await case.ask(daemons[1], "DELETE", "f%015d" % 3)
    until = time.time() + GREY_S
    await asyncio.sleep(4)
    await look("4 s later")
    await asyncio.sleep(max(0, until - time.time()))
    if case.trouble:
        await call(harness.IP, config["port"], "POST", "/standin/grey", {"on": False})
        case.note("%s is sound again" % victim)
    await asyncio.sleep(3)
    await look("after that")
    return broken


harness.run(FOLDER, main)
