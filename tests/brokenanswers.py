#!/usr/bin/env python3
"""Endpoints on loopback that send broken answers, a sound one beside each, and callers that say what they got.

Usage: brokenanswers.py plain|stream --port FIRST --count N --to PORT --path PREFIX --plays N [--store PORT]
The last part of a request's path names its case in the table. With --store the endpoints are listed in the stand-in's
store. Prints "ready", a line with WRONG for each broken answer that a caller believed, each sound one that was not served
and each request that was sent twice, and at last "played" with what the callers got.
"""
import asyncio
import collections
import socket
import struct
import sys

from cutanswers import BODY, Endpoints, arguments_for, body_of, chunks, events_after, exchange

CALLERS = 6
TRIES = 5  # Of a request that was turned away.
UPLOAD = b"b" * (12 << 20)  # More than the buffers between two sockets take.
STAMP = "X-Server-Stamp: stamp"
EVENTS = "Content-Type: text/event-stream"
LENGTH = f"Content-Length: {len(BODY)}"
CHUNKED = "Transfer-Encoding: chunked"
IN_CHUNKS = chunks([BODY[:20], BODY[20:]])
STREAM = b"".join(events_after(0))
CUT_STREAM = STREAM[:STREAM.index(b"id: 3")]


def head(status, *lines):
    """A head that has the request's id in the place of ID."""
    return "\r\n".join([f"HTTP/1.1 {status} Reason", "ID", *lines, "", ""]).encode()


# By name: what the endpoint sends, whether it is an answer, and for uploads how the connection ends before they are read.
PLAIN = {
    "status-200": (head(200, STAMP, LENGTH) + BODY, True),
    "status-404": (head(404, STAMP, LENGTH) + BODY, True),
    **{f"status-{status}": (head(status, STAMP, LENGTH) + BODY, False) for status in ("000", "099", "600", "999")},
    "status-000-unframed": (head("000", STAMP) + BODY, False),
    "interim-alone": (head(102, STAMP), False),
    "interim-switching": (head(101, STAMP, "Upgrade: other", "Connection: Upgrade"), False),
    "interim-then-answer": (head(102, "X-Interim: 1") + head(200, STAMP, LENGTH) + BODY, True),
    "interim-without-id": (b"HTTP/1.1 103 Hints\r\n\r\n" * 2 + head(200, STAMP, CHUNKED) + IN_CHUNKS, True),
    "coding-chunked": (head(200, STAMP, CHUNKED) + IN_CHUNKS, True),
    **{f"coding-{number}": (head(200, STAMP, f"Transfer-Encoding: {codings}") + IN_CHUNKS, False)
       for number, codings in enumerate(["chunked, chunked", "chunked, identity", "gzip, chunked", "gzip", "chunked;q=1"])},
    "line-plain": (head(200, "X-Line: 1", STAMP, LENGTH) + BODY, True),
    **{f"line-{number}": (head(200, STAMP, line, LENGTH) + BODY, False)
       for number, line in enumerate([" Content-Length: 4", "\tmore", "X Line: 1", "X-\x01Line: 1", "Content-Length : 4"])},
    "upload-length": (head(200, STAMP, LENGTH) + BODY, True, "reset", 0),
    "upload-chunked": (head(200, STAMP, CHUNKED) + IN_CHUNKS, True, "reset", 0),
    "upload-closed": (head(200, STAMP) + BODY, True, "half-close", 0),
    "upload-length-cut": (head(200, STAMP, LENGTH) + BODY[:12], False, "reset", 0),
    **{f"upload-cut-{ms}": (head(200, STAMP) + BODY[:12], False, "reset", ms) for ms in (0, 50, 300)},
    "upload-cut-closed": (head(200, STAMP) + BODY[:12], False, "close", 50),
}
STREAMS = {
    "stream-chunked": (head(200, STAMP, EVENTS, CHUNKED) + chunks([CUT_STREAM, STREAM[len(CUT_STREAM):]]), True),
    "stream-interim": (head(103, "X-Interim: 1") + head(200, STAMP, EVENTS, CHUNKED) + chunks([STREAM]), True),
    "stream-interim-alone": (head(103, STAMP, EVENTS), False),
    "stream-status": (head("000", STAMP, EVENTS, CHUNKED) + chunks([STREAM]), False),
    "upload-chunked": (head(200, STAMP, EVENTS, CHUNKED) + chunks([STREAM]), True, "reset", 0),
    "upload-closed": (head(200, STAMP, EVENTS) + STREAM, True, "half-close", 0),
    "upload-chunked-cut": (head(200, STAMP, EVENTS, CHUNKED) + chunks([CUT_STREAM])[:-5], False, "reset", 50),
    **{f"upload-cut-{ms}": (head(200, STAMP, EVENTS) + CUT_STREAM, False, "reset", ms) for ms in (0, 50, 300)},
}
CASES = {"plain": PLAIN, "stream": STREAMS}
WHOLE = {"plain": BODY, "stream": STREAM}


