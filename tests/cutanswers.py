#!/usr/bin/env python3
"""Endpoints on loopback whose answers are cut at every byte, and callers that believe an answer only if it is whole by
its own framing.

Usage: cutanswers.py plain|stream --port FIRST --count N --to PORT --path PATH [--store PORT]
Each request gets the next of all places at which an answer is cut, at whichever endpoint it arrives; there the connection
is closed or reset. With --store the endpoints are listed in the stand-in's store. Prints "ready", then "played" with what
the callers got; ends with 1 if one of them believed an answer that was not whole, or if no whole answer arrived.
"""
import argparse
import asyncio
import base64
import collections
import itertools
import json
import re
import socket
import struct
import sys

BODY = b"the whole answer: " + b"0123456789" * 3 + b" end"
EVENTS = 5
PLAY_S = 75
CALLERS = 48
WHOLE_ANSWERS = 20  # Of each framing.
LINE_ENDS = {"lf": b"\n"}  # All others end their lines with CRLF.


def chunks(pieces):
    return b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in pieces) + b"0\r\n\r\n"


def events_after(last):
    return [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(last + 1, EVENTS + 1)]


def answer(kind, framing, request):
    """The whole answer to a request, and whether its end can be told from its bytes."""
    echo = request.get("x-request-id")
    lines = ["HTTP/1.0 200 OK" if framing == "http10" else "HTTP/1.1 200 OK", "X-Server-Stamp: stamp"]
    lines += [f"X-Request-Id: {echo}"] if echo else []
    pieces = [BODY[:20], BODY[20:]]
    if kind == "stream":
        lines.append("Content-Type: text/event-stream")
        pieces = events_after(int(request.get("last-event-id", 0)))
    body = b"".join(pieces)
    if framing in ("length", "lf", "http10"):
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "length-first":
        lines.insert(1, f"Content-Length: {len(body)}")
    elif framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
        body = chunks(pieces)
    elif framing == "coded":
        lines.append("Transfer-Encoding: gzip")  # Has no end of its own.
    elif framing == "created":
        lines[0] = "HTTP/1.1 201 Created"
    end = LINE_ENDS.get(framing, b"\r\n")
    return end.join(line.encode() for line in lines) + 2 * end + body


FRAMINGS = {"plain": ["length", "length-first", "lf", "http10", "chunked", "coded", "unframed", "created"],
            "stream": ["chunked", "unframed"]}


class Endpoints:
    def __init__(self, arguments):
        self.arguments = arguments
        sample = {"x-request-id": "cut-00000", "last-event-id": "0"}
        self.places = [(framing, way, cut) for framing in FRAMINGS[arguments.kind] for way in ("close", "reset")
                       for cut in range(len(answer(arguments.kind, framing, sample)) + 1)]
        self.places += [(framing, "close", 1 << 20) for framing in FRAMINGS[arguments.kind]] * WHOLE_ANSWERS
        self.left = iter(self.places)
        self.played = 0

    async def start(self):
        for port in range(self.arguments.port, self.arguments.port + self.arguments.count):
            await asyncio.start_server(self.on_connection, "127.0.0.1", port)
        if self.arguments.store:
            await self.publish()
        print("ready", flush=True)
        await asyncio.sleep(2)

    async def on_connection(self, reader, writer):
        try:
            while await self.on_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def on_request(self, reader, writer):
        text = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *rest = text.split("\r\n")
        request = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in rest)}
        await reader.readexactly(int(request.get("content-length", 0)))
        if first.split()[1] in ("/report", "/health"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return True
        framing, way, cut = next(self.left, ("chunked", "close", 1 << 20))
        self.played += 1
        whole = answer(self.arguments.kind, framing, request)
        writer.write(whole[:cut])
        await writer.drain()
        if way == "reset":
            await asyncio.sleep(0.001)  # What was written arrives first.
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        return False

    async def publish(self):
        ports = range(self.arguments.port, self.arguments.port + self.arguments.count)
        puts = [{"Key": f"servers/c-{port}", "Value": self.entry(port), "Lease": 0} for port in ports]
        body = json.dumps({"Precondition": [], "Puts": puts, "Deletes": []}).encode()
        await exchange(self.arguments.store, b"POST /kv-txn HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
                                             b"Content-Length: %d\r\n\r\n%s" % (len(body), body))

    def entry(self, port):
        out = {"Service": "svc-cut", "Address": f"127.0.0.1:{port}", "Zone": "zone-0", "Version": "v1",
               "ColdRemainingMs": 0, "born": 1, "Slots": 64, "State": "ready", "Seq": 1}
        return base64.b64encode(json.dumps(out).encode()).decode()


async def exchange(port, request):
    """All bytes of the response, and whether its connection was closed rather than reset."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    received = b""
    try:
        writer.write(request)
        while piece := await reader.read(1 << 16):
            received += piece
        return received, True
    except OSError:
        return received, False
    finally:
        writer.close()


def body_of(response):
    """The status, the framing and the body of a response; no body if it is not whole by its framing."""
    head, separator, rest = response.partition(b"\r\n\r\n")
    if not separator:
        return 0, "none", None
    status = int(head.split()[1])
    length = re.search(rb"(?im)^content-length: *(\d+)", head)
    if length:
        return status, "length", rest if len(rest) == int(length[1]) else None
    if not re.search(rb"(?im)^transfer-encoding: *chunked", head):
        return status, "unframed", rest
    body = b""
    while True:
        size, separator, rest = rest.partition(b"\r\n")
        if not separator or len(rest) < int(size, 16) + 2:
            return status, "chunked", None
        if int(size, 16) == 0:
            return status, "chunked", body
        body, rest = body + rest[:int(size, 16)], rest[int(size, 16) + 2:]


async def one_caller(arguments, endpoints, numbers, got):
    whole = b"".join(events_after(0)) if arguments.kind == "stream" else BODY
    while endpoints.played <= len(endpoints.places):
        request = (f"POST {arguments.path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: cut-{next(numbers):05}\r\n"
                   "Authorization: Bearer key-a\r\nX-Organisation: diputacion\r\nX-Deadline-Ms: 3000\r\n"
                   "X-Token-Count: 10,100\r\nX-Non-Idempotent: true\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx").encode()
        response, was_closed = await exchange(arguments.to, request)
        status, framing, body = body_of(response)
        if status not in (200, 201):
            got[str(status)] += 1
        elif body is None or (framing == "unframed" and not was_closed):
            got["broken off"] += 1
        elif framing == "unframed":
            got["whole, without framing" if body == whole else "not whole, without framing"] += 1
        elif body == whole:
            got["whole"] += 1
        else:
            got["WRONG"] += 1
            print("WRONG:", response, flush=True)


async def play(arguments):
    endpoints, got = Endpoints(arguments), collections.Counter()
    await endpoints.start()
    numbers = itertools.count()
    callers = [asyncio.create_task(one_caller(arguments, endpoints, numbers, got)) for _ in range(CALLERS)]
    await asyncio.wait(callers, timeout=PLAY_S)
    all_played = endpoints.played > len(endpoints.places)
    print("played", min(endpoints.played, len(endpoints.places)), "of", len(endpoints.places), "places:", dict(got), flush=True)
    return 0 if all_played and got["whole"] and got["whole, without framing"] and not got["WRONG"] else 1


def arguments_for(kinds):
    parser = argparse.ArgumentParser()
    parser.add_argument("kind", choices=kinds)
    for name in ("port", "count", "to", "store", "plays"):
        parser.add_argument("--" + name, type=int, default=0)
    parser.add_argument("--path")
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(asyncio.run(play(arguments_for(FRAMINGS))))
