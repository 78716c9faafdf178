"""Stand-in of one worker (PROTOCOL.md, "Running tasks" and "Service discovery").

It writes what it is told and what its runs do to a file, one JSON object a
line. The specification of a job is a JSON object: work_ms is how long a task
works, until_ms at which Unix time it ends (a task that lasts never ends by
itself); lasts: the task lasts.

Usage: worker.py CONFIG.json
CONFIG: id, ip, port, store [ip, port], zone, service, labels, cpu, mem_mb, log"""
import asyncio
import base64
import json
import sys
import time

from http11 import call, serve

HOLD_MAX_MS = 10000
STOP_MS = 200
HEARTBEAT_S = 1.5
START_UP_MS = 50


class Worker:
    def __init__(self, config):
        self.c = config
        self.t0 = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.deadline = 0
        self.runs = {}      # (task, run) -> dict
        self.highest = {}   # task -> highest run that was stopped or has ended
        self.ended = []
        self.last_end = 0
        self.sequence = 0
        self.state = "ready"
        self.grey = False
        self.news = asyncio.Event()
        self.file = open(config["log"], "a", buffering=1)

    def clock(self):
        return int((time.monotonic() - self.t0) * 1000)

    def log(self, what, **fields):
        self.file.write(json.dumps({"at": round(time.time(), 3), "worker": self.c["id"],
                                    "what": what, **fields}) + "\n")

    def end(self, key, how):
        run = self.runs.pop(key)
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.last_end += 1
        self.ended.append([self.last_end, key[0], key[1], how, run["saved"]])
        self.log("ended", task=key[0], run=key[1], how=how, end=self.last_end)
        self.news.set()
        self.news = asyncio.Event()

    async def advance(self):
        while True:
            await asyncio.sleep(0.02)
            now = self.clock()
            for key, run in list(self.runs.items()):
                if run["stop_at"] and now >= run["stop_at"]:
                    self.end(key, "stopped")
                elif now >= self.deadline:
                    self.end(key, "lapsed")
                elif not run["lasts"] and now - run["began"] >= run["work_ms"]:
                    self.end(key, "done")

    async def beat(self):
        while True:
            self.sequence += 1
            entry = {"service": self.c["service"], "zone": self.c["zone"],
                     "address": "%s:%d" % (self.c["ip"], self.c["port"]),
                     "version": "v1", "slots": 8, "state": self.state,
                     "cold_remaining_ms": 0, "labels": self.c["labels"],
                     "capacity": {"cpu": self.c["cpu"], "mem_mb": self.c["mem_mb"], "gpu": 0},
                     "clock_ms": self.clock(), "sequence": self.sequence, "born": self.born}
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            await call(*self.c["store"], "POST", "/platform/put",
                       {"key": "servers/" + self.c["id"], "value": value})
            await asyncio.sleep(HEARTBEAT_S)

    def answer(self, status, **fields):
        return status, {"clock_ms": self.clock(), "born": self.born, **fields}

    def extend(self, body):
        if "deadline_ms" in body:
            self.deadline = max(self.deadline,
                                min(body["deadline_ms"], self.clock() + HOLD_MAX_MS))

    async def handle(self, request):
        if request.path == "/standin/grey":  # the case's, not the system's
            self.grey = request.json()["on"]
            self.log("unhealthy" if self.grey else "sound")
            return 200, {}
        expected = request.headers.get("expect-instance")
        if expected and expected != self.c["id"]:
            return 421, {}
        body = request.json()
        if body.get("fencing_token", 0) < self.token:
            return self.answer(409, reason="fence")
        self.token = body.get("fencing_token", 0)
        if request.path == "/endivedoor/hold":
            return await self.hold(body)
        key = (body.get("task"), body.get("run"))
        if request.path == "/endivedoor/run-start" and self.grey:
            self.log("refused", task=key[0], run=key[1], reason="unhealthy")
            return 503, {}
        if request.path == "/endivedoor/run-start":
            return self.start(key, body)
        if request.path == "/endivedoor/run-stop":
            run = self.runs.get(key)
            self.log("stop", task=key[0], run=key[1], there=run is not None)
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            if run and not run["stop_at"]:
                run["stop_at"] = self.clock() + STOP_MS
            return self.answer(200)
        if request.path == "/endivedoor/pace":
            if key in self.runs:
                self.runs[key]["percent"] = body["percent"]
            return self.answer(200)
        return 404, {}

    def start(self, key, body):
        if key in self.runs:
            return self.answer(200)
        self.extend(body)
        reason = ("old" if key[1] <= self.highest.get(key[0], 0) else
                  "late" if body["deadline_ms"] <= self.clock() else None)
        if reason:
            self.log("refused", task=key[0], run=key[1], reason=reason)
            return self.answer(409, reason=reason)
        spec = json.loads(body["spec"])
        work_ms = spec.get("work_ms", 1000)
        if "until_ms" in spec:
            work_ms = max(0, spec["until_ms"] - int(time.time() * 1000) - START_UP_MS)
        self.runs[key] = {
            "began": self.clock() + START_UP_MS, "stop_at": 0, "percent": 100,
            "work_ms": work_ms, "lasts": spec.get("lasts", False), "saved": body.get("checkpoint", "")}
        self.log("started", task=key[0], run=key[1], token=self.token)
        return self.answer(200)

    async def hold(self, body):
        self.extend(body)
        self.ended = [e for e in self.ended if e[0] > body.get("last_seen", 0)]
        if body.get("wait_ms") and not self.ended:
            try:
                await asyncio.wait_for(self.news.wait(), min(2000, body["wait_ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[t, n, r["saved"], r["percent"] if self.clock() >= r["began"] else 0, 500]
                   for (t, n), r in self.runs.items()]
        return self.answer(200, running=running, ended=self.ended[:500])


async def main():
    worker = Worker(json.load(open(sys.argv[1])))
    server = await serve(worker.c["ip"], worker.c["port"], worker.handle)
    worker.log("up", born=worker.born)
    await asyncio.gather(server.serve_forever(), worker.advance(), worker.beat())


asyncio.run(main())
