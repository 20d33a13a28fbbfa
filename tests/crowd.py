#!/usr/bin/env python3
"""A crowd of clients that don't behave, against one process on loopback.

Usage: crowd.py KIND --port PORT --pid PID --count N --bytes N [--path PATH] [--stop FILE]
Plays until nothing moves any more, prints "held", holds what is open until FILE exists, then prints
"peak_kb=N peak_descriptors=N": the process's resident memory plus the bytes that its sockets have received and not read,
and its open descriptors.
"""
import argparse
import os
import selectors
import socket
import sys
import time

QUIET_S = 0.7  # Nothing is sent for this long: the crowd has sent what it can.
LONGEST_S = 12
CONNECTIONS_EACH = 3  # A client that is closed comes back.


def head(client, path, key, framing):
    return (f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: crowd-{client}\r\n"
            f"X-Deadline-Ms: 12000\r\nAuthorization: Bearer {key}\r\n{framing}\r\n").encode()


def chunk(size):
    return b"%x\r\n%b\r\n" % (size, b"c" * size)


def framed(kind, size):
    """The header that announces a body, and what follows it."""
    length, chunked = f"Content-Length: {size}\r\n", "Transfer-Encoding: chunked\r\n"
    piece = 16 << 10
    return {
        "trailers": (chunked, chunk(10) + b"0\r\nX-Trailer: " + b"t" * size),
        "extensions": (chunked, b"a;" + b"e" * size),
        "zeros": (chunked, b"0" * size),
        "stalled": (length, b"b" * (size - 10)),
        "pieces": (chunked, chunk(piece) * (size // piece - 1) + b"%x\r\n" % piece + b"c" * (piece - 10)),
        "whole": (length, b"b" * size),
        "oversize": (chunked, chunk(64 << 10) * (size >> 14)),
        "announced": (f"Content-Length: {1 << 40}\r\n", b"b" * size),
    }[kind]


def text_of(kind, client, arguments):
    key = "key-a" if client % 2 or kind in ("unread", "pipelined") else "nobody's"
    if kind == "idle":
        return b""
    if kind == "headers":
        return head(client, arguments.path, key, "X-Long: " + "h" * arguments.bytes)[:-4]
    if kind == "unread":
        return head(client, arguments.path, key, "")
    if kind == "pipelined":
        return head(client, arguments.path, key, "Content-Length: 1\r\n").replace(b"\r\n\r\n", b"\r\n\r\nx") * 2000
    framing, body = framed(kind, arguments.bytes)
    return head(client, arguments.path, key, framing) + body


class Watch:
    """What a process holds, read from the kernel."""

    def __init__(self, pid):
        self.pid, self.peak_kb, self.peak_descriptors = pid, 0, 0

    def unread(self):
        inodes = set()
        for name in os.listdir(f"/proc/{self.pid}/fd"):
            try:
                target = os.readlink(f"/proc/{self.pid}/fd/{name}")
            except FileNotFoundError:
                continue
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
        self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))
        with open(f"/proc/{self.pid}/net/tcp") as table:
            rows = [line.split() for line in table][1:]
        # State 0A listens: its queue counts connections.
        return sum(int(row[4].split(":")[1], 16) for row in rows if row[9] in inodes and row[3] != "0A")

    def look(self):
        try:
            with open(f"/proc/{self.pid}/status") as status:
                fields = dict(line.split(":", 1) for line in status)
            resident = int(fields["VmRSS"].split()[0])
            self.peak_kb = max(self.peak_kb, resident + self.unread() // 1024, int(fields["VmHWM"].split()[0]))
        except (FileNotFoundError, KeyError):
            print("the process has ended", flush=True)
            sys.exit(1)


class Client:
    def __init__(self, number, arguments, selector):
        self.number, self.arguments, self.selector = number, arguments, selector
        self.connections = 0
        self.connect()

    def connect(self):
        self.socket = None
        if self.connections == CONNECTIONS_EACH:
            return
        self.connections += 1
        self.rest = memoryview(text_of(self.arguments.kind, self.number, self.arguments))
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", self.arguments.port))
        self.selector.register(self.socket, selectors.EVENT_WRITE | selectors.EVENT_READ, self)

    def go_on(self, events):
        """Returns whether something moved."""
        try:
            if events & selectors.EVENT_READ and self.arguments.kind not in ("unread", "pipelined"):
                if not self.socket.recv(65536):
                    raise ConnectionResetError
            if events & selectors.EVENT_WRITE:
                self.rest = self.rest[self.socket.send(self.rest[:32768]):] if self.rest else self.rest
                if not self.rest:
                    watched = 0 if self.arguments.kind in ("unread", "pipelined") else selectors.EVENT_READ
                    self.watch(watched)
        except BlockingIOError:
            return False
        except OSError:
            self.selector.unregister(self.socket)
            self.socket.close()
            self.connect()
        return True

    def watch(self, events):
        if events:
            self.selector.modify(self.socket, events, self)
        else:
            self.selector.unregister(self.socket)


def play(arguments):
    selector = selectors.DefaultSelector()
    watch = Watch(arguments.pid)
    clients = [Client(i, arguments, selector) for i in range(arguments.count)]
    start = moved = looked = time.monotonic()
    held = False
    while not (held and os.path.exists(arguments.stop)):
        any_moved = False
        for key, events in selector.select(0.02):
            if key.fd >= 0:
                any_moved = key.data.go_on(events) or any_moved
        now = time.monotonic()
        moved = now if any_moved else moved
        if now - looked > 0.02:
            watch.look()
            looked = time.monotonic()
        if not held and (now - moved > QUIET_S or now - start > LONGEST_S):
            held = True
            print(f"held open={sum(each.socket is not None for each in clients)}", flush=True)
    print(f"peak_kb={watch.peak_kb} peak_descriptors={watch.peak_descriptors}", flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("kind")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--pid", type=int, required=True)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--bytes", type=int, default=0)
    parser.add_argument("--path", default="/order/1")
    parser.add_argument("--stop", required=True)
    play(parser.parse_args())


main()
