#!/usr/bin/env python3
"""A proxy on loopback before the platform's store whose replies are broken, and callers that check what they get meanwhile.

Usage: brokenstore.py --port PORT --store PORT --to PORT [--seed S]
The calls that read or write keys get every second reply in one of the broken ways. Prints "ready", what the callers got by
outcome, how many replies were broken in which way, and at last "played"; ends with 1 if a caller got no whole answer of an
endpoint to its own request.
"""
import argparse
import asyncio
import collections
import random
import re
import socket
import struct
import sys

PLAY_S = 12
PAUSE_S = 0.01
CALLERS = 8
BROKEN_SHARE = 0.5
CALLS = ("/kv-range", "/kv-key", "/kv-watch", "/kv-txn")


def with_status(reply, status):
    return re.sub(rb"^HTTP/1.1 \d+", b"HTTP/1.1 " + status, reply, count=1)


def without_length(reply):
    return re.sub(rb"(?i)content-length: *\d+\r\n", b"", reply, count=1)


def cut_in_half(reply):
    head, mark, body = reply.partition(b"\r\n\r\n")
    return head + mark + body[:len(body) // 2]


# By name: what is sent in place of a reply, and how the connection ends: kept, closed or reset.
WAYS = {
    "status-000": (lambda reply: with_status(reply, b"000"), "kept"),
    "status-000-empty": (lambda reply: b"HTTP/1.1 000 Status\r\nContent-Length: 0\r\n\r\n", "kept"),
    "status-000-unframed": (lambda reply: without_length(with_status(reply, b"000")), "closed"),
    "status-999": (lambda reply: with_status(reply, b"999"), "kept"),
    "empty-200": (lambda reply: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "kept"),
    "cut-length": (cut_in_half, "closed"),
    "cut-unframed": (lambda reply: cut_in_half(without_length(reply)), "closed"),
    "cut-unframed-reset": (lambda reply: cut_in_half(without_length(reply)), "reset"),
    "head-alone": (lambda reply: reply.partition(b"\r\n\r\n")[0] + b"\r\n\r\n", "reset"),
    "interim-alone": (lambda reply: b"HTTP/1.1 102 Processing\r\n\r\n", "closed"),
    "twice": (lambda reply: reply + reply, "kept"),
}


async def message(reader):
    """A whole request or response that has a length; one without is taken for empty."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"(?im)^content-length: *(\d+)", head)
    return head + await reader.readexactly(int(length[1]) if length else 0)


class Proxy:
    def __init__(self, arguments):
        self.store, self.random, self.counts = arguments.store, random.Random(arguments.seed), collections.Counter()
        self.is_broken = False

    async def on_connection(self, reader, writer):
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self.store)
            try:
                while await self.pass_on(reader, writer, *upstream):
                    pass
            finally:
                upstream[1].close()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def pass_on(self, reader, writer, from_store, to_store):
        request = await message(reader)
        to_store.write(request)
        reply, end = await message(from_store), "kept"
        path = request.split()[1].partition(b"?")[0].decode()
        if self.is_broken and path in CALLS and self.random.random() < BROKEN_SHARE:
            name = self.random.choice(list(WAYS))
            self.counts[path, name] += 1
            change, end = WAYS[name]
            reply = change(reply)
        writer.write(reply)
        await writer.drain()
        if end == "reset":
            await asyncio.sleep(0.02)  # The bytes arrive before the reset.
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        return end == "kept"


async def exchange(port, request):
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


def outcome_of(identity, received, was_closed):
    head, _, body = received.partition(b"\r\n\r\n")
    length = re.search(rb"(?im)^content-length: *(\d+)", head)
    echo = re.search(rb"(?im)^x-request-id: *(\S+)", head)
    if not head or not was_closed:
        return "NO ANSWER"
    if not head.startswith(b"HTTP/1.1 200"):
        return "STATUS " + head.split()[1].decode()
    if not re.search(rb"(?im)^x-server-stamp:", head) or not echo or echo[1].decode() != identity:
        return "NOT ITS OWN"
    is_whole = len(body) == int(length[1]) if length else received.endswith(b"\r\n0\r\n\r\n")
    return "whole" if is_whole else "CUT"


async def one_caller(arguments, number, got, until):
    turn, path = 0, "/review/1" if number % 2 else "/lookup/1"
    while asyncio.get_running_loop().time() < until:
        identity, turn = f"store-{number}-{turn}", turn + 1
        request = (f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {identity}\r\nAuthorization: Bearer key-a\r\n"
                   "X-Deadline-Ms: 5000\r\nX-Token-Count: 10,30\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx").encode()
        outcome = outcome_of(identity, *await exchange(arguments.to, request))
        got[path, outcome] += 1
        if outcome != "whole" and got[path, outcome] < 4:
            print("WRONG:", identity, outcome, flush=True)
        await asyncio.sleep(PAUSE_S)


async def play(arguments):
    proxy, got = Proxy(arguments), collections.Counter()
    await asyncio.start_server(proxy.on_connection, "127.0.0.1", arguments.port)
    print("ready", flush=True)
    while not proxy.is_broken:  # Until the process that is tried has started.
        await asyncio.sleep(0.1)
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", arguments.to)
            writer.close()
            await asyncio.sleep(2)
            proxy.is_broken = True
        except OSError:
            pass
    until = asyncio.get_running_loop().time() + PLAY_S
    await asyncio.gather(*(one_caller(arguments, number, got, until) for number in range(CALLERS)))
    for (path, name), count in sorted((proxy.counts + got).items()):
        print(f"{path}: {name} {count}", flush=True)
    wrong = sum(count for (_, outcome), count in got.items() if outcome != "whole")
    print(f"played: {sum(got.values())} answers, wrong {wrong}", flush=True)
    return 1 if wrong else 0


parser = argparse.ArgumentParser()
for option, default in {"port": 0, "store": 0, "to": 0, "seed": 1}.items():
    parser.add_argument("--" + option, type=int, default=default)
sys.exit(asyncio.run(play(parser.parse_args())))
