"""Starts and stops a small fleet of real processes on loopback for the demo and the measurements."""

import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

import ports

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = pathlib.Path(os.environ.get("LOVAGE_BIN_DIR", ROOT / "build" / "main" / "bin"))
ZONES = ("ub-a", "ub-b", "ub-c")
START_TIMEOUT_S = 30.0


class FleetError(Exception):
    """A process of the fleet failed, timed out or gave an unexpected result."""


def toml_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return str(value)
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(toml_value(item) for item in value) + "]"
    return json.dumps(str(value))


def toml_text(settings):
    """Returns a dictionary of at most two levels as TOML."""
    lines = [f"{key} = {toml_value(value)}" for key, value in settings.items() if not isinstance(value, dict)]
    for section, values in settings.items():
        if isinstance(values, dict):
            lines.append(f"[{section}]")
            lines += [f"{key} = {toml_value(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"


def http(method, url, body=None, headers=None, timeout=5.0):
    """Sends a request; returns (status, body text). Status 0 means that there was no response."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as failure:
        return failure.code, failure.read().decode()
    except OSError:
        return 0, ""


def wait_until(condition, what, timeout=START_TIMEOUT_S):
    """Polls `condition` until it is true; raises FleetError after `timeout` seconds."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise FleetError(f"timed out after {timeout:.0f} s: {what}")


class Process:
    """A process of the fleet with its settings file and log."""

    def __init__(self, name, binary, settings, folder):
        self.name = name
        self.settings = settings
        self.binary = binary
        self.folder = folder
        self.log_path = folder / f"{name}.log"
        self.child = None
        self.start()

    def start(self):
        path = self.folder / f"{self.name}.toml"
        path.write_text(toml_text(self.settings))
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen([str(BIN / self.binary), "--settings", str(path)],
                                          stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def stop(self, timeout=60.0):
        """Sends SIGTERM and returns the exit code; kills the process after `timeout` seconds and returns None."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    @property
    def pid(self):
        return self.child.pid


class Fleet:
    """A fake platform and any number of entries, agents, fake engines and fake services."""

    def __init__(self, folder=None):
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="lovage-fleet-"))
        self.processes = {}
        self.ports = []
        self.platform = self.new_address()
        self.entries = {}
        self.agents = {}
        self.targets = {}
        self.seeds = []
        self.keeps_folder = False

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        self.close(keep=self.keeps_folder or kind is not None)

    def new_address(self):
        """Returns a loopback address whose port is reserved until the fleet is closed."""
        self.ports.append(ports.reserve_port())
        return f"127.0.0.1:{self.ports[-1]}"

    def add(self, name, binary, settings):
        if name in self.processes and self.processes[name].is_running():
            raise FleetError(f"{name} runs already")
        self.processes[name] = Process(name, binary, settings, self.folder)
        return self.processes[name]

    def start_platform(self, **settings):
        values = {"http": {"address": self.platform}}
        values.update(settings)
        self.add("platform", "lovage-fake-platform", values)
        self.wait_http(self.platform, "/counts")

    def wait_http(self, address, path="/healthz", status=200):
        wait_until(lambda: http("GET", f"http://{address}{path}", timeout=1.0)[0] == status,
                   f"http://{address}{path} answers {status}; logs in {self.folder}")

    def start_engine(self, name, **settings):
        address = self.new_address()
        values = {"address": address, "name": name, "platform": self.platform}
        values.update(settings)
        self.add(name, "lovage-fake-engine", values)
        self.targets[name] = address
        self.wait_http(address)

    def start_service(self, name, **settings):
        address = self.new_address()
        values = {"address": address}
        values.update(settings)
        self.add(name, "lovage-fake-service", values)
        self.targets[name] = address
        self.wait_http(address)

    def common_settings(self, name, zone):
        http_address, peer, gossip = (self.new_address() for _ in range(3))
        settings = {"node": name, "zone": zone, "region": "ub", "http": {"address": http_address},
                    "peer": {"address": peer}, "gossip": {"address": gossip, "seeds": list(self.seeds)},
                    "store": {"address": self.platform}}
        if len(self.seeds) < 6:
            self.seeds.append(gossip)
        return settings

    def start_agent(self, name, target, kind, zone, services=(), target_address=None, **more):
        settings = self.common_settings(name, zone)
        settings["target"] = {"name": target, "kind": kind,
                              "address": target_address or self.targets[target], "services": list(services)}
        settings.update(more)
        self.agents[name] = settings["http"]["address"]
        return self.add(name, "lovage-agent", settings)

    def start_entry(self, name, zone, **more):
        settings = self.common_settings(name, zone)
        settings.update(more)
        self.entries[name] = settings["http"]["address"]
        return self.add(name, "lovage-entry", settings)

    def restart(self, name):
        self.processes[name].start()

    def ctl(self, *arguments, check=True):
        """Runs lovagectl and returns its output."""
        command = [str(BIN / "lovagectl"), "--store", self.platform]
        for address in self.entries.values():
            command += ["--entry", address]
        done = subprocess.run(command + list(arguments), capture_output=True, text=True, timeout=120)
        if check and done.returncode != 0:
            raise FleetError(f"lovagectl {' '.join(arguments)}: exit {done.returncode}\n{done.stdout}{done.stderr}")
        return done.stdout

    def apply(self, text, reason="set up"):
        path = self.folder / "fleet.toml"
        path.write_text(text)
        return self.ctl("apply", "--file", str(path), "--author", "measure", "--reason", reason)

    def apply_change(self, text, reason):
        """Replaces the configuration and waits at most 9 s until every process has applied it."""
        revision = max(self.status(entry).get("config_revision", 0) for entry in self.entries)
        path = self.folder / "fleet.toml"
        path.write_text(text)
        return self.ctl("apply", "--file", str(path), "--author", "measure", "--reason", reason, "--expect",
                        str(revision), "--wait", "9")

    def wait_ready(self, timeout=START_TIMEOUT_S):
        for name, address in {**self.entries, **self.agents}.items():
            wait_until(lambda a=address: http("GET", f"http://{a}/readyz", timeout=1.0)[0] == 200,
                       f"{name} is ready; logs in {self.folder}", timeout)

    def status(self, entry):
        return json.loads(http("GET", f"http://{self.entries[entry]}/admin/status")[1] or "{}")

    def metric(self, address, name):
        """Returns the sum of a metric over its labels; 0.0 if the process does not answer."""
        text = http("GET", f"http://{address}/metrics")[1]
        total = 0.0
        for line in text.splitlines():
            if line.startswith(name) and line[len(name):len(name) + 1] in ("{", " "):
                total += float(line.rsplit(" ", 1)[1])
        return total

    def load(self, *arguments, entries=None, timeout=300):
        """Runs the load generator against the entries; returns (exit code, list of its JSON lines)."""
        process = self.start_load(*arguments, entries=entries)
        output, errors = process.communicate(timeout=timeout)
        lines = [json.loads(line) for line in output.splitlines() if line.startswith("{")]
        if not lines:
            raise FleetError(f"the load tool printed no result: {errors[-2000:]}")
        return process.returncode, lines

    def start_load(self, *arguments, entries=None):
        command = [str(BIN / "lovage-load")]
        for name in entries or self.entries:
            command += ["--entry", self.entries[name]]
        return subprocess.Popen(command + [str(item) for item in arguments], stdout=subprocess.PIPE,
                                stderr=subprocess.PIPE, text=True)

    def close(self, keep=False):
        """Kills all processes of the fleet, each by its id; removes its directory unless `keep`."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            if process.child is not None:
                process.child.wait()
        while self.ports:
            ports.release(self.ports.pop())
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def operator_text(models, services, plain=(), organisations=("dealer-1", "dealer-2"), moves=(), shares=None):
    """Returns a fleet configuration as TOML. `models` maps names to versions, `services` maps names to models."""
    shares = shares or {}
    lines = [f'[[zone]]\nname = "{zone}"\nregion = "ub"' for zone in ZONES]
    lines += [f'[[organisation]]\nname = "{name}"\nshare = {float(shares.get(name, 1.0))}' for name in organisations]
    lines += [f'[[model]]\nname = "{name}"\nversion = "{version}"\nreplicas = 1' for name, version in models.items()]
    for name, model in services.items():
        lines.append(f'[[service]]\nname = "{name}"\nkind = "generation"\nmodel = "{model}"')
    for name, calls in dict(plain).items():
        lines.append(f'[[service]]\nname = "{name}"\nkind = "plain"\nnon_repeatable = {toml_value(list(calls))}')
    for move in moves:
        lines.append("[[move]]\n" + "\n".join(
            f"{key} = {value if key == 'deadline' else toml_value(value)}" for key, value in move.items()))
    return "\n".join(lines) + "\n"
