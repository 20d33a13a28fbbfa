#!/usr/bin/env python3
"""Engines on loopback that stop streams for a move, and callers that check what they get.

Usage: movingengines.py CASE --port FIRST --count N --callers N --to PORT [PORT] --store PORT [--seed S] [--path PATH]
       [--notice MS] [--events N]
CASE is chunked or unframed, the framing of the streams; ending is chunked with a last chunk also where a run stops; late is
chunked, with replies that come late, once only, or never; in exiting, which is chunked, the engines that leave close all
their connections and stop listening when their notice has passed; queued is exiting, and all copies wait for each other;
hanging is chunked: runs hang when they are asked to stop, and the calls get no reply meanwhile, or never; versions is late
with callers on kept connections, half of whose bodies are in chunks, and engines that leave twice. No run ends when its
connection closes. Each stream draws the order in which its engine answers the move and closes the stream. Half of the
engines leave while the streams run; in case killed, which is unframed, they have a process of their own that is killed
instead. Prints "ready", "leave" and then "played" with what the callers got by order; ends with 1 if a stream reached its
caller out of order, as complete before its last event, or from two engines at once, or broken off (but in cases unframed
and killed).
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
import time

EVENT_S = 0.05
LEAVE_AT_S = 0.8  # After the first caller.
LEAVE_AGAIN_S = 3.2  # Later, amid the second streams of kept connections.
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
    hang_s: float = 0  # From the first call that stops the run: it makes no events, and no call gets a reply.
    link_s: float = 0  # That the first copy takes on the link of its engine, behind the copies before it.


ORDERS = {"close-0": Order(), "close-10": Order(0.01), "close-100": Order(0.1), "reply-0": Order(-0.001),
          "reply-100": Order(-0.1), "inside": Order(0.01, inside=True), "full-close": Order(0.01, 503),
          "full-reply": Order(-0.05, 503), "ended": Order(0.01, 404), "lost": Order(lost=range(99))}
EXIT_ORDERS = {"reply-0": Order(), "reply-300": Order(0.3, copy_s=0.3), "reply-800": Order(0.8, copy_s=0.8),
               "queued": Order(link_s=0.1)}
QUEUE_ORDERS = {"queued": Order(link_s=0.2)}
LATE_ORDERS = {"late-800": Order(0.8), "late-1300": Order(1.3), "late-1800": Order(1.8), "slow-copy": Order(0.1, copy_s=0.9),
               "lost": Order(lost=range(99)), "lost-first": Order(lost=range(1)), "lost-second": Order(lost=range(1, 2)),
               "lost-stop": Order(loses_stops=True), "close-10": Order(0.01)}
HANG_ORDERS = {"hangs-3500-lost": Order(hang_s=3.5, loses_stops=True), "hangs-3500": Order(0.01, hang_s=3.5),
               "hangs-900": Order(0.01, hang_s=0.9), "close-10": Order(0.01), "lost-stop": Order(loses_stops=True)}
TABLES = {"hanging": HANG_ORDERS, "late": LATE_ORDERS, "versions": LATE_ORDERS, "exiting": EXIT_ORDERS, "queued": QUEUE_ORDERS}


@dataclasses.dataclass
class Run:
    order: str
    last: int
    made: int = 0
    stopped: bool = False
    writer: asyncio.StreamWriter = None
    source: asyncio.StreamWriter = None  # Of the stream that was stopped.
    busy: bool = False  # A call is in progress.
    handle: str = ""
    moved: int = 0  # How often it went on from its memory.
    calls: int = 0
    ran_twice: bool = False
    hung_until: float = 0
    port: int = 0  # Of the engine that has it.
    copied_to: set = dataclasses.field(default_factory=set)  # Ports.


def port_of(writer):
    return writer.get_extra_info("sockname")[1]


def event(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


class Engines:
    def __init__(self, arguments):
        self.arguments, self.runs, self.draining, self.released = arguments, {}, set(), set()
        self.random, self.handles = random.Random(arguments.seed), itertools.count(1)
        self.chunked = arguments.case in ("chunked", "ending", "late", "hanging", "exiting", "queued", "versions")
        self.exits = arguments.case in ("exiting", "queued")
        self.ends, self.listeners, self.open = arguments.case == "ending", [], set()
        self.links = collections.defaultdict(asyncio.Lock)  # Of the engines, by port.
        self.table = TABLES.get(arguments.case, ORDERS)
        # Where every stream has a last chunk, a run whose reply is lost can't be told from one that is complete.
        self.orders = [name for name in self.table if not self.ends or name not in ("lost", "inside")]
        self.ports = range(arguments.port, arguments.port + arguments.count)
        self.leaving, self.staying = self.ports[:arguments.count // 2], self.ports[arguments.count // 2:]

    async def listen(self, ports):
        for port in ports:
            self.listeners.append((port, await asyncio.start_server(self.on_connection, "127.0.0.1", port)))

    async def on_connection(self, reader, writer):
        self.open.add(writer)
        try:
            while await self.on_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
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
        run = self.runs.get(identity) or Run(self.random.choice(self.orders), self.arguments.events)
        self.runs[identity] = run
        if "kv-from" in request:
            handle, run.handle = run.handle, ""
            holders = {run.port} | run.copied_to
            if not handle or request["kv-from"].partition("/")[2] != handle or port_of(writer) not in holders:
                return self.reply(writer, 503, {}, "X-Not-Executed: 1", f"X-Request-Id: {identity}")
            run.copied_to = set()
            run.moved, run.ran_twice = run.moved + 1, run.ran_twice or (run.writer is not None and not run.stopped)
        lines = ["HTTP/1.1 200 OK", "X-Server-Stamp: stamp", f"X-Request-Id: {identity}", "Content-Type: text/event-stream"]
        lines += ["Transfer-Encoding: chunked"] if self.chunked else []
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        run.stopped, run.writer, run.made, run.port = False, writer, after, port_of(writer)
        while run.made < run.last and run.writer is writer and not run.stopped:
            if time.monotonic() < run.hung_until:
                await asyncio.sleep(EVENT_S)
                continue
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
        if todo.hang_s and order.get("Last"):
            run.hung_until = run.hung_until or time.monotonic() + todo.hang_s
            if (left := run.hung_until - time.monotonic()) > 0:
                await asyncio.sleep(left)
                return False
            if todo.loses_stops:
                return False
        run.busy, moved_before, target = True, run.moved, int(order["Target"].rpartition(":")[2])
        try:
            status = await (self.stop if order.get("Last") else self.copy)(run, todo, target)
        finally:
            run.busy = False
        if call in todo.lost or (todo.loses_stops and order.get("Last")):
            return False
        if status == 404 or run.moved != moved_before:
            return self.reply(writer, 404, {})
        run.handle = run.handle or f"h{next(self.handles)}"
        self.reply(writer, status, {"Handle": run.handle, "Created": run.made})
        if todo.reply_s < 0 and order.get("Last"):
            await asyncio.sleep(-todo.reply_s)
            self.close(run, run.source)
        return True

    async def copy_to(self, run, todo, target):
        if todo.link_s:
            async with self.links[run.port]:
                await asyncio.sleep(0 if target in run.copied_to else todo.link_s)
        run.copied_to.add(target)

    async def copy(self, run, todo, target):
        await self.copy_to(run, todo, target)
        await asyncio.sleep(todo.copy_s)
        return 200 if run.writer or run.stopped else 404

    async def stop(self, run, todo, target):
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
            await self.copy_to(run, todo, target)
            await asyncio.sleep(todo.reply_s)
        run.copied_to.add(target)
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
            out.update(State="draining", leaves_ms=self.arguments.notice, Seq=2)
        return base64.b64encode(json.dumps(out).encode()).decode()

    async def leave(self, ports):
        self.draining.update(ports)
        await self.publish()
        if self.exits:
            asyncio.get_running_loop().call_later(self.arguments.notice / 1000, self.exit)

    def exit(self):
        for port, listener in self.listeners:
            if port in self.leaving:
                listener.close()
        for writer in [each for each in self.open if port_of(each) in self.leaving]:
            writer.transport.abort()
        for run in self.runs.values():
            if run.writer and port_of(run.writer) in self.leaving:
                run.writer = None


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


def is_whole(response):
    """Whether all of a response with a length or in chunks is there."""
    head, _, body = response.partition(b"\r\n\r\n")
    length = re.search(rb"(?im)^content-length: *(\d+)", head)
    return len(body) >= int(length[1]) if length else response.endswith(b"\r\n0\r\n\r\n")


class KeptConnection:
    def __init__(self, port):
        self.port, self.streams, self.closes = port, None, 0

    async def exchange(self, request):
        """All bytes of the response, and whether its connection was not reset."""
        reader, writer = self.streams or await asyncio.open_connection("127.0.0.1", self.port)
        self.streams, received = None, b""
        try:
            writer.write(request)
            while not is_whole(received) and (piece := await reader.read(1 << 16)):
                received += piece
        except OSError:
            writer.close()
            return received, False
        if is_whole(received) and not re.search(rb"(?im)^connection: *close", received):
            self.streams = reader, writer
        else:
            writer.close()
        return received, True

    async def exchange_unless_closed(self, request, was_sent):
        """The same, once more where the connection was closed while it was idle and nothing was passed on."""
        was_idle = self.streams is not None
        response, was_closed = await self.exchange(request)
        if response or not was_idle or was_sent():
            return response, was_closed
        self.closes += 1
        return await self.exchange(request)


def stream_of(response, was_closed):
    """The status, the ids of the events, and whether the response is complete by its framing."""
    head, _, rest = response.partition(b"\r\n\r\n")
    status = int(head.split()[1]) if head else 0
    complete, body = was_closed, rest
    if re.search(rb"(?im)^transfer-encoding: *chunked", head):
        complete, body = rest.endswith(b"\r\n0\r\n\r\n"), re.sub(rb"(?m)^[0-9a-f]+\r\n|\r\n", b"", rest)
    return status, [int(each) for each in re.findall(rb"id: (\d+)\ndata: token \d+\n\n", body)], complete


def request_of(arguments, identity, end, body):
    return (f"POST {arguments.path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {identity}\r\n"
            f"Authorization: Bearer key-a\r\nX-Deadline-Ms: 12000\r\nX-Token-Count: 10,{3 * arguments.events}\r\n"
            f"{end}{body}").encode()


async def one_caller(arguments, engines, number, got):
    await asyncio.sleep(0.004 * number)
    identity = f"move-{number:04}"
    port = arguments.to[number % len(arguments.to)]
    body = "Content-Length: 1\r\n\r\nx"
    if arguments.case != "versions":
        request = request_of(arguments, identity, "Connection: close\r\n", body)
        return record(arguments, engines, identity, await exchange(port, request), got)
    if number % 2:
        body = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
    connection = KeptConnection(port)
    for turn in range(2):
        name = f"{identity}-{turn}"
        request = request_of(arguments, name, "", body)
        answer = await connection.exchange_unless_closed(request, lambda name=name: name in engines.runs)
        record(arguments, engines, name, answer, got)


def record(arguments, engines, identity, answer, got):
    status, events, complete = stream_of(*answer)
    run = engines.runs.get(identity, Run("none", arguments.events))
    is_asked = run.moved or run.stopped or (engines.exits and run.port in engines.leaving)
    name = run.order if is_asked else "stays"
    outcome = outcome_of(run, status, events, complete)
    if arguments.case not in ("unframed", "killed"):
        outcome = outcome.replace("broken off", "BROKEN OFF")
    got[name, outcome] += 1
    if outcome.isupper():
        print(f"{outcome}: {identity} after event {len(events)}", flush=True)


def outcome_of(run, status, events, complete):
    if run.ran_twice:
        return "RAN TWICE"
    if events != list(range(1, len(events) + 1)):
        return "OUT OF ORDER"
    if not complete or status != 200:
        return "broken off"
    return "whole" if len(events) >= run.last else "ENDED EARLY"


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
        await engines.leave(engines.leaving)
    if arguments.case == "versions":
        await asyncio.sleep(LEAVE_AGAIN_S)
        await engines.leave(engines.staying[:len(engines.staying) // 2])
    _, late = await asyncio.wait(callers, timeout=PLAY_S)
    for (order, outcome), count in sorted(got.items()):
        print(f"{order}: {outcome} {count}", flush=True)
    moved = sum(run.moved > 0 for run in engines.runs.values())
    left = sum(bool(run.handle) and run.handle not in engines.released for run in engines.runs.values())
    wrong = sum(count for (_, outcome), count in got.items() if outcome.isupper())
    wanted = arguments.callers * (2 if arguments.case == "versions" else 1)
    print(f"played: {sum(got.values())} of {wanted}, moved {moved}, copies left {left}, wrong {wrong}", flush=True)
    return 0 if not wrong and not late else 1


parser = argparse.ArgumentParser()
parser.add_argument("case", choices=["chunked", "unframed", "ending", "late", "hanging", "exiting", "queued", "versions", "killed"])
parser.add_argument("--to", type=int, nargs="+")
for name, default in {"port": 0, "count": 8, "callers": 120, "store": 0, "seed": 1, "notice": 1500, "events": 60}.items():
    parser.add_argument("--" + name, type=int, default=default)
parser.add_argument("--path", default="/moves/1")
given = parser.parse_args()
all_engines = Engines(given)
sys.exit(asyncio.run(play(given, all_engines, start_victims(all_engines) if given.case == "killed" else 0)))
