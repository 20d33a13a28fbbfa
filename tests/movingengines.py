#!/usr/bin/env python3
"""Engines on loopback that stop streams for a move, and callers that check what they get.

Usage: movingengines.py CASE --port FIRST --count N --callers N --to PORT [PORT] --store PORT [--seed S] [--path PATH]
CASE is chunked or unframed, the framing of the streams; ending is chunked with a last chunk also where a run stops; late is
chunked, with replies that come late, once only, or never. Each stream draws the order in which its engine answers the
move and closes the stream. Half of the engines leave while the streams run; in case killed, which is unframed, they
have a process of their own that is killed instead. Prints "ready", "leave" and then "played" with what the callers got by
order; ends with 1 if a stream reached its caller out of order, as complete before its last event, or from two engines at once,
in case late also if it was broken off.
"""
import argparse
import asyncio
import base64
import collections
import dataclasses
import itertools
import json
import os
import random
import re
import signal
import sys

EVENTS = 60
EVENT_S = 0.05
LEAVE_AT_S = 0.8  # After the first caller.
LEAVES_AFTER_MS = 1500
PLAY_S = 20


@dataclasses.dataclass(frozen=True)
class Order:
    """What an engine does when it is asked to move a run."""
    reply_s: float = 0  # From the close of the stream to the reply, where the run is to stop; negative: before.
    status: int = 200
    inside: bool = False  # The stream stops inside an event.
    copy_s: float = 0  # Until the reply where the run goes on.
    lost: range = range(0)  # The calls, counted from 0, whose reply never comes.
    loses_stops: bool = False  # No reply to a call that stops the run.


ORDERS = {"close-0": Order(), "close-10": Order(0.01), "close-100": Order(0.1), "reply-0": Order(-0.001),
          "reply-100": Order(-0.1), "inside": Order(0.01, inside=True), "full-close": Order(0.01, 503),
          "full-reply": Order(-0.05, 503), "ended": Order(0.01, 404), "lost": Order(lost=range(99))}
LATE_ORDERS = {"late-800": Order(0.8), "late-1300": Order(1.3), "late-1800": Order(1.8), "slow-copy": Order(0.1, copy_s=0.9),
               "lost": Order(lost=range(99)), "lost-first": Order(lost=range(1)), "lost-second": Order(lost=range(1, 2)),
               "lost-stop": Order(loses_stops=True), "close-10": Order(0.01)}


@dataclasses.dataclass
class Run:
    order: str
    last: int = EVENTS
    made: int = 0
    stopped: bool = False
    writer: asyncio.StreamWriter = None
    source: asyncio.StreamWriter = None  # Of the stream that was stopped.
    busy: bool = False  # A call is in progress.
    handle: str = ""
    moved: bool = False
    calls: int = 0
    ran_twice: bool = False


