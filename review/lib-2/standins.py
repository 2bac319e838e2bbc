"""Stand-ins of the platform on loopback, written from the users' pages: store, servers, operator and clients.

They are sound unless a case makes them do otherwise. Everything runs in one process with asyncio.
"""

import asyncio
import base64
import ctypes
import json
import os
import re
import signal
import socket
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# Figures of a small deployment: majikoi-lovage.
BOUNDS = {
    "ContactMs": 3000, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RevokeMs": 5000,
    "RetryBudgetRatio": 0.8, "RetryWindowS": 10, "RetrySlack": 150, "ExposureShare": 0.1, "ExposureSlack": 50,
}
HEARTBEAT_S = 1.2


def now_ms():
    return int(time.time() * 1000)


# Ports ---------------------------------------------------------------------------------------------------------------

def free_port():
    """Returns a port below the range that the kernel assigns from, so that no connection takes it meanwhile."""
    free_port.next = getattr(free_port, "next", 12000 + os.getpid() * 97 % 8000)
    while True:
        free_port.next += 1
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", free_port.next))
                udp.bind(("127.0.0.1", free_port.next))
                return free_port.next
            except OSError:
                continue


# Template of the settings --------------------------------------------------------------------------------------------

def _find(scope, name):
    for part in name.split("."):
        if isinstance(scope, list):
            scope = scope[int(part)] if int(part) < len(scope) else None
        else:
            scope = scope.get(part) if isinstance(scope, dict) else None
    return scope


def render(text, fields):
    """Fills in deploy/gateway.toml.in: values, values as JSON, and sections that test for a value."""
    section = re.compile(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.S)
    text = section.sub(lambda m: m.group(2) if _find(fields, m.group(1)) not in (None, False) else "", text)

    def value(match):
        found = _find(fields, match.group(1))
        if match.group(2):
            return json.dumps(found)
        if found is None:
            return ""
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def end_with_parent():
    """Has the kernel end this process if the script is ended before it could do so itself."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


# Processes of the project --------------------------------------------------------------------------------------------

class Gateway:
    """One lovage-gateway process, started with the command of the deploy file."""

    def __init__(self, folder, name, zone, store_address, seeds, bounds=None, memory_mb=260):
        self.name, self.folder = name, folder
        self.port, self.ready_port, self.peer_port = free_port(), free_port(), free_port()
        self.metrics_port = free_port()
        fields = {
            "NodeName": name, "Zone": zone, "Region": "r", "Ip": "127.0.0.1", "InternalPorts": [self.metrics_port],
            "Seeds": seeds, "HeartbeatMs": int(HEARTBEAT_S * 1000), "Bounds": dict(BOUNDS, **(bounds or {})),
            "Listen": {"Front": f"127.0.0.1:{self.port}", "Ready": f"127.0.0.1:{self.ready_port}",
                       "Control": f"127.0.0.1:{self.peer_port}"},
            "Limits": {"MaxFds": 4100, "MemoryMb": memory_mb}, "Platform": {"Address": store_address}}
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        self.path = os.path.join(folder, name + ".toml")
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)
        self.command = [self.path if word == "/etc/lovagefront/local.toml" else word for word in role["run"].split()]
        self.process = None
        self.started_at = 0.0

    @property
    def peer_address(self):
        return f"127.0.0.1:{self.peer_port}"

    async def start(self):
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*self.command, stdout=log, stderr=log, cwd=ROOT,
                                                                preexec_fn=end_with_parent)
        self.started_at = time.monotonic()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return (await asyncio.wait_for(reader.readline(), 1.0)).split()[1:2] == [b"200"]
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, timeout_s=15.0):
        deadline = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > deadline:
                raise CannotRun(f"{self.name} is not ready after {timeout_s} s")
            await asyncio.sleep(0.05)

    @property
    def has_ended(self):
        return self.process is not None and self.process.returncode is not None

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


class CannotRun(Exception):
    """The case could not run."""


# HTTP ----------------------------------------------------------------------------------------------------------------

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parsed = urllib.parse.urlsplit(target)
        self.path = parsed.path
        self.query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))


async def read_request(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {name.strip().lower(): value.strip()
                   for name, value in (line.split(":", 1) for line in lines[1:] if line)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def answer(status, body=b"", headers=()):
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    return head.encode("latin-1") + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class HttpServer:
    def __init__(self):
        self.port, self.server = 0, None
        self.writers, self.tasks = set(), set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        # The kernel may still hold the port of a server that has just ended.
        for _ in range(100):
            try:
                self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port or free_port(),
                                                         limit=1 << 20)
                break
            except OSError:
                await asyncio.sleep(0.05)
        if self.server is None:
            raise CannotRun("no port to listen on")
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def handle(self, request, writer):
        raise NotImplementedError

    async def stop(self):
        """Ends the server as a crash does: its port is closed and its connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            if task is not asyncio.current_task():
                task.cancel()
        await asyncio.sleep(0)


