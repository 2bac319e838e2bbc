"""What the scripts under review/ share: a small deployment of the gateway's processes on loopback.

The gateway is started with the command of deploy/system.toml and with settings made from its template. The platform's
store and the servers are the project's own stand-ins of tests/platform.
"""

import asyncio
import itertools
import json
import os
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "platform"))

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds, limits and store rates of the site majikoi-lovage.
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8,
          "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "OuterBoundMs": 5000, "StrictRevoke": True,
          "RevokeMs": 5000, "RetryBudgetRatio": 0.8, "RetryWindowS": 10, "RetrySlack": 150, "ExposureShare": 0.1,
          "ExposureSlack": 50, "RollbackMs": 5000, "RecoveryS": 12, "PassMs": 120, "ReuseWindowS": 10}
LIMITS = {"CpuShare": 0.19, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}
HEARTBEAT_MS = 1200


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def plain(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)


def fill_in(template, fields):
    """Fills in a template as DEPLOY.md describes, as far as deploy/gateway.toml.in uses it."""
    def section(match):
        return match.group(2) if lookup(fields, match.group(1)) not in (None, False, "", []) else ""

    def value(match):
        found = lookup(fields, match.group(1))
        return json.dumps(found) if match.group(2) else plain(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


# Ports below the range that the kernel assigns from: no connection takes one while its process is down.
PORTS = itertools.cycle(range(20000, 30000))
for _ in range(os.getpid() * 211 % 10000):
    next(PORTS)


def free_port():
    while True:
        port = next(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


async def is_ok(port, path="/readyz", timeout_s=0.5):
    """Whether a GET is answered with 200."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), timeout_s)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), timeout_s)
        return line.startswith(b"HTTP/1.1 200")
    except (OSError, asyncio.TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.close()


class Front:
    """One machine of class `front` with its process."""

    def __init__(self, folder, name, zone, store_address):
        self.name, self.zone, self.folder = name, zone, folder
        self.port, self.ready_port, self.control_port = free_port(), free_port(), free_port()
        self.internal_port = free_port()
        self.store_address, self.seeds = store_address, []
        self.bounds = dict(BOUNDS)
        self.process = None
        self.starts = 0

    def fields(self):
        return {"NodeName": self.name, "Zone": self.zone, "Region": "r", "Ip": "127.0.0.1",
                "InternalPorts": [self.internal_port, self.internal_port], "Seeds": self.seeds,
                "HeartbeatMs": HEARTBEAT_MS, "Limits": LIMITS, "Bounds": self.bounds,
                "Listen": {"Front": f"127.0.0.1:{self.port}", "Ready": f"127.0.0.1:{self.ready_port}",
                           "Control": f"127.0.0.1:{self.control_port}"},
                "Platform": {"Address": self.store_address}}

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            settings = fill_in(file.read(), self.fields())
        path = os.path.join(self.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        command = shlex.split(role["run"].replace("/etc/lovagefront/local.toml", path))
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=log, stderr=log)
        self.starts += 1

    async def wait_ready(self, timeout_s=8.0):
        deadline = time.monotonic() + timeout_s
        while not await is_ok(self.ready_port):
            if time.monotonic() > deadline or self.process.returncode is not None:
                return False
            await asyncio.sleep(0.05)
        return True

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="utf-8") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
        except (OSError, IndexError, ValueError):
            return 0.0

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Record:
    """The file that the script names, record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        print(f"{time.monotonic() - self.began:8.3f} {text}", file=self.file, flush=True)

    def verdict(self, text):
        self.write(text)
        print(text)


async def start_fronts(folder, store_addresses, count):
    """Starts the fronts; `store_addresses`: one for all of them, or a list with one for each."""
    if isinstance(store_addresses, str):
        store_addresses = [store_addresses] * count
    fronts = [Front(folder, f"front-{zone}-1", zone, address)
              for zone, address in zip("abc"[:count], store_addresses)]
    for front in fronts:
        front.seeds = [f"127.0.0.1:{other.control_port}" for other in fronts]
    for front in fronts:
        await front.start()
    ready = await asyncio.gather(*(front.wait_ready() for front in fronts))
    return fronts, all(ready)


def run(play, case_folder):
    """Runs `play(folder, record)` with a limit of 115 seconds, and exits with its result."""
    record = Record(os.path.join(case_folder, sys.argv[1]))
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = asyncio.run(asyncio.wait_for(play(folder, record), 115))
        except Exception as failure:  # pylint: disable=broad-except
            record.verdict(f"the case could not run: {type(failure).__name__}: {failure}")
            result = NOT_RUN
    sys.exit(result)
