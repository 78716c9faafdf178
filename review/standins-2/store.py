"""Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store").

The paths /platform/... are the operator's and the workers' way to write, and the
case's way to bring trouble about; the system does not use them. While the store is
down it answers 503 and leases run out. Usage: store.py IP PORT"""
import asyncio
import base64
import json
import random
import sys
import time

from http11 import serve

HEARTBEAT_S = 1.5
ANSWER_S = 0.004
JITTER = 0.3


class Store:
    def __init__(self):
        self.revision = 100
        self.down = False
        self.answer_s = ANSWER_S
        self.claims = []    # [time, node, lease] of each entry of a shard's owner
        self.items = {}     # key -> dict as on the wire
        self.history = []   # (revision, event)
        self.leases = {}    # id -> [ttl_s, ends at]
        self.next_lease = 7000
        self.beats = {}     # servers/ID -> time of the latest heartbeat
        self.changed = asyncio.Event()

    def write(self, puts, deletes):
        self.revision += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            item = {"key": key, "value": value, "revision": self.revision,
                    "created": old["created"] if old else self.revision,
                    "lease": lease}
            self.items[key] = item
            self.history.append((self.revision, dict(item)))
        for key in deletes:
            if self.items.pop(key, None):
                self.history.append((self.revision, {
                    "key": key, "revision": self.revision, "deleted": True}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] <= now]:
                self.end_lease(lease)
            for key in [k for k, t in self.beats.items() if now - t > 3 * HEARTBEAT_S]:
                del self.beats[key]
                if key in self.items:
                    self.write([], [key])

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, v in self.items.items() if v["lease"] == lease]
        if keys:
            self.write([], keys)

    async def handle(self, request):
        path, query = request.path, request.query
        if path == "/platform/mode":
            mode = request.json()
            self.down = mode.get("down", False)
            self.answer_s = ANSWER_S * mode.get("slower", 1)
            return 200, {}
        if path == "/platform/claims":
            return 200, {"claims": self.claims}
        if not path.startswith("/platform/"):
            await asyncio.sleep(self.answer_s * random.uniform(1 - JITTER, 1 + JITTER))
            if self.down:
                return 503, {}
        if path == "/endivedoor/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, {})
        if path == "/endivedoor/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "as_of": self.revision}
        if path == "/endivedoor/kv-watch":
            return await self.watch(query)
        if path == "/endivedoor/kv-txn":
            return self.txn(request.json())
        if path == "/endivedoor/kv-lease":
            ttl = max(1000, min(600000, request.json()["ttl_ms"]))
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/endivedoor/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttl_ms": int(lease[0] * 1000)}
        if path.startswith("/endivedoor/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/platform/put":
            body = request.json()
            if body["key"].startswith("servers/"):
                self.beats[body["key"]] = time.monotonic()
            self.write([(body["key"], body["value"], 0)], [])
            return 200, {"revision": self.revision}
        if path == "/platform/delete":
            self.write([], [request.json()["key"]])
            return 200, {"revision": self.revision}
        return 404, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + min(30000, int(query.get("wait_ms", "0"))) / 1000
        while True:
            events = [e for r, e in self.history if r > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        expected = body.get("expected_revision", [])
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        if len(expected) + len(puts) + len(deletes) > 32:
            return 400, {"error": "more than 32 entries"}
        if any(k.startswith(("op/", "servers/")) for k in
               [p["key"] for p in puts] + deletes):
            return 403, {}
        revision_of = lambda key: self.items.get(key, {}).get("revision", 0)
        if any(revision_of(e["key"]) != e["revision"] for e in expected):
            return 412, {"items": [self.items[e["key"]] for e in expected
                                   if e["key"] in self.items]}
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in puts):
            return 404, {}
        for p in puts:
            if p["key"].startswith("endivedoor/d/shard/"):
                node = json.loads(base64.b64decode(p["value"])).get("node")
                self.claims.append([time.time(), node, p.get("lease", 0)])
        self.write([(p["key"], p["value"], p.get("lease", 0)) for p in puts], deletes)
        return 200, {"revision": self.revision}


async def main():
    store = Store()
    server = await serve(sys.argv[1], int(sys.argv[2]), store.handle)
    print("listening", flush=True)
    await asyncio.gather(server.serve_forever(), store.expire())


asyncio.run(main())
