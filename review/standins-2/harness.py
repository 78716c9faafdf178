"""Starts the store, the workers and the daemons of a case as processes on
loopback addresses, and keeps its record. Stand-ins in this folder."""
import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
sys.path.insert(0, str(HERE))
from http11 import call  # noqa: E402

# A loopback address of its own, so that cases which run at the same time do not
# take each other's ports.
IP = "127.77.%d.%d" % (os.getpid() >> 8 & 255, os.getpid() & 255 or 1)
SERVICE = "order-desk"
ROUTE = {"name": "r-standing", "host": "orders.example", "prefix": "/standing/",
         "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 2500,
         "priority": 0, "service": SERVICE, "max_attempts": 3, "stretch": 2.2}
SETTINGS = """name: {name}
zone: {zone}
listen:
  callers: {ip}:{callers}
  health: {ip}:{health}
  metrics: {ip}:{metrics}
installation:
  store: {ip}:{store}
processorShare: 0.1
linkMbps: 1000.0
bounds:
  longestHold: 10000ms
  harmTime: 4000ms
  stopGrace: 6s
  shortestLease: 1000ms
"""


class CannotRun(Exception):
    pass


def free_port(taken=set()):
    for _ in range(200):
        port = random.randrange(26000, 32000)
        with socket.socket() as s:
            try:
                s.bind((IP, port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port
    raise CannotRun("no free port")


class Case:
    def __init__(self, folder, zones=("germiston", "midrand", "vereeniging")):
        self.folder = pathlib.Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="endivedoor-case-"))
        self.zones = zones
        self.processes = {}
        self.workers = {}
        self.daemons = {}
        self.record = open(self.folder / "record.txt", "w", buffering=1)
        self.begun = time.time()

    def note(self, text):
        line = "%8.3f %s" % (time.time() - self.begun, text)
        print(line, flush=True)
        self.record.write(line + "\n")

    def spawn(self, name, command):
        out = open(self.temp / (name + ".out"), "a")
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, stdout=out, stderr=out, start_new_session=True)

    def signal(self, name, number):
        self.note("signal %s to %s" % (signal.Signals(number).name, name))
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    async def start_store(self):
        self.store = free_port()
        self.spawn("store", [sys.executable, str(HERE / "store.py"), IP, str(self.store)])
        for _ in range(100):
            status, _ = await call(IP, self.store, "GET", "/endivedoor/kv-key?key=x")
            if status == 404:
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the store does not answer")

    async def operator_put(self, key, value):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        return await call(IP, self.store, "POST", "/platform/put", {"key": key, "value": data})

    async def configure(self, version=1, routes=(ROUTE,)):
        await self.operator_put("op/config", {
            "version": version, "routes": list(routes),
            "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 64,
                          "protocol": "h1", "tls": False, "cold_start_s": 0.0,
                          "cold_per_s": 0.0, "admission_check": False, "spare": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def start_worker(self, name, zone=None, labels=("a", "r1-1"), cpu=32000, mem_mb=128000,
                     store=None):
        """Starts a worker, or a later life of it: same machine and address, new id."""
        life = self.workers.setdefault(name, {
            "n": 0, "port": free_port(), "zone": zone, "labels": list(labels),
            "cpu": cpu, "mem_mb": mem_mb, "store": [IP, store or self.store]})
        life["n"] += 1
        life["id"] = "i-%s-%d" % (name, life["n"])
        config = {"id": life["id"], "ip": IP, "port": life["port"], "store": life["store"],
                  "zone": life["zone"], "service": SERVICE, "labels": life["labels"],
                  "cpu": life["cpu"], "mem_mb": life["mem_mb"],
                  "log": str(self.temp / "workers.jsonl")}
        file = self.temp / (life["id"] + ".json")
        file.write_text(json.dumps(config))
        self.spawn(name, [sys.executable, str(HERE / "worker.py"), str(file)])

    def start_daemon(self, name, zone, store=None):
        life = self.daemons.setdefault(name, {
            "callers": free_port(), "health": free_port(), "metrics": free_port()})
        file = self.temp / (name + ".yaml")
        file.write_text(SETTINGS.format(name=name, zone=zone, ip=IP,
                                        store=store or self.store, **life))
        self.spawn(name, ["target/bin/endivedoord", "--settings", str(file)])

    async def ready(self, name, within=20):
        end = time.time() + within
        while time.time() < end:
            status, _ = await call(IP, self.daemons[name]["health"], "GET",
                                   "/endivedoor/readiness")
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise CannotRun(name + " does not become ready")

    async def ask(self, daemon, method, job, body=None, quiet=False, route=ROUTE):
        status, answer = await call(IP, self.daemons[daemon]["callers"], method,
                                    route["prefix"] + job, body,
                                    {"Host": route["host"]})
        if not quiet:
            self.note("%s %s to %s: %s %s" % (method, job, daemon, status, json.dumps(answer)))
        return status, answer

    def worker_events(self):
        try:
            rows = (self.temp / "workers.jsonl").read_text().splitlines()
        except FileNotFoundError:
            return []
        return [json.loads(row) for row in rows if row.endswith("}")]

    def daemon_log(self, name, *words):
        text = (self.temp / (name + ".out")).read_text(errors="replace")
        return [row for row in text.splitlines() if all(w in row for w in words)]

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for row in self.worker_events():
            self.record.write("  worker %8.3f %s\n" % (
                row["at"] - self.begun,
                " ".join("%s=%s" % (k, v) for k, v in row.items() if k != "at")))
        self.record.close()


def run(folder, main, **options):
    """Runs a case. main(case) returns a list of what broke the rule."""
    case = Case(folder, **options)
    try:
        broken = asyncio.run(asyncio.wait_for(main(case), 110))
    except (CannotRun, asyncio.TimeoutError, FileNotFoundError) as error:
        case.note("the case could not run: %r" % error)
        code = 2
    else:
        for it in broken:
            case.note("BROKEN: " + it)
        code = 1 if broken else 0
        case.note("the rule was broken" if broken else "the rule held")
    finally:
        case.close()
    sys.exit(code)