def event(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


class Engines:
    def __init__(self, arguments):
        self.arguments, self.runs, self.draining, self.released = arguments, {}, set(), set()
        self.random, self.handles = random.Random(arguments.seed), itertools.count(1)
        self.chunked, self.ends = arguments.case in ("chunked", "ending", "late"), arguments.case == "ending"
        self.table = LATE_ORDERS if arguments.case == "late" else ORDERS
        # Where every stream has a last chunk, a run whose reply is lost can't be told from one that is complete.
        self.orders = [name for name in self.table if not self.ends or name not in ("lost", "inside")]
        self.ports = range(arguments.port, arguments.port + arguments.count)
        self.leaving, self.staying = self.ports[:arguments.count // 2], self.ports[arguments.count // 2:]

    async def listen(self, ports):
        for port in ports:
            await asyncio.start_server(self.on_connection, "127.0.0.1", port)

    async def on_connection(self, reader, writer):
        try:
            while await self.on_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def on_request(self, reader, writer):
        first, *rest = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        request = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in rest)}
        body = await reader.readexactly(int(request.get("content-length", 0)))
        path = first.split()[1]
        if path == "/kv-move":
            return await self.move(json.loads(body), writer)
        if path in ("/report", "/health"):
            return self.reply(writer, 200, {})
        if path.startswith("/kv-handle/"):
            self.released.add(path.rpartition("/")[2])
            return self.reply(writer, 200, {})
        return await self.stream(request, writer)

    def reply(self, writer, status, body, *headers):
        text = json.dumps(body).encode()
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(text)}", *headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
        return True

    async def stream(self, request, writer):
        identity, after = request["x-request-id"], int(request.get("last-event-id", 0))
        run = self.runs.get(identity) or Run(self.random.choice(self.orders))
        self.runs[identity] = run
        if "kv-from" in request:
            handle, run.handle = run.handle, ""
            if not handle or request["kv-from"].partition("/")[2] != handle:
                return self.reply(writer, 503, {}, "X-Not-Executed: 1", f"X-Request-Id: {identity}")
            run.moved, run.ran_twice = True, run.ran_twice or (run.writer is not None and not run.stopped)
        lines = ["HTTP/1.1 200 OK", "X-Server-Stamp: stamp", f"X-Request-Id: {identity}", "Content-Type: text/event-stream"]
        lines += ["Transfer-Encoding: chunked"] if self.chunked else []
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        run.stopped, run.writer, run.made = False, writer, after
        while run.made < run.last and run.writer is writer and not run.stopped:
            run.made += 1
            self.send(writer, event(run.made))
            await asyncio.sleep(EVENT_S)
        if run.writer is writer and not run.stopped:
            run.writer = None
            if self.chunked:
                writer.write(b"0\r\n\r\n")
        while run.writer is writer:  # Stopped: the move closes it.
            await asyncio.sleep(EVENT_S)
        return False

    def send(self, writer, piece):
        writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if self.chunked else piece)

    async def move(self, order, writer):
        run = self.runs.get(order["Id"])
        if run and run.busy:
            return self.reply(writer, 409, {})
        if not run or not (run.writer or run.stopped):
            return self.reply(writer, 404, {})
        todo, call, run.calls = self.table[run.order], run.calls, run.calls + 1
        run.busy = True
        try:
            status = await (self.stop(run, todo) if order.get("Last") else self.copy(run, todo))
        finally:
            run.busy = False
        if call in todo.lost or (todo.loses_stops and order.get("Last")):
            return False
        if status == 404:
            return self.reply(writer, status, {})
        run.handle = run.handle or f"h{next(self.handles)}"
        self.reply(writer, status, {"Handle": run.handle, "Created": run.made})
        if todo.reply_s < 0 and order.get("Last"):
            await asyncio.sleep(-todo.reply_s)
            self.close(run, run.source)
        return True

    async def copy(self, run, todo):
        await asyncio.sleep(todo.copy_s)
        return 200 if run.writer or run.stopped else 404

    async def stop(self, run, todo):
        if run.stopped:  # Asked again: the memory is still there, unless the run ended by itself.
            return 404 if todo.status == 404 else 200
        run.source, run.stopped = run.writer, True
        if todo.status == 404:  # It ends by itself, at this moment.
            run.last = run.made
        if self.ends or (self.chunked and todo.status == 404):
            run.source.write(b"0\r\n\r\n")
        if todo.inside:
            self.send(run.source, event(run.made + 1)[:9])
        if todo.reply_s >= 0:
            self.close(run, run.source)
            await asyncio.sleep(todo.reply_s)
        return todo.status

    @staticmethod
    def close(run, source):
        source.close()
        if run.writer is source:
            run.writer = None

    async def publish(self):
        puts = [{"Key": f"servers/m-{port}", "Value": self.entry(port), "Lease": 0} for port in self.ports]
        body = json.dumps({"Precondition": [], "Puts": puts, "Deletes": []}).encode()
        await exchange(self.arguments.store, b"POST /kv-txn HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
                                             b"Content-Length: %d\r\n\r\n%s" % (len(body), body))

    def entry(self, port):
        out = {"Service": "svc-moves", "Address": f"127.0.0.1:{port}", "Zone": "zone-0", "Version": "v1",
               "ColdRemainingMs": 0, "born": 1, "Slots": 64, "State": "ready", "Seq": 1}
        if port in self.draining:
            out.update(State="draining", leaves_ms=LEAVES_AFTER_MS, Seq=2)
        return base64.b64encode(json.dumps(out).encode()).decode()

    async def leave(self):
        self.draining.update(self.leaving)
        await self.publish()


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