# Store ---------------------------------------------------------------------------------------------------------------

class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.items, self.history = {}, []
        self.revision = 1
        self.changed = asyncio.Event()
        self.leases, self.next_lease = {}, 1

    def put(self, key, value, lease=0):
        """Writes a key as the operator, a server or a call does; returns the revision."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        known = self.items.get(key)
        self.items[key] = {"Key": key, "Value": base64.b64encode(data).decode(), "Revision": self.revision,
                           "CreateRevision": known["CreateRevision"] if known else self.revision, "Lease": lease}
        self._record(dict(self.items[key]))
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"Key": key, "Revision": self.revision, "Deleted": True})

    def value_of(self, key):
        return json.loads(base64.b64decode(self.items[key]["Value"])) if key in self.items else None

    def _record(self, event):
        self.history = (self.history + [event])[-10000:]
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_leases(self):
        for lease, (end, _) in list(self.leases.items()):
            if end <= time.monotonic():
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.remove(key)

    async def watch(self, query):
        after, deadline = int(query["After"]), time.monotonic() + int(query["WaitMs"]) / 1000
        if self.history and after < self.history[0]["Revision"] - 1 and len(self.history) == 10000:
            return 410, {}
        while True:
            found = [event for event in self.history
                     if event["Revision"] > after and event["Key"].startswith(query["Prefix"])]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def range(self, query):
        keys = sorted(key for key in self.items if key.startswith(query["Prefix"]) and key > query.get("After", ""))
        return 200, {"Items": [self.items[key] for key in keys[:500]], "MorePages": len(keys) > 500,
                     "StoreRevision": self.revision}

    def transact(self, body):
        for row in body["ExpectedRev"]:
            if self.items.get(row["Key"], {"Revision": 0})["Revision"] != row["Revision"]:
                return 412, {"Items": [self.items[r["Key"]] for r in body["ExpectedRev"] if r["Key"] in self.items]}
        if any(put.get("Lease", 0) not in self.leases and put.get("Lease", 0) != 0 for put in body["Puts"]):
            return 404, {}
        keys = [put["Key"] for put in body["Puts"]] + list(body.get("Remove", []))
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for put in body["Puts"]:
            self.put(put["Key"], base64.b64decode(put["Value"]), put.get("Lease", 0))
        for key in body.get("Remove", []):
            self.remove(key)
        return 200, {"Revision": self.revision}

    async def reply_to(self, request):
        self._end_leases()
        if request.path == "/kv-watch":
            return await self.watch(request.query)
        if request.path == "/kv-range":
            return self.range(request.query)
        if request.path == "/kv-key":
            item = self.items.get(request.query["Key"])
            return (200, dict(item, StoreRevision=self.revision)) if item else (404, {})
        if request.path == "/kv-txn":
            return self.transact(json.loads(request.body))
        if request.path == "/kv-lease":
            ttl = json.loads(request.body)["TtlMs"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"Lease": lease, "TtlMs": ttl}
        lease = int(request.path.rsplit("/", 1)[1]) if request.path.rsplit("/", 1)[1].isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if request.path.startswith("/kv-keep/"):
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        else:
            self._end_lease(lease)
        return 200, {}

    async def handle(self, request, writer):
        status, body = await self.reply_to(request)
        writer.write(answer(status, json.dumps(body).encode(),
                            [("Content-Type", "application/json"), ("Store-Era", "1")]))
        await writer.drain()
        return True


# Servers -------------------------------------------------------------------------------------------------------------

class Server(HttpServer):
    """A sound server of a plain service: it registers, beats, and answers each request after its work time."""

    def __init__(self, store, record, name, service, zone, slots=6, work_s=0.06):
        super().__init__()
        self.store, self.record, self.name, self.service, self.zone = store, record, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.incarnation, self.seq, self.state = 0, 0, "ready"
        self.born, self.running = 0, 0
        self.beats = None

    @property
    def id(self):
        return f"i-{self.name}-{self.incarnation}"

    @property
    def key(self):
        return "servers/" + self.id

    def entry(self):
        return {"Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
                "Slots": self.slots, "State": self.state, "ColdLeftMs": 0, "Seq": self.seq, "born": self.born}

    async def start(self):
        self.incarnation += 1
        self.seq, self.state, self.born, self.running = 0, "ready", now_ms(), 0
        await super().start()
        self.beat()
        self.beats = asyncio.create_task(self._beat_on())

    def beat(self):
        self.seq += 1
        self.store.put(self.key, self.entry())

    async def _beat_on(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    def stop_beats(self):
        if self.beats is not None:
            self.beats.cancel()
            self.beats = None

    async def stop(self):
        self.stop_beats()
        await super().stop()

    def own_fields(self, request):
        fields = [("Request-Id", request.headers.get("request-id", ""))]
        if self.state == "draining":
            fields.append(("Server-Leaving", "1"))
        return fields + [("Server-Load", f"{self.running},0,{self.slots}")]

    def answer_fields(self, request):
        return [("Response-Seal", "seal." + self.id)] + self.own_fields(request)

    def refusal(self, request):
        """Returns the answer to a request that is not for this server or that it has no place for, or None."""
        if request.headers.get("expect-instance", self.id) != self.id:
            return answer(421, headers=[("Instance-Id", self.id), ("Not-Executed", "1")] + self.own_fields(request))
        if not request.headers.get("request-id"):
            return answer(400, headers=[("Not-Executed", "1")] + self.own_fields(request))
        if self.running >= self.slots:
            return answer(503, headers=[("Not-Executed", "1")] + self.own_fields(request))
        return None

    async def handle(self, request, writer):
        refused = self.refusal(request)
        if refused is not None:
            writer.write(refused)
            await writer.drain()
            return True
        self.running += 1
        self.record.add("run", self.id, request.headers["request-id"], request.path)
        try:
            return await self.run(request, writer)
        finally:
            self.running -= 1

    async def run(self, request, writer):
        await asyncio.sleep(self.work_s)
        body = ("answer to " + request.headers["request-id"]).encode()
        writer.write(answer(200, body, self.answer_fields(request)))
        await writer.drain()
        return True


# Record --------------------------------------------------------------------------------------------------------------

class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.lines = []
        self.path = path

    def add(self, *words):
        self.lines.append((time.monotonic() - self.began, words))

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            for at, words in self.lines:
                file.write(f"{at:9.3f} " + " ".join(str(word) for word in words) + "\n")


# Clients -------------------------------------------------------------------------------------------------------------

class Outcome:
    def __init__(self, request_id):
        self.request_id = request_id
        self.sent_at = self.ended_at = 0.0
        self.status, self.headers, self.body = 0, {}, b""
        self.is_complete, self.detail = False, ""


async def call(gateway, record, request_id, method, path, fields=(), body=b"", deadline_ms=1500, key="key-1",
               host="h.example", on_bytes=None):
    """Sends one request on a new connection and reads the answer until its end or the client's deadline."""
    outcome = Outcome(request_id)
    outcome.sent_at = time.monotonic()
    record.add("send", gateway.name, request_id, method, path)
    try:
        await asyncio.wait_for(_exchange(gateway, outcome, method, path, fields, body, deadline_ms, key, host, on_bytes),
                               deadline_ms / 1000)
    except asyncio.TimeoutError:
        outcome.detail = "the client's deadline"
    except (OSError, asyncio.IncompleteReadError, ValueError) as failure:
        outcome.detail = f"{type(failure).__name__}"
    outcome.ended_at = time.monotonic()
    record.add("answer", gateway.name, request_id, outcome.status, "complete" if outcome.is_complete else "incomplete",
               outcome.detail)
    return outcome


