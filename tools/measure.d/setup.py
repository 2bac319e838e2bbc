"""Helpers that several cases share: start fleets and load, read process statistics."""

import json
import os
import pathlib
import re
import subprocess
import time

import fleet as fleets

MODEL = "history"
SERVICE = "history-summaries"
ORGANISATIONS = ("dealer-1", "dealer-2")
VIOLATIONS = ("missing", "repeated", "mixed")


def add_targets(fleet, count, via=None, **engine):
    """Starts engines, each with its agent. `via(name, address)` returns the engine address that the agent uses."""
    engine.setdefault("loaded", [f"{MODEL}/v1"])
    for number in range(count):
        name = f"engine-{number}"
        fleet.start_engine(name, random_seed=number + 1, **engine)
        fleet.start_agent(f"agent-{number}", name, "engine", fleets.ZONES[number % len(fleets.ZONES)],
                          target_address=via(name, fleet.targets[name]) if via else None)


def add_entries(fleet, count, **settings):
    for number in range(count):
        fleet.start_entry(f"entry-{number}", fleets.ZONES[number % len(fleets.ZONES)], **settings)


def start_generation_fleet(fleet, entries, targets, via=None, entry_settings=None, text=None, **engine):
    """Starts a fake platform, entries and targets with one model and waits until requests can be routed."""
    fleet.start_platform()
    fleet.apply(text or fleets.operator_text({MODEL: "v1"}, {SERVICE: MODEL}, organisations=ORGANISATIONS))
    add_entries(fleet, entries, **(entry_settings or {}))
    add_targets(fleet, targets, via, **engine)
    fleet.wait_ready()
    wait_connected(fleet)


def wait_connected(fleet, timeout=30.0):
    """Waits until every agent is connected to every entry and every entry sees all members alive."""
    expected = len(fleet.entries) + len(fleet.agents)
    for address in fleet.agents.values():
        fleets.wait_until(lambda a=address: len(agent_status(a).get("entries", [])) == len(fleet.entries),
                          f"agent at {address} is connected; logs in {fleet.folder}", timeout)
    for name in fleet.entries:
        fleets.wait_until(lambda n=name: alive_members(fleet.status(n)) == expected,
                          f"{name} knows {expected} members; logs in {fleet.folder}", timeout)


def agent_status(address):
    return json.loads(fleets.http("GET", f"http://{address}/admin/status")[1] or "{}")


def alive_members(status):
    return sum(member["state"] == "alive" for member in status.get("members", []))


def start_load(fleet, name, *arguments, addresses=None, records=False):
    """Starts the load generator against the entries or, if given, against `addresses`."""
    command = [str(fleets.BIN / "lovage-load"), "--key-prefix", name]
    for address in addresses or fleet.entries.values():
        command += ["--entry", address]
    if records:
        command += ["--records", str(fleet.folder / f"{name}.records")]
    command += [str(item) for item in arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


def finish_load(process, timeout=120):
    """Waits for the load generator and returns its report."""
    try:
        output, errors = process.communicate(timeout=timeout)
    except subprocess.TimeoutExpired:
        process.kill()
        process.communicate()
        raise fleets.FleetError(f"the load tool did not end within {timeout} s") from None
    lines = [json.loads(line) for line in output.splitlines() if line.startswith("{")]
    if not lines:
        raise fleets.FleetError(f"the load tool printed no result: {errors[-2000:]}")
    return lines[-1]


def records_of(fleet, name):
    path = pathlib.Path(fleet.folder / f"{name}.records")
    return [json.loads(line) for line in path.read_text().splitlines()]


def stream_arguments(seed, tokens, concurrency):
    return ["--service", SERVICE, "--organisations", ",".join(ORGANISATIONS), "--seed", seed, "--max-tokens", tokens,
            "--concurrency", concurrency]


def engine_stats(fleet, name):
    return json.loads(fleets.http("GET", f"http://{fleet.targets[name]}/stats")[1] or "{}")


def post_json(address, path, body):
    return fleets.http("POST", f"http://{address}{path}", json.dumps(body), {"Content-Type": "application/json"})


def entry_metric(fleet, name):
    return sum(fleet.metric(address, name) for address in fleet.entries.values())


def processor_s(pid):
    """Returns the CPU seconds of all live threads, from the nanoseconds in /proc/PID/task/*/schedstat."""
    total = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        try:
            total += int((task / "schedstat").read_text().split()[0])
        except OSError:
            continue
    return total / 1e9


def ticks_s(pid):
    """Returns the CPU seconds of a process, ended threads included, from /proc/PID/stat (resolution 10 ms)."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    match = re.search(r"VmRSS:\s+(\d+) kB", pathlib.Path(f"/proc/{pid}/status").read_text())
    return int(match.group(1)) * 1024


def sleep_until(deadline):
    time.sleep(max(0.0, deadline - time.monotonic()))
