#!/usr/bin/env python3
"""Faulty servers on loopback that send bytes without end, and callers that make a process call them.

Usage: faultyservers.py KIND --port FIRST --count N --callers N --to PORT [--path PATH] [--store PORT] [--seconds S]
The servers listen from port FIRST on. With --store they are listed in the stand-in's store. Prints "ready" once they
listen, and "callers ended" with the statuses that the callers got.

report-stalled, report-array, report-head: attempts are broken off; the report that is asked for then stops short of
16 MiB, is a list of as many numbers, or has a head without end. move-stalled: an engine leaves, and the replies to its
moves stop short of 16 MiB. chunk-stalled: a chunk's size line stops short of 120 KB. plain-endless, line-endless: a
body of a plain service, or a line of an engine's stream, without end. text-endless: lines of text without end.
"""
import argparse
import asyncio
import base64
import collections
import json

LARGE = (16 << 20) - 1024
PIECE = 64 << 10
EVENTS_S = 0.05
LEAVES_AFTER_S = 1.0


def response(request, *headers):
    echo = request.get("x-request-id")
    lines = ["HTTP/1.1 200 OK", "X-Server-Stamp: stamp", *([f"X-Request-Id: {echo}"] if echo else []), *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def without_end(writer, piece):
    while True:
        writer.write(piece)
        await writer.drain()


class Servers:
    def __init__(self, arguments):
        self.arguments, self.draining, self.streams = arguments, False, 0

    async def on_connection(self, reader, writer):
        try:
            while await self.on_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.transport.abort()

    async def on_request(self, reader, writer):
        text = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *rest = text.split("\r\n")
        request = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in rest)}
        await reader.readexactly(int(request.get("content-length", 0)))
        path = first.split()[1]
        if path == "/report":
            return await self.report(request, writer)
        if path == "/kv-move":
            return await self.stall(request, writer)
        if path == "/health":
            writer.write(response(request, "Content-Length: 0"))
            return True
        return await self.attempt(request, writer)

    async def stall(self, request, writer):
        writer.write(response(request, f"Content-Length: {16 << 20}") + b'{"Handle":"' + b"h" * LARGE)
        await writer.drain()
        await asyncio.sleep(60)

    async def report(self, request, writer):
        kind = self.arguments.kind
        if kind == "report-stalled":
            return await self.stall(request, writer)
        if kind == "report-array":
            body = b"[" + b"1," * (LARGE // 2) + b"1]"
            writer.write(response(request, f"Content-Length: {len(body)}") + body)
            await writer.drain()
            return True
        if kind == "report-head":
            writer.write(b"HTTP/1.1 200 OK\r\n")
            await without_end(writer, b"X-More: " + b"m" * PIECE + b"\r\n")
        writer.write(response(request, "Content-Length: 2") + b"{}")
        return True

    async def attempt(self, request, writer):
        kind = self.arguments.kind
        if kind.startswith("report"):
            writer.write(response(request, "Content-Length: 10") + b"short")
            await writer.drain()
        elif kind == "chunk-stalled":
            writer.write(response(request, "Transfer-Encoding: chunked") + b"1;" + b"e" * (120 << 10))
            await asyncio.sleep(60)
        elif kind == "plain-endless":
            writer.write(response(request, f"Content-Length: {1 << 40}"))
            await without_end(writer, b"p" * PIECE)
        elif kind == "line-endless":
            writer.write(response(request, "Content-Type: text/event-stream") + b"data: ")
            await without_end(writer, b"l" * PIECE)
        elif kind == "text-endless":
            writer.write(response(request, "Content-Type: text/event-stream"))
            line = json.dumps({"choices": [{"index": 0, "delta": {"content": "t" * PIECE}}]}).encode()
            await without_end(writer, b"data: " + line + b"\n\n")
        else:
            await self.events(request, writer)

    async def events(self, request, writer):
        self.streams += 1
        writer.write(response(request, "Content-Type: text/event-stream", "Connection: close"))
        for number in range(1, 1000):
            writer.write(b"id: %d\ndata: token %d\n\n" % (number, number))
            await writer.drain()
            await asyncio.sleep(EVENTS_S)

    def entry(self, port):
        faulty_service = "svc-model" if self.arguments.kind == "move-stalled" else "svc-faulty"
        out = {"Service": faulty_service, "Address": f"127.0.0.1:{port}", "Zone": "zone-0", "Version": "v1",
               "ColdRemainingMs": 0, "born": 1, "Slots": 64, "State": "draining" if self.draining else "ready", "Seq": 1}
        if self.draining:
            out["leaves_ms"] = 2000
        return base64.b64encode(json.dumps(out).encode()).decode()

    async def publish(self):
        ports = range(self.arguments.port, self.arguments.port + self.arguments.count)
        puts = [{"Key": f"servers/f-{port}", "Value": self.entry(port), "Lease": 0} for port in ports]
        body = json.dumps({"Precondition": [], "Puts": puts, "Deletes": []})
        await call(self.arguments.store, "/kv-txn", {}, body)


async def call(port, path, headers, body):
    """The status of the response; 0 if there is none. Its body is read and dropped."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"POST {path} HTTP/1.1\r\nHost: desk.example\r\n{text}Connection: close\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
        first = await reader.readline()
        while await reader.read(PIECE):
            pass
        writer.close()
        return int(first.split()[1]) if first else 0
    except OSError:
        return 0


async def one_caller(arguments, number, statuses):
    end = asyncio.get_running_loop().time() + arguments.seconds
    tries = 0
    while asyncio.get_running_loop().time() < end:
        tries += 1
        headers = {"X-Request-Id": f"faulty-{number}-{tries}", "Authorization": "Bearer key-a", "X-Deadline-Ms": "6000",
                   "X-Token-Count": "10,1000", "X-Organisation": "diputacion", "Content-Type": "application/json"}
        body = json.dumps({"model": "redactor", "messages": [{"role": "user", "content": f"caller {number}"}]})
        statuses[await call(arguments.to, arguments.path, headers, body)] += 1
        await asyncio.sleep(0.05)


async def play(arguments):
    servers = Servers(arguments)
    for port in range(arguments.port, arguments.port + arguments.count):
        await asyncio.start_server(servers.on_connection, "127.0.0.1", port, limit=1 << 20)
    if arguments.store:
        await servers.publish()
    print("ready", flush=True)
    await asyncio.sleep(2)
    statuses = collections.Counter()
    callers = [asyncio.create_task(one_caller(arguments, n, statuses)) for n in range(arguments.callers)]
    if arguments.kind == "move-stalled":
        await asyncio.sleep(LEAVES_AFTER_S)
        servers.draining = True
        await servers.publish()
    await asyncio.wait(callers)
    print("callers ended", dict(statuses), "streams", servers.streams, flush=True)
    await asyncio.sleep(600)


parser = argparse.ArgumentParser()
parser.add_argument("kind")
for name in ("port", "count", "callers", "to", "store"):
    parser.add_argument("--" + name, type=int, default=0)
parser.add_argument("--path", default="/faulty/1")
parser.add_argument("--seconds", type=float, default=4)
asyncio.run(play(parser.parse_args()))