def stream_of(response, was_closed):
    """The status, the ids of the events, and whether the response is complete by its framing."""
    head, _, rest = response.partition(b"\r\n\r\n")
    status = int(head.split()[1]) if head else 0
    complete, body = was_closed, rest
    if re.search(rb"(?im)^transfer-encoding: *chunked", head):
        complete, body = rest.endswith(b"\r\n0\r\n\r\n"), re.sub(rb"(?m)^[0-9a-f]+\r\n|\r\n", b"", rest)
    return status, [int(each) for each in re.findall(rb"id: (\d+)\ndata: token \d+\n\n", body)], complete


async def one_caller(arguments, engines, number, got):
    await asyncio.sleep(0.004 * number)
    identity = f"move-{number:04}"
    request = (f"POST {arguments.path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {identity}\r\n"
               f"Authorization: Bearer key-a\r\nX-Deadline-Ms: 12000\r\nX-Token-Count: 10,{3 * EVENTS}\r\n"
               "Connection: close\r\nContent-Length: 1\r\n\r\nx").encode()
    response, was_closed = await exchange(arguments.to[number % len(arguments.to)], request)
    status, events, complete = stream_of(response, was_closed)
    run = engines.runs.get(identity, Run("none"))
    name = run.order if run.moved or run.stopped else "stays"
    if run.ran_twice:
        got[name, "RAN TWICE"] += 1
    elif events != list(range(1, len(events) + 1)):
        got[name, "OUT OF ORDER"] += 1
    elif complete and status == 200 and len(events) < run.last:
        got[name, "ENDED EARLY"] += 1
    else:
        is_whole = complete and status == 200
        got[name, "whole" if is_whole else "BROKEN OFF" if arguments.case == "late" else "broken off"] += 1


def start_victims(engines):
    victims = os.fork()
    if victims:
        return victims
    loop = asyncio.new_event_loop()
    loop.run_until_complete(engines.listen(engines.leaving))
    loop.run_forever()


async def play(arguments, engines, victims):
    got = collections.Counter()
    await engines.listen(engines.staying if victims else engines.ports)
    await engines.publish()
    print("ready", flush=True)
    await asyncio.sleep(2)
    callers = [asyncio.create_task(one_caller(arguments, engines, number, got)) for number in range(arguments.callers)]
    await asyncio.sleep(LEAVE_AT_S)
    print("leave", flush=True)
    if victims:
        os.kill(victims, signal.SIGKILL)
    else:
        await engines.leave()
    _, late = await asyncio.wait(callers, timeout=PLAY_S)
    for (order, outcome), count in sorted(got.items()):
        print(f"{order}: {outcome} {count}", flush=True)
    moved = sum(run.moved for run in engines.runs.values())
    left = sum(bool(run.handle) and run.handle not in engines.released for run in engines.runs.values())
    wrong = sum(count for (_, outcome), count in got.items() if outcome.isupper())
    print(f"played: {sum(got.values())} of {arguments.callers}, moved {moved}, copies left {left}, wrong {wrong}", flush=True)
    return 0 if not wrong and not late else 1


parser = argparse.ArgumentParser()
parser.add_argument("case", choices=["chunked", "unframed", "ending", "late", "killed"])
parser.add_argument("--to", type=int, nargs="+")
for name, default in {"port": 0, "count": 8, "callers": 120, "store": 0, "seed": 1}.items():
    parser.add_argument("--" + name, type=int, default=default)
parser.add_argument("--path", default="/moves/1")
given = parser.parse_args()
all_engines = Engines(given)
sys.exit(asyncio.run(play(given, all_engines, start_victims(all_engines) if given.case == "killed" else 0)))
