"""A stream that is moved goes on at another engine while the engine before, which was silent, still works on it."""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-2"))
import stand  # noqa: E402

EVENT_S = 0.1
LONG = 90  # Events of the stream that is moved.
SHORT = 3
SHORT_REQUESTS = 84
HANG_S = 3.5
STILL_AT_WORK_S = 0.4


class Engine(stand.PlainServer):
    """A model server with moves. It is one of those that don't drop a request when its connection closes."""

    def __init__(self, *args, **kwargs):
        self.state, self.is_grey = "ready", False
        self.requests, self.failed = 0, 0
        self.made, self.stopped, self.begun, self.worked = {}, set(), {}, {}
        self.silent_until = 0
        super().__init__(*args, **kwargs)

    def publish(self):
        self._seq += 1
        self.store.put("servers/" + self.name, {
            "Service": self.service, "Address": f"{stand.HOST}:{self.port}", "Zone": self.zone, "Version": "v1",
            "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0, "Seq": self._seq})

    def _serve(self, connection):
        reader = stand.Reader(connection)
        while True:
            request = reader.read()
            self.requests += 1
            if request.target == "/report":
                self.reply(connection, 200, {"State": self.state, "Runs": []})
            elif request.target == "/kv-move":
                self.move(connection, json.loads(request.body))
            elif request.target.startswith("/kv-handle/"):
                self.reply(connection, 200, {})
            elif request.header("X-Expect-Instance") != self.name:
                connection.sendall(stand.encode("HTTP/1.1 421 Misdirected Request",
                                                [("X-Instance-Id", self.name), ("Content-Length", 0)]))
            else:
                self.run(connection, request)

    def reply(self, connection, status, body):
        data = json.dumps(body).encode()
        connection.sendall(stand.encode(f"HTTP/1.1 {status} X", [("Content-Type", "application/json"),
                                                                 ("Content-Length", len(data))], data))

    def move(self, connection, order):
        run, last = order["Id"], order.get("Last", False)
        if last and self.is_grey:
            # Grey: this call fails, and the run hangs for a while.
            self.failed += 1
            if not self.silent_until:
                self.silent_until = time.monotonic() + HANG_S
                self.failed += 1
            self.record.write(f"{self.name} leaves the call that stops {run} unanswered, and does nothing")
            time.sleep(20)
            return
        if last:
            self.stopped.add(run)
            time.sleep(0.02)
        self.record.write(f"{self.name} has {'stopped' if last else 'copied'} {run} at event {self.made[run]}")
        self.reply(connection, 200, {"Handle": "h-" + run, "Created": self.made[run]})

    def run(self, connection, request):
        run = request.header("X-Request-Id")
        first = int(request.header("Last-Event-Id") or 0) + 1
        self.begun[run] = time.monotonic()
        self.record.write(f"{self.name} begins to work on {run} at event {first}"
                          f"{' from ' + request.header('Kv-From') if request.header('Kv-From') else ''}")
        connection.sendall(stand.encode("HTTP/1.1 200 OK", [
            ("X-Request-Id", run), ("X-Server-Stamp", f"stamp-{self.name}-{run}"),
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        is_open = True
        for number in range(first, int(request.target.rsplit("/", 1)[1]) + 1):
            time.sleep(EVENT_S)
            while time.monotonic() < self.silent_until:
                time.sleep(0.05)
            if run in self.stopped:
                connection.shutdown(2)
                raise ConnectionError("stopped")
            event = f"id: {number}\ndata: {number}\n\n".encode()
            self.made[run] = number
            self.worked[run] = time.monotonic()
            if is_open:
                try:
                    connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
                except OSError:
                    self.record.write(f"{self.name} works on {run} though its connection has closed")
                    is_open = False
        if is_open:
            connection.sendall(b"0\r\n\r\n")


def stream(daemons, record, name, events):
    client = stand.Client(daemons, 1, record, 15)
    headers = stand.request_headers(name, 12000) + [
        ("X-Model", "m"), ("X-Token-Count", f"100,{events}"), ("X-Prompt-Prefix", f"{hash(name) & 0xffffff:x}:100"),
        ("Content-Length", 1)]
    record.write(f"client sends {name}, a stream of {events} events")
    client.sock.sendall(stand.encode(f"POST /draft/{events} HTTP/1.1", headers, b"x"))
    answer = client.receive(name)
    client.close()
    return answer


def case(record):
    store = stand.Store(record)
    configuration = stand.configuration("llm", [("draft", "streaming", 1)])
    configuration["Routes"][0].update({"TimeoutMs": 12000, "TargetLatencyMs": 2000, "GapTargetMs": 500,
                                       "Sticky": True, "CanResume": False})
    configuration["Services"][0]["Engine"] = {"Slots": 64, "KvCapacityTokens": 543422, "KvBytes": 35136,
                                              "LinkMbps": 740000.0, "Moves": True, "Stride": 1, "HandleS": 5.0}
    store.put("op/config", configuration)
    engines = [Engine(store, record, f"e-{name}", "llm", f"zone-{zone}", slots=64)
               for zone, name in enumerate(("one", "two", "three", "four", "five", "six", "seven"), 1)]
    daemons = stand.Daemons(store, 1)
    daemons.start_all()
    for number in range(SHORT_REQUESTS // 14):
        threads = [threading.Thread(target=stream, args=(daemons, record, f"short-{number}-{each}", SHORT))
                   for each in range(14)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    client = stand.in_background(lambda: stream(daemons, record, "long", LONG))
    time.sleep(1)
    source = next(engine for engine in engines if "long" in engine.begun)
    source.is_grey = stand.TROUBLE
    source.state = "draining"
    source.publish()
    record.write(f"{source.name} says that it leaves")
    client.join()
    time.sleep(0.5)

    record.write(f"{source.name} failed {source.failed} of {source.requests} requests")
    target = next((engine for engine in engines if engine is not source and "long" in engine.begun), None)
    if not target:
        if not stand.TROUBLE:
            raise stand.CannotRun("the stream was not moved")
        return []
    overlap = source.worked["long"] - target.begun["long"]
    record.write(f"{source.name} worked on long until {overlap:.2f} s after {target.name} began")
    if overlap > STILL_AT_WORK_S:
        return [f"TWICE: long went on at {target.name}, and {source.name} still worked on it {overlap:.2f} s later"]
    return []


stand.play(FOLDER, case)