class BrokenEndpoints(Endpoints):
    def __init__(self, arguments):
        self.arguments = arguments
        self.cases = CASES[arguments.kind]
        self.sent = collections.Counter()  # Requests of callers, by case.
        self.met = collections.Counter()  # Arrivals at endpoints, by case.
        self.arrived = collections.Counter()  # By the request's id, where endpoints get it.

    async def on_request(self, reader, writer):
        first, *rest = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        request = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in rest)}
        name = first.split()[1].rpartition("/")[2]
        if name not in self.cases:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return True
        sent, _, *end = self.cases[name]
        echo = request.get("x-request-id")
        self.arrived[echo] += echo is not None
        self.met[name] += 1
        if not end:
            await reader.readexactly(int(request.get("content-length", 0)))
        writer.write(sent.replace(b"ID", f"X-Request-Id: {echo}".encode() if echo else b"X-No-Id: 1"))
        await writer.drain()
        if end:
            await self.end_early(writer, *end)
        return False

    async def end_early(self, writer, way, after_ms):
        await asyncio.sleep(after_ms / 1000)
        if way == "half-close":
            writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
            await asyncio.sleep(0.5)
        if way == "reset":
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()  # A reset as well where the upload is not read to its end.


def is_answer(kind, response, was_closed, expected_status):
    """Whether a caller believes the response: it is the endpoint's, and whole by its own framing."""
    status, framing, body = body_of(response)
    return status == expected_status and body == WHOLE[kind] and (framing != "unframed" or was_closed)


def looks_whole(response, was_closed):
    """Whether a response that has bytes of the endpoint would pass for whole."""
    status, framing, body = body_of(response)
    is_endpoints = b"server-stamp: stamp" in response.lower() or BODY[:4] in response or b"data: token" in response
    is_odd = status != 0 and not 200 <= status <= 599
    return is_odd or (is_endpoints and body is not None and (framing != "unframed" or was_closed))


async def one_request(arguments, endpoints, name, number):
    endpoints.sent[name] += 1
    request_id = f"{name}-{number}"
    body = UPLOAD if len(endpoints.cases[name]) > 2 else b"x"
    request = (f"POST {arguments.path}{name} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {request_id}\r\n"
               "Authorization: Bearer key-a\r\nX-Organisation: diputacion\r\nX-Deadline-Ms: 5000\r\n"
               "X-Token-Count: 10,100\r\nX-Non-Idempotent: true\r\nConnection: close\r\n"
               f"Content-Length: {len(body)}\r\n\r\n").encode() + body
    return request_id, *await exchange(arguments.to, request)


async def one_case(arguments, endpoints, name, play, got):
    is_sound = endpoints.cases[name][1]
    for attempt in range(TRIES):
        request_id, response, was_closed = await one_request(arguments, endpoints, name, f"{play}-{attempt}")
        if endpoints.arrived[request_id] > 1:
            print("WRONG: sent twice:", request_id, flush=True)
        if not response.startswith((b"HTTP/1.1 503", b"HTTP/1.1 429")):
            break
        await asyncio.sleep(0.2)  # Endpoints that failed are left alone for a while.
    expected_status = 404 if name == "status-404" else 200
    if is_sound:
        is_right = is_answer(arguments.kind, response, was_closed, expected_status)
    else:
        is_right = response != b"" and not looks_whole(response, was_closed)
    got["sound, served" if is_sound and is_right else "broken, not believed" if is_right else "wrong"] += 1
    if not is_right:
        print(f"WRONG: {name}:", "closed" if was_closed else "reset", response[:300], flush=True)


async def play(arguments):
    endpoints, got = BrokenEndpoints(arguments), collections.Counter()
    await endpoints.start()
    plays = [(name, number) for number in range(arguments.plays) for name in endpoints.cases]
    waiting = iter(plays)

    async def one_caller():
        for name, number in waiting:
            await one_case(arguments, endpoints, name, number, got)

    await asyncio.wait([asyncio.create_task(one_caller()) for _ in range(CALLERS)], timeout=75)
    for name in endpoints.cases:
        if not arguments.plays <= endpoints.met[name] <= endpoints.sent[name]:
            print(f"WRONG: {name}: sent {endpoints.sent[name]} times, met {endpoints.met[name]} times", flush=True)
    print("played", sum(got.values()), "of", len(plays), "places:", dict(got), flush=True)


if __name__ == "__main__":
    sys.exit(asyncio.run(play(arguments_for(CASES))))
