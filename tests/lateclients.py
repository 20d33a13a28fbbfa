#!/usr/bin/env python3
"""Clients of a daemon that stops: requests over connections that were open before, each at its own moment until the
process is gone, and over new ones.

Usage: lateclients.py --to PORT --name NAME --seconds S [--idle N] [--busy N]
Prints a line for each request: its id, then a status, "half" (an answer or a stream in part), "cut" (sent, closed without
an answer) or "gone" (no connection). Requests differ in path and in whether they state a deadline.
"""
import argparse
import asyncio
import re

PATHS = ("/order/1", "/lookup/1", "/draft/1")
RETRY_S = 0.05


class Client:
    def __init__(self, arguments, number):
        self.arguments, self.number, self.sent, self.streams = arguments, number, 0, None

    async def connect(self):
        if self.streams is None:
            self.streams = await asyncio.open_connection("127.0.0.1", self.arguments.to)

    def close(self):
        if self.streams:
            self.streams[1].transport.abort()
        self.streams = None

    async def request(self):
        """Sends one request and prints what became of it. Returns false if there was no connection for it."""
        self.sent += 1
        request_id = f"{self.arguments.name}-{self.number}-{self.sent}"
        try:
            await self.connect()
        except OSError:
            print(request_id, "gone")
            return False
        reader, writer = self.streams
        path = PATHS[(self.number + self.sent) % len(PATHS)]
        deadline = "X-Deadline-Ms: 1400\r\n" if (self.number + self.sent) % 2 else ""
        writer.write(f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {request_id}\r\n{deadline}"
                     f"Authorization: Bearer key-a\r\nContent-Length: 1\r\n\r\nx".encode())
        head = b""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split()[1])
            length = re.search(rb"content-length: (\d+)", head, re.I)
            if length:
                await reader.readexactly(int(length[1]))
            else:
                await reader.readuntil(b"\r\n0\r\n\r\n")
            print(request_id, status)
        except (OSError, asyncio.IncompleteReadError) as error:
            got = head or getattr(error, "partial", b"")
            print(request_id, "half" if got else "cut")
            head = b"connection: close"
        if re.search(rb"connection: close", head, re.I):
            self.close()
        return True


async def idle_client(client, at):
    await client.connect()
    await asyncio.sleep(at)
    await client.request()


async def busy_client(client, end):
    while asyncio.get_running_loop().time() < end:
        if not await client.request():
            await asyncio.sleep(RETRY_S)


async def play(arguments):
    end = asyncio.get_running_loop().time() + arguments.seconds
    idle = [idle_client(Client(arguments, n), arguments.seconds * (n + 1) / arguments.idle) for n in range(arguments.idle)]
    busy = [busy_client(Client(arguments, 1000 + n), end) for n in range(arguments.busy)]
    await asyncio.gather(*idle, *busy)


parser = argparse.ArgumentParser()
parser.add_argument("--to", type=int, required=True)
parser.add_argument("--name", required=True)
parser.add_argument("--seconds", type=float, required=True)
parser.add_argument("--idle", type=int, default=40)
parser.add_argument("--busy", type=int, default=3)
asyncio.run(play(parser.parse_args()))
