"""Stand-ins for the scripts of the second review: the platform's store, plain servers, clients, the daemons.

Everything runs on 127.0.0.1 with free ports. The store follows "The platform's metadata store" of PROTOCOL.md,
the servers its "Servers" page. Only processes that were started here are ended, by their ids.
"""

import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HOST = "127.0.0.1"
ROOT = os.environ.get("REVIEW_ROOT") or os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "cranberrygated")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


STARTED = []  # The groups of daemons of this case.
PROCESSES = []  # Its other processes.


class CannotRun(Exception):
    """The case could not be played; its verdict is 2."""


def free_port():
    """A port that is free for TCP and for UDP."""
    for _ in range(100):
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            tcp.bind((HOST, 0))
            try:
                udp.bind((HOST, tcp.getsockname()[1]))
            except OSError:
                continue
            return tcp.getsockname()[1]
    raise CannotRun("no free port")


def in_background(function):
    thread = threading.Thread(target=function, daemon=True)
    thread.start()
    return thread


def await_port(port, seconds=10):
    until = time.monotonic() + seconds
    while True:
        try:
            socket.create_connection((HOST, port), 1).close()
            return
        except OSError:
            if time.monotonic() > until:
                raise CannotRun(f"nothing listens at port {port}") from None
            time.sleep(0.05)


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()
        self._lock = threading.Lock()
        self.write("trouble is " + ("on" if TROUBLE else "off"))

    def write(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:9.3f} s  {text}\n")
            self._file.flush()


# ---- HTTP on sockets ----

class Message:
    """A request or response that was read, with its headers in lower case."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    def header(self, name):
        return self.headers.get(name.lower(), "")


class Reader:
    """Reads messages from a connection."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _more(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.buffer += data

    def _line_end(self):
        while b"\r\n" not in self.buffer:
            self._more()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def _exactly(self, size):
        while len(self.buffer) < size:
            self._more()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def read(self, may_have_body=True):
        while b"\r\n\r\n" not in self.buffer:
            self._more()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        body = b""
        if "content-length" in headers and may_have_body:
            body = self._exactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int(self._line_end().split(b";")[0], 16)
                body += self._exactly(size)
                self._line_end()
                if size == 0:
                    break
        return Message(lines[0], headers, body)


def encode(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """Accepts connections, each served by a thread of its own."""

    def __init__(self, port, serve):
        self.port = port
        self._serve = serve
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((HOST, port))
        self._socket.listen(256)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._one, args=(connection,), daemon=True).start()

    def _one(self, connection):
        try:
            self._serve(connection)
        except (ConnectionError, OSError, ValueError):
            pass
        finally:
            connection.close()

    def close(self):
        self._socket.close()


# ---- The platform ----

