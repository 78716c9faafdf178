"""Stand-ins of an installation's platform for the review scripts: the store,
the workers, a client, and the processes of the system. Only the standard
library is used. All addresses are loopback addresses."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LOOPBACK = "127.0.0.1"
# Below the ports that the system hands out, above those of the tests.
FIRST_PORT, LAST_PORT = 26000, 32000


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Ports:
    """Hands out free ports."""

    def __init__(self):
        self.next = random.Random(os.getpid()).randrange(FIRST_PORT, LAST_PORT - 400)

    def take(self):
        while self.next < LAST_PORT:
            self.next += 1
            with socket.socket() as s:
                try:
                    s.bind((LOOPBACK, self.next))
                    return self.next
                except OSError:
                    continue
        raise CannotRun("no free port")


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# HTTP


async def read_message(reader):
    """Returns the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class HttpServer:
    """Serves HTTP/1.1. The handler returns (status, body), or None to close
    the connection without an answer."""

    def __init__(self, port, handler):
        self.port, self.handler, self.server = port, handler, None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)

    async def stop(self):
        """Closes the port and all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for it in list(self.writers):
            it.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                answer = await self.handler(method, path, headers, body)
                if answer is None:
                    break
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(port, method, path, body=None, host=None, timeout=3.0):
    """Returns (status, body); (None, cause) if there is no answer."""
    try:
        return await asyncio.wait_for(
            exchange(port, method, path, body, host), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as x:
        return None, type(x).__name__


async def exchange(port, method, path, body, host):
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    try:
        text = b"" if body is None else json.dumps(body).encode()
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {host or LOOPBACK}\r\n"
            f"Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        line, _, answer = await read_message(reader)
        return int(line.split(" ")[1]), json.loads(answer or b"{}")
    finally:
        writer.close()


# The store


class Store:
    """Linearizable key-value store with revisions, leases and watches."""

    PAGE = 500

    def __init__(self, port):
        self.server = HttpServer(port, self.handle)
        self.port = port
        self.revision = 100
        self.items = {}  # key -> [value, revision, created, lease]
        self.history = []  # (revision, key, item or None)
        self.leases = {}  # id -> [ttl in seconds, end]
        self.last_lease = 0
        self.changed = asyncio.Condition()

    async def start(self):
        await self.server.start()
        asyncio.ensure_future(self.expire())

    def write(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = [value, self.revision, created, lease]
        self.history.append((self.revision, key, list(self.items[key])))

    def remove(self, key):
        if self.items.pop(key, None):
            self.history.append((self.revision, key, None))

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """A write of the operator or of a worker."""
        self.revision += 1
        self.write(key, json.dumps(value).encode())
        await self.wake()

    async def erase(self, key):
        self.revision += 1
        self.remove(key)
        await self.wake()

    async def expire(self):
        while True:
            await asyncio.sleep(0.03)
            for lease, (_, end) in list(self.leases.items()):
                if time.monotonic() >= end:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        del self.leases[lease]
        self.revision += 1
        for key in [k for k, it in self.items.items() if it[3] == lease]:
            self.remove(key)
        await self.wake()

    @staticmethod
    def row(key, item):
        return {"key": key, "value": base64.b64encode(item[0]).decode(),
                "revision": item[1], "created": item[2], "lease": item[3]}

    async def handle(self, method, path, headers, body):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.removeprefix("/endivedoor/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            if not item:
                return 404, {"as_of": self.revision}
            return 200, {**self.row(query["key"], item), "as_of": self.revision}
        if name == "kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            rows = [self.row(k, self.items[k]) for k in keys[:self.PAGE]]
            return 200, {"items": rows, "has_more": len(keys) > self.PAGE,
                         "as_of": self.revision}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return await self.transact(json.loads(body))
        if name == "kv-lease":
            self.last_lease += 1
            ttl = max(json.loads(body)["ttl_ms"], 1000)
            self.leases[self.last_lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if name.startswith(("kv-keep/", "kv-lease-end/")):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                await self.end_lease(lease)
                return 200, {}
            ttl = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl
            return 200, {"ttl_ms": int(ttl * 1000)}
        return 404, {}

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                self.row(key, item) if item else
                {"key": key, "revision": revision, "deleted": True}
                for revision, key, item in self.history
                if revision > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, body):
        holds, rows = True, []
        for it in body.get("expected_revision", []):
            item = self.items.get(it["key"])
            holds = holds and it["revision"] == (item[1] if item else 0)
            if item:
                rows.append(self.row(it["key"], item))
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        if len(body.get("expected_revision", [])) + len(puts) + len(deletes) > 32:
            return 400, {}
        if any(it["key"].startswith(("op/", "servers/")) for it in puts):
            return 403, {}
        if any(it.get("lease") and it["lease"] not in self.leases for it in puts):
            return 404, {}
        if not holds:
            return 412, {"items": rows}
        self.revision += 1
        for it in puts:
            self.write(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
        for it in deletes:
            self.remove(it)
        await self.wake()
        return 200, {"revision": self.revision}


# The workers


class Run:
    def __init__(self, checkpoint):
        self.begin = time.monotonic()
        self.work = 0.0
        self.checkpoint = checkpoint
        self.percent = 100
        self.stop_at = None


class Worker:
    """A worker of one service. It does what it is told; its tasks end `done`
    after the work that `work_of` names (None: they last)."""

    TICK_S = 0.02
    STOP_S = 0.3  # at most stop_ms
    ENDED_ROWS = 500

    def __init__(self, store, record, port, name, service, zone, rack, work_of,
                 cpu=32000, mem_mb=128000, heartbeat_s=1.5, hold_max_s=10.0):
        self.store, self.record, self.port, self.id = store, record, port, name
        self.service, self.zone = service, zone
        self.labels, self.cpu, self.mem_mb = ["a", rack], cpu, mem_mb
        self.work_of, self.heartbeat_s, self.hold_max_s = work_of, heartbeat_s, hold_max_s
        self.server = HttpServer(port, self.handle)
        self.sequence = 0
        self.up = False
        self.ends_of = {}  # how -> number of ends, for the checks

    async def start(self):
        self.begin = time.monotonic()
        self.born = int(time.time() * 1000)
        self.runs = {}  # (task, run) -> Run
        self.ended = []
        self.last_end = 0
        self.highest = {}  # task -> highest run that was stopped or has ended
        self.token = 0
        self.lease_end = 0.0
        self.changed = asyncio.Condition()
        self.up = True
        await self.server.start()
        self.loops = [asyncio.ensure_future(self.heartbeat()),
                      asyncio.ensure_future(self.tick())]
        self.record.note(f"worker {self.id} is up")

    async def crash(self):
        """Ends at once; everything that it knew is lost."""
        self.up = False
        for it in self.loops:
            it.cancel()
        self.record.note(f"worker {self.id} crashes with "
                         + (", ".join(f"{t} run {r}" for t, r in self.runs) or "no runs"))
        self.runs = {}
        await self.server.stop()

    def clock(self):
        return time.monotonic() - self.begin

    async def heartbeat(self):
        while True:
            self.sequence += 1
            await self.store.put("servers/" + self.id, {
                "service": self.service, "address": f"{LOOPBACK}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
                "labels": self.labels,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0}})
            await asyncio.sleep(self.heartbeat_s)

    async def end(self, key, how):
        run = self.runs.pop(key)
        self.last_end += 1
        self.ended.append([self.last_end, key[0], key[1], how, run.checkpoint])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ends_of[how] = self.ends_of.get(how, 0) + 1
        self.record.note(f"worker {self.id}: {key[0]} run {key[1]} ends {how}")
        async with self.changed:
            self.changed.notify_all()

    async def tick(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(self.TICK_S)
            now = time.monotonic()
            for key, run in list(self.runs.items()):
                work = self.work_of(key[0])
                run.work += (now - last) * run.percent / 100
                if self.clock() >= self.lease_end:
                    await self.end(key, "lapsed")
                elif run.stop_at and now >= run.stop_at:
                    await self.end(key, "stopped")
                elif work is not None and run.work >= work:
                    await self.end(key, "done")
            last = now

    def answer(self, status, **body):
        return status, {"clock_ms": int(self.clock() * 1000), **body}

    def renew(self, body):
        asked = min(body.get("deadline_ms", 0) / 1000, self.clock() + self.hold_max_s)
        self.lease_end = max(self.lease_end, asked)

    async def handle(self, method, path, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return self.answer(421)
        body = json.loads(body)
        if body.get("fencing_token", 0) < self.token:
            return self.answer(409, reason="fence")
        self.token = body.get("fencing_token", 0)
        if path.endswith("/hold"):
            return await self.hold(body)
        key = (body["task"], body["run"])
        run = self.runs.get(key)
        if path.endswith("/run-start"):
            return self.run_start(key, run, body)
        if path.endswith("/run-stop"):
            if run:
                run.stop_at = run.stop_at or time.monotonic() + self.STOP_S
            else:
                self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            return self.answer(200)
        if path.endswith("/pace"):
            if run:
                run.percent = body["percent"]
            return self.answer(200)
        return self.answer(400)

    def run_start(self, key, run, body):
        if run:
            return self.answer(200)
        if body["deadline_ms"] / 1000 <= self.clock():
            return self.answer(409, reason="late")
        self.renew(body)
        if key[1] <= self.highest.get(key[0], 0) or any(
                t == key[0] and key[1] <= r for t, r in self.runs):
            return self.answer(409, reason="old")
        self.runs[key] = Run(body.get("checkpoint", ""))
        self.record.note(f"worker {self.id} starts {key[0]} run {key[1]}")
        return self.answer(200)

    async def hold(self, body):
        self.renew(body)
        self.ended = [it for it in self.ended if it[0] > body["last_seen"]]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        running = [[t, r, it.checkpoint, it.percent, 300]
                   for (t, r), it in self.runs.items()]
        return self.answer(200, running=running, born=self.born,
                           ended=self.ended[:self.ENDED_ROWS])


# The system


class Node:
    """One machine of the system: a process started as the deploy file says."""

    def __init__(self, ports, folder, record, name, zone, store):
        self.name, self.record, self.process = name, record, None
        self.front, self.ready = ports.take(), ports.take()
        with open(os.path.join(REPOSITORY, "deploy/node.yaml.tmpl"), encoding="utf-8") as f:
            text = f.read()
        # The site has no tenants, so the sections about keys are empty.
        while "{{#" in text:
            begin = text.index("{{#")
            name_end = text.index("}}", begin)
            close = "{{/" + text[begin + 3:name_end] + "}}"
            text = text[:begin] + text[text.index(close) + len(close):]
        for field, value in {
                "node": name, "zone": zone, "listen.front": f"{LOOPBACK}:{self.front}",
                "listen.ready": f"{LOOPBACK}:{self.ready}", "ip": LOOPBACK,
                "internal_ports.0": ports.take(),
                "platform.address": f"{LOOPBACK}:{store.port}",
                "limits.cpu_share": 0.1, "limits.link_mbps": 1000.0,
                "bounds.hold_max_ms": 10000, "bounds.harm_ms": 4000,
                "bounds.grace_s": 6, "platform.ttl_min_ms": 1000}.items():
            text = text.replace("{{" + field + "}}", str(value))
        self.settings = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)

    def start(self):
        program = os.path.join(REPOSITORY, "target/bin/endivedoord")
        if not os.access(program, os.X_OK):
            raise CannotRun("target/bin/endivedoord is missing: build the deploy file first")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [program, "--settings", self.settings], cwd=REPOSITORY,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.note(f"node {self.name} starts")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.record.note(f"node {self.name} is killed")

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)
        self.record.note(f"node {self.name} gets SIGTERM")


class Installation:
    """The store, the workers and the nodes of a small deployment."""

    HOST, QUEUE, SERVICE = "orders.example", "/orders/", "order-desk"
    ZONES = ["germiston", "midrand", "vereeniging"]
    MAX_ATTEMPTS = 3

    def __init__(self, record, nodes, workers):
        self.record = record
        self.work = {}  # job -> seconds of work of each step; None: it lasts
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.ports = ports = Ports()
        self.store = Store(ports.take())
        self.workers = [
            Worker(self.store, record, ports.take(), f"w{i}", self.SERVICE,
                   self.ZONES[i % len(self.ZONES)], f"r{i % len(self.ZONES)}", self.work_of)
            for i in range(workers)]
        self.nodes, self.started = [], []
        for _ in range(nodes):
            self.add_node(start=False)

    def add_node(self, start=True):
        """Adds a machine with a name and addresses of its own."""
        i = len(self.started)
        node = Node(self.ports, self.folder, self.record, f"edge-{i}",
                    self.ZONES[i % len(self.ZONES)], self.store)
        self.nodes.append(node)
        self.started.append(node)
        if start:
            node.start()

    def work_of(self, task):
        job, _, step, _ = task.split(".")
        return self.work[job][int(step)]

    async def start(self):
        await self.store.start()
        await self.store.put("op/config", {
            "version": 3, "limits": {"max_body_bytes": 262144},
            "services": [{"name": self.SERVICE}],
            "routes": [{"name": "orders", "host": self.HOST, "prefix": self.QUEUE,
                        "service": self.SERVICE, "priority": 0,
                        "max_attempts": self.MAX_ATTEMPTS, "stretch": 1.5,
                        "target_latency_ms": 250}]})
        for it in self.workers:
            await it.start()
        for it in self.nodes:
            it.start()
        end = time.monotonic() + 20
        for it in self.nodes:
            while (await request(it.ready, "GET", "/endivedoor/readiness"))[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun(f"{it.name} is not ready after 20 s")
                await asyncio.sleep(0.2)
        self.record.note("all nodes are ready")

    async def submit(self, job, steps, work):
        """Hands a job in, again after an answer that allows it."""
        self.work[job] = work
        for i in range(10):
            node = self.nodes[i % len(self.nodes)]
            status, body = await request(node.front, "POST", self.QUEUE + job,
                                         {"spec": "order " + job, "steps": steps}, self.HOST)
            self.record.note(f"POST {job} to {node.name}: {status} {body}")
            if status == 200:
                return
            await asyncio.sleep(1)
        raise CannotRun(f"job {job} was not accepted")

    async def state(self, job):
        """Returns the state that the first node that answers shows."""
        for node in self.nodes:
            if node.process.poll() is not None:
                continue
            status, body = await request(node.front, "GET", self.QUEUE + job, None, self.HOST)
            self.record.note(f"GET {job} from {node.name}: {status} {body}")
            if status == 200:
                return body["state"]
        return None

    def worker_of(self, task):
        """Returns the worker that runs a task, with the run."""
        for it in self.workers:
            for (name, run), state in (it.runs.items() if it.up else ()):
                if name == task:
                    return it, run, state
        return None, None, None

    async def wait_for_run(self, task, after, limit_s):
        """Waits until a run of a task with a higher number is at work."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            worker, run, _ = self.worker_of(task)
            if worker and run > after:
                return worker, run
            await asyncio.sleep(0.02)
        return None, None

    def ends(self, how):
        return sum(it.ends_of.get(how, 0) for it in self.workers)

    def stop(self):
        for it in self.started:
            if it.process and it.process.poll() is None:
                it.process.kill()
                it.process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, path):
    """Runs a case: a coroutine that returns whether the rule held."""
    record = Record(os.path.join(path, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"begin, TROUBLE={int(trouble)}")

    async def limited():
        return await asyncio.wait_for(case(record, trouble), 115)

    try:
        held = asyncio.run(limited())
    except (CannotRun, asyncio.TimeoutError, OSError) as x:
        record.note(f"cannot run: {type(x).__name__} {x}")
        return 2
    record.note("the rule held" if held else "the rule was broken")
    return 0 if held else 1
