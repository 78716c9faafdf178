"""HTTP/1.1 over asyncio, for the stand-ins and clients of the cases."""
import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method, self.path = method, unquote(parts.path)
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        self.headers, self.body = headers, body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_head(reader):
    """Returns the first line and the headers, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        row = await reader.readline()
        if row in (b"\r\n", b"\n", b""):
            return line.decode().strip(), headers
        name, _, value = row.decode().partition(":")
        headers[name.strip().lower()] = value.strip()


async def serve_connection(reader, writer, handler):
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                break
            first, headers = head
            method, target, _ = first.split(" ", 2)
            size = int(headers.get("content-length", "0"))
            body = await reader.readexactly(size) if size else b""
            status, answer = await handler(Request(method, target, headers, body))
            text = json.dumps(answer).encode()
            writer.write(
                b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                % (status, len(text)) + text)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        writer.close()


async def serve(ip, port, handler):
    return await asyncio.start_server(
        lambda r, w: serve_connection(r, w, handler), ip, port)


async def call(ip, port, method, path, body=None, headers=None, timeout=3.0):
    """One request on a connection of its own. Returns (status, JSON body);
    (None, cause) if there was no complete answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            rows = {"Host": "%s:%d" % (ip, port), "Connection": "close",
                    "Content-Type": "application/json",
                    "Content-Length": str(len(text)), **(headers or {})}
            writer.write(("%s %s HTTP/1.1\r\n" % (method, path) + "".join(
                "%s: %s\r\n" % it for it in rows.items()) + "\r\n").encode() + text)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            first, got = head
            data = await reader.readexactly(int(got.get("content-length", "0")))
            return int(first.split()[1]), json.loads(data) if data else {}
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError) as error:
        return None, type(error).__name__