class Store:
    """The platform's store, and the receiver of the calls of singleton duties."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.duties = []
        self._lock = threading.RLock()
        self._items = {}
        self._leases = {}
        self._revision = 100
        self._next_lease = 77000
        self._listener = Listener(self.port, self._serve)

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def put(self, key, value):
        """A write of the operator or of a server."""
        with self._lock:
            self._revision += 1
            created = self._items.get(key, {}).get("Created", self._revision)
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self._items[key] = {"Key": key, "Value": text, "Revision": self._revision, "Created": created,
                                "Lease": 0}

    def remove(self, key):
        with self._lock:
            if self._items.pop(key, None):
                self._revision += 1

    def _expire(self):
        now = time.monotonic()
        for lease in [each for each, (_, until) in self._leases.items() if until <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [each for each, item in self._items.items() if item["Lease"] == lease]:
            self.remove(key)

    def _serve(self, connection):
        reader = Reader(connection)
        while True:
            request = reader.read()
            status, body = self._answer(request)
            data = json.dumps(body).encode()
            connection.sendall(encode(f"HTTP/1.1 {status} X", [("Content-Type", "application/json"),
                                                               ("Content-Length", len(data))], data))

    def _answer(self, request):
        with self._lock:
            self._expire()
            path, _, query_text = request.target.partition("?")
            query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
            if path in ("/usage", "/scale"):
                self.duties.append((path, request.header("X-Duty-Holder"), int(request.header("X-Fence-Token")),
                                    json.loads(request.body)))
                return 200, {}
            if path == "/kv-range":
                keys = sorted(key for key in self._items if key.startswith(query["Prefix"])
                              and key > query.get("After", ""))
                return 200, {"Items": [self._items[key] for key in keys[:500]], "Truncated": len(keys) > 500,
                             "CurrentRev": self._revision}
            if path == "/kv-lease":
                ttl = json.loads(request.body)["TtlMs"]
                self._next_lease += 1
                self._leases[self._next_lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"Lease": self._next_lease, "TtlMs": ttl}
            last = path.rsplit("/", 1)[1]
            if path.startswith("/kv-keep/"):
                if int(last) not in self._leases:
                    return 404, {}
                ttl = self._leases[int(last)][0]
                self._leases[int(last)] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"TtlMs": ttl}
            if path.startswith("/kv-lease-end/"):
                self._end_lease(int(last))
                return 200, {}
            if path == "/kv-txn":
                return self._write(json.loads(request.body))
            return 404, {}

    def _write(self, body):
        rows = body.get("Precondition", [])
        if any(self._items.get(row["Key"], {"Revision": 0})["Revision"] != row["Revision"] for row in rows):
            return 412, {"Items": [self._items[row["Key"]] for row in rows if row["Key"] in self._items]}
        puts = body.get("Puts", [])
        if any(put.get("Lease", 0) and put["Lease"] not in self._leases for put in puts):
            return 404, {}
        self._revision += 1
        for put in puts:
            created = self._items.get(put["Key"], {}).get("Created", self._revision)
            self._items[put["Key"]] = {"Key": put["Key"], "Value": put["Value"], "Revision": self._revision,
                                       "Created": created, "Lease": put.get("Lease", 0)}
        for key in body.get("Deletes", []):
            self._items.pop(key, None)
        return 200, {"Revision": self._revision}


def configuration(service, routes):
    """A small configuration: `routes` are rows of name, kind, attempts; each has the prefix /NAME/."""
    return {
        "Version": 1,
        "Routes": [{"Name": name, "Host": "desk.example", "Prefix": f"/{name}/", "Kind": kind, "TimeoutMs": 4000,
                    "TargetLatencyMs": 300, "Priority": 2, "Service": service, "Attempts": attempts,
                    "Anonymous": False} for name, kind, attempts in routes],
        "Services": [{"Name": service, "HealthCheckPath": "/health", "MaxConnections": 100, "Protocol": "h1",
                      "Tls": False}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "org-a", "ApiKeys": ["key-a"], "Priority": 1, "Unit": "token_stream",
                     "PlainTokens": 200, "RatePerS": 1000000, "Burst": 1000000}],
    }


# ---- Servers ----

class PlainServer:
    """A sound server of a plain service. Subclasses behave wrongly where a page allows it."""

    def __init__(self, store, record, name, service, zone, slots=6, work_s=0.03):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.zone, self.slots, self.work_s = zone, slots, work_s
        self.port = free_port()
        self.runs = []
        self._lock = threading.Lock()
        self._seq = 0
        self._listener = Listener(self.port, self._serve)
        self.publish()
        threading.Thread(target=self._beat, daemon=True).start()

    def publish(self):
        self._seq += 1
        self.store.put("servers/" + self.name, {
            "Service": self.service, "Address": f"{HOST}:{self.port}", "Zone": self.zone, "Version": "v1",
            "Slots": self.slots, "State": "ready", "ColdRemainingMs": 0, "Seq": self._seq})

    def _beat(self):
        while True:
            time.sleep(1.2)
            self.publish()

    def _serve(self, connection):
        reader = Reader(connection)
        while True:
            self.handle(connection, reader.read())

    def begin_run(self, request):
        request_id = request.header("X-Request-Id")
        with self._lock:
            self.runs.append((request_id, request))
        self.record.write(f"{self.name} begins to work on {request_id} ({request.first}, {len(request.body)} bytes)")

    def answer_of(self, request):
        """The whole answer that a sound server gives; works on the request if it has to."""
        request_id = request.header("X-Request-Id")
        if not request_id:
            return encode("HTTP/1.1 400 Bad Request", [("X-Not-Executed", "1"), ("Content-Length", 0)])
        if request.header("X-Expect-Instance") not in ("", self.name):
            return encode("HTTP/1.1 421 Misdirected Request", [("X-Instance-Id", self.name),
                                                               ("Content-Length", 0)])
        self.begin_run(request)
        time.sleep(self.work_s)
        body = f"answer of {self.name} to {request_id}".encode()
        return encode("HTTP/1.1 200 OK", [("X-Request-Id", request_id), ("X-Server-Stamp", f"stamp-{request_id}"),
                                          ("Keep-Alive", "timeout=10"), ("Content-Length", len(body))], body)

    def handle(self, connection, request):
        connection.sendall(self.answer_of(request))


# ---- The daemons ----

class Daemons:
    """Processes of the project's gateway, with the settings of a small deployment."""

    def __init__(self, store, count, memory_mb=260):
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("target/cranberrygated is missing: run the build of the deploy file first")
        self.store = store
        self._folder = tempfile.TemporaryDirectory()
        self._processes = {}
        STARTED.append(self)
        self._settings = {}
        for number in range(1, count + 1):
            caller, readiness, entry, peer, metrics = (free_port() for _ in range(5))
            self._settings[number] = {
                "instance": f"front-{number}", "failureDomain": f"zone-{number}",
                "callerAddress": f"{HOST}:{caller}", "readinessAddress": f"{HOST}:{readiness}",
                "entryAddress": f"{HOST}:{entry}", "peerAddress": f"{HOST}:{peer}", "metricsPort": metrics,
                "dutyAddress": store.address, "firstStart": True, "memoryMb": memory_mb, "maxDescriptors": 4100,
                "cores": 0.25, "revokeBoundMs": 5000, "configurationBoundMs": 2000, "drainMs": 2000,
                "leaseMs": 3000, "stopGraceSeconds": 8, "usageWindowSeconds": 5, "usageDueSeconds": 10,
                "repeatRatio": 0.2, "repeatSlack": 52, "repeatWindowSeconds": 10, "quotaOver": 0.1,
                "quotaSlack": 190000, "storeAddress": store.address}

    def start(self, number):
        path = os.path.join(self._folder.name, f"settings-{number}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self._settings[number], file)
        self._settings[number]["firstStart"] = False
        output = open(os.path.join(self._folder.name, f"daemon-{number}.out"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CRANBERRYGATE_BOOT"] = path
        self._processes[number] = subprocess.Popen([DAEMON], stdout=output, stderr=output, env=environment, cwd=ROOT)

    def start_all(self):
        for number in self._settings:
            self.start(number)
        for number in self._settings:
            self.await_ready(number)

    def address(self, number, which="callerAddress"):
        host, port = self._settings[number][which].split(":")
        return host, int(port)

    def pid(self, number):
        return self._processes[number].pid

    def is_running(self, number):
        return self._processes[number].poll() is None

    def signal(self, number, which):
        self._processes[number].send_signal(which)

    def is_ready(self, number):
        try:
            with socket.create_connection(self.address(number, "readinessAddress"), 1) as connection:
                connection.sendall(encode("GET /ready HTTP/1.1", [("Host", "ready")]))
                return Reader(connection).read().status == 200
        except (OSError, ConnectionError):
            return False

    def await_ready(self, number, seconds=15):
        until = time.monotonic() + seconds
        while not self.is_ready(number):
            if time.monotonic() > until:
                raise CannotRun(f"daemon {number} does not become ready")
            time.sleep(0.1)

    def output(self, number):
        with open(os.path.join(self._folder.name, f"daemon-{number}.out"), encoding="utf-8") as file:
            return file.read()

    def end_all(self):
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._folder.cleanup()


# ---- Clients ----

def request_headers(request_id, deadline_ms=4000, key="key-a"):
    return [("Host", "desk.example"), ("X-Request-Id", request_id), ("X-Deadline-Ms", deadline_ms),
            ("Authorization", f"Bearer {key}")]


class Client:
    """A client with one connection to a daemon."""

    def __init__(self, daemons, number, record, timeout=6):
        self.record = record
        self.sock = socket.create_connection(daemons.address(number), 1)
        self.sock.settimeout(timeout)
        self.reader = Reader(self.sock)

    def send(self, method, path, request_id, body=b"", deadline_ms=4000):
        headers = request_headers(request_id, deadline_ms)
        if method == "POST":
            headers.append(("Content-Length", len(body)))
        self.record.write(f"client sends {request_id} ({method} {path})")
        self.sock.sendall(encode(f"{method} {path} HTTP/1.1", headers, body))

    def receive(self, what):
        """Returns the response, or nothing if the connection ended without one."""
        try:
            answer = self.reader.read()
        except (ConnectionError, OSError) as error:
            self.record.write(f"client has no answer to {what}: {error}")
            return None
        self.record.write(f"client gets {answer.status} to {what}: {answer.body[:80]!r}")
        return answer

    def call(self, method, path, request_id, body=b""):
        self.send(method, path, request_id, body)
        return self.receive(request_id)

    def close(self):
        self.sock.close()


# ---- A case ----

def play(folder, case):
    """Runs `case(record)`, which returns what broke the rule; exits with the verdict."""
    record = Record(os.path.join(folder, "record.txt"))

    def end(verdict):
        for daemons in STARTED:
            daemons.end_all()
        for process in PROCESSES:
            if process.poll() is None:
                process.kill()
            process.wait()
        record.write(f"verdict {verdict}")
        print({0: "held", 1: "BROKEN", 2: "could not run"}[verdict])
        sys.stdout.flush()
        os._exit(verdict)

    watchdog = threading.Timer(110, lambda: (record.write("out of time"), end(2)))
    watchdog.daemon = True
    watchdog.start()
    verdict = 2
    try:
        broken = case(record)
        for each in broken:
            record.write("BROKEN: " + each)
        verdict = 1 if broken else 0
    except (CannotRun, OSError, ConnectionError) as error:
        record.write(f"the case could not run: {error}")
    end(verdict)
