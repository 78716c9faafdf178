"""The store is down, leases run out, it comes back slow, and then the machine
that wrote last is lost for good."""
import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import harness  # noqa: E402
from http11 import call  # noqa: E402

DOWN_S = 4.5
SLOW_S = 4.5
SLOWER = 60
LOST_AFTER_S = 0.65    # from the return of the store
FINISH_S = 14
BODY = {"spec": '{"work_ms":600}', "steps": [
    {"count": 4, "cpu": 2100, "mem_mb": 4200, "estimated_ms": 600}]}


async def accept(case, daemons, job, within):
    end = time.time() + within
    i = 0
    while time.time() < end:
        status, _ = await case.ask(daemons[i % len(daemons)], "POST", job, BODY)
        if status == 200:
            return True
        i += 1
        await asyncio.sleep(0.5)
    return False


async def main(case):
    await case.start_store()
    await case.configure()
    for i in range(8):
        case.start_worker("w%d" % i, case.zones[i % 3], ["a", "r1-%d" % (i % 3)])
    daemons = []
    for i in range(8):
        daemons.append("edge-%s-%d" % (case.zones[i % 3], i // 3 + 1))
        case.start_daemon(daemons[-1], case.zones[i % 3])
    for it in daemons:
        await case.ready(it)
    await asyncio.sleep(1)

    def ended(job):
        return len({r["task"] for r in case.worker_events() if r["what"] == "ended"
                    and r["how"] == "done" and r["task"].startswith(job)})

    async def done(job, within):
        end = time.time() + within
        while time.time() < end and ended(job) < 4:
            await asyncio.sleep(0.1)
        case.note("job %s: %d of 4 tasks done" % (job, ended(job)))
        return ended(job) == 4

    async def mode(**fields):
        case.note("store: %s" % (fields or "as usual"))
        await call(harness.IP, case.store, "POST", "/platform/mode", fields)

    async def claims():
        _, answer = await call(harness.IP, case.store, "GET", "/platform/claims")
        return answer["claims"]

    if not await accept(case, daemons, "a" * 16, 10) or not await done("a" * 16, 15):
        raise harness.CannotRun("the first job does not run")
    lost = None
    if case.trouble:
        before = len(await claims())
        await mode(down=True)
        await asyncio.sleep(DOWN_S)
        await mode(slower=SLOWER)
        back = time.time()
        while time.time() < back + LOST_AFTER_S or len(await claims()) == before:
            if time.time() > back + SLOW_S:
                raise harness.CannotRun("no machine has claimed the shard")
            await asyncio.sleep(0.02)
        for at, node, lease in (await claims())[before:]:
            case.note("%.3f s after the return: %s writes the shard's entry, lease %s"
                      % (at - back, node, lease))
        lost = (await claims())[-1][1]
        case.note("%.3f s after the return %s is lost for good" % (time.time() - back, lost))
        case.signal(lost, signal.SIGKILL)
        await asyncio.sleep(2)
        case.start_daemon("edge-%s-9" % case.zones[0], case.zones[0])
        daemons.append("edge-%s-9" % case.zones[0])
        await asyncio.sleep(max(0, back + SLOW_S - time.time()))
        await mode()
    else:
        await asyncio.sleep(DOWN_S + SLOW_S)
    daemons = [it for it in daemons if it != lost]
    await asyncio.sleep(3)
    if not await accept(case, daemons, "b" * 16, 15):
        raise harness.CannotRun("the second job is not accepted")
    if await done("b" * 16, FINISH_S + 3):
        return []
    started = [r for r in case.worker_events()
               if r["what"] == "started" and r["task"].startswith("b" * 16)]
    await case.ask(daemons[0], "GET", "b" * 16)
    for at, node, lease in (await claims())[-1:]:
        case.note("the shard's entry still names %s; its lease is %s" % (node, lease))
    return ["LOST: %d s after the second job was accepted, with all workers empty, it has "
            "nothing running and %d starts" % (FINISH_S + 3, len(started))]


harness.run(FOLDER, main)
