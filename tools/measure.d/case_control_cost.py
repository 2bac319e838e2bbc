"""Case control_cost: CPU, memory and network cost of the control plane per process in an idle fleet."""

import re
import subprocess
import time

import fleet as fleets
import setup
from report import Bound, add_figure, add_sample, slope

SIZES = (6, 20, 40, 80)
TARGET_SHARE = 0.037
TARGET_BYTES = 256 * 1024 * 1024
TARGET_RATE = 17 * 1024.0
GOSSIP = ("lovage_gossip_sent_bytes", "lovage_gossip_received_bytes")


def start_control_fleet(fleet, size, entry_share=0.25):
    """Starts `size` entries and agents. All agents use the same engine, so that engines do not load the machine."""
    fleet.start_platform()
    fleet.apply(fleets.operator_text({setup.MODEL: "v1"}, {setup.SERVICE: setup.MODEL},
                                     organisations=setup.ORGANISATIONS))
    fleet.start_engine("engine-0", loaded=[f"{setup.MODEL}/v1"])
    entries = max(2, round(size * entry_share))
    setup.add_entries(fleet, entries)
    for number in range(size - entries):
        fleet.start_agent(f"agent-{number}", "engine-0", "engine", fleets.ZONES[number % len(fleets.ZONES)])
    fleet.wait_ready(60.0)
    setup.wait_connected(fleet, 60.0)


def peer_bytes(fleet, pids):
    """Returns the bytes sent and received on the established peer connections of each process, from `ss`."""
    totals = dict.fromkeys(pids, 0)
    output = subprocess.run(["ss", "-tinpH", "state", "established"], capture_output=True, text=True, check=True).stdout
    ports = {process.settings["peer"]["address"].rsplit(":", 1)[1] for process in fleet.processes.values()
             if "peer" in process.settings}
    lines = output.splitlines()
    for line, details in zip(lines, lines[1:]):
        owner = re.search(r"pid=(\d+)", line)
        if owner is None or int(owner.group(1)) not in totals:
            continue
        if {address.rsplit(":", 1)[-1] for address in line.split()[2:4]} & ports:
            for name in ("bytes_sent", "bytes_received"):
                found = re.search(rf"\b{name}:(\d+)", details)
                totals[int(owner.group(1))] += int(found.group(1)) if found else 0
    return totals


def read_figures(fleet, addresses):
    pids = {fleet.processes[name].pid: name for name in addresses}
    try:
        peers = peer_bytes(fleet, pids)
    except (OSError, subprocess.CalledProcessError):
        peers = None
    figures = {}
    for pid, name in pids.items():
        gossip = sum(fleet.metric(addresses[name], metric) for metric in GOSSIP)
        figures[name] = (time.monotonic(), setup.ticks_s(pid), gossip, peers[pid] if peers else None)
    return figures


def run_size(report, size, seconds):
    with fleets.Fleet() as fleet:
        start_control_fleet(fleet, size)
        time.sleep(3.0)
        addresses = {**fleet.entries, **fleet.agents}
        before = read_figures(fleet, addresses)
        time.sleep(seconds)
        after = read_figures(fleet, addresses)
        result = {}
        for name in addresses:
            elapsed = after[name][0] - before[name][0]
            kind = "entry" if name in fleet.entries else "agent"
            peer = None if after[name][3] is None else (after[name][3] - before[name][3]) / elapsed
            row = {"processor": (after[name][1] - before[name][1]) / elapsed,
                   "memory": setup.resident_bytes(fleet.processes[name].pid),
                   "gossip": (after[name][2] - before[name][2]) / elapsed, "peer": peer}
            result.setdefault(kind, []).append(row)
            for column, value in row.items():
                add_sample(report, "control_cost", f"{kind}.{column}", size, value, "per process")
        return result


def mean(rows, column):
    values = [row[column] for row in rows if row[column] is not None]
    return sum(values) / len(values) if values else None


def run(report):
    points = {}
    for size in SIZES:
        for kind, rows in run_size(report, size, 20.0 if report.is_long else 6.0).items():
            gossip, peer = mean(rows, "gossip"), mean(rows, "peer")
            total = gossip if peer is None else gossip + peer
            figures = (("processor", mean(rows, "processor"), "core", TARGET_SHARE),
                       ("memory", max(row["memory"] for row in rows), "bytes", TARGET_BYTES),
                       ("gossip_rate", gossip, "bytes/s", TARGET_RATE),
                       ("gossip_and_peer_rate", total, "bytes/s", TARGET_RATE))
            for metric, value, unit, target in figures:
                add_figure(report, "control_cost", f"{kind}.{metric}.{size}_processes", value, unit, Bound.AT_MOST,
                           target)
                points.setdefault((kind, metric, unit), []).append((size, value))
    for (kind, metric, unit), values in points.items():
        add_figure(report, "control_cost", f"{kind}.{metric}.slope", slope(values), f"{unit} per process")