async def _exchange(gateway, outcome, method, path, fields, body, deadline_ms, key, host, on_bytes):
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port, limit=1 << 20)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {outcome.request_id}\r\n" \
               f"Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields)
        head += f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        writer.write(head.encode("latin-1") + b"\r\n" + body)
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        outcome.status = int(lines[0].split(" ")[1])
        outcome.headers = {name.strip().lower(): value.strip()
                           for name, value in (line.split(":", 1) for line in lines[1:] if line)}
        if outcome.headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).strip() or b"x", 16):
                outcome.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if on_bytes:
                    on_bytes(outcome)
            await reader.readexactly(2)
        else:
            outcome.body = await reader.readexactly(int(outcome.headers.get("content-length", "0")))
        outcome.is_complete = True
    finally:
        writer.transport.abort()


def route(name, kind, service, attempts, timeout_ms, slo_ms, **more):
    return dict({"Name": name, "Host": "h.example", "Prefix": f"/{name}/", "Kind": kind, "TimeoutMs": timeout_ms,
                 "SloMs": slo_ms, "Priority": 1, "Service": service, "MaxAttempts": attempts, "Public": False}, **more)


def configuration(version, routes, services, keys=("key-1",)):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "org", "ApiKeys": list(keys)}]}


def run_case(record_path, case, limit_s=110):
    """Runs `case(record, trouble, temporary folder)`; it returns why the rule was broken, or an empty text."""
    import sys
    import tempfile
    import traceback

    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        with tempfile.TemporaryDirectory() as temporary:
            return await asyncio.wait_for(case(record, trouble, temporary), limit_s)

    try:
        broken = asyncio.run(bounded())
    except BaseException as failure:  # The case has ended its processes in its `finally`.
        traceback.print_exc()
        record.add("cannot run", repr(failure))
        record.write()
        sys.exit(2)
    record.add("verdict", "broken: " + broken if broken else "held")
    record.write()
    print("broken: " + broken if broken else "held")
    sys.exit(1 if broken else 0)
