"""Case config: time from the acceptance of a configuration change until every process has applied it."""

import http.client
import json
import re
import threading
import time

import case_control_cost
import fleet as fleets
import setup
from report import Bound, add_figure, add_sample, percentile

PROCESSES = 100
POLL_S = 0.1
RESTARTED = 6
LIMIT_S = 9.0
REVISION = re.compile(r'"config_revision": ?(\d+)')


class Watch:
    """Polls /admin/status of one process and records when each revision was first seen."""

    def __init__(self, name, address):
        self.name = name
        self.address = address
        self.seen = {}
        self.highest = 0
        self.reverts = 0
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.poll, daemon=True)
        self.thread.start()

    def poll(self):
        connection = None
        while not self.ended.wait(POLL_S):
            try:
                connection = connection or http.client.HTTPConnection(self.address, timeout=5.0)
                connection.request("GET", "/admin/status")
                found = REVISION.search(connection.getresponse().read().decode())
            except (OSError, http.client.HTTPException):
                connection = None
                continue
            if found:
                self.record_revision(int(found.group(1)))

    def record_revision(self, revision):
        self.seen.setdefault(revision, time.monotonic())
        # A restarted process reports revision 0 until it has a configuration.
        if 0 < revision < self.highest:
            self.reverts += 1
        self.highest = max(self.highest, revision)


def put_config(fleet, text, expected, operation):
    """Replaces the configuration; returns (new revision, time when the change was sent)."""
    document = {"operation": operation, "author": "measure", "reason": operation, "text": text}
    sent = time.monotonic()
    status, answer = fleets.http("PUT", f"http://{fleet.platform}/kv/config%2Fcurrent?expected={expected}",
                                 json.dumps(document))
    if status != 200:
        raise fleets.FleetError(f"the store refused a configuration: {status} {answer}")
    return json.loads(answer)["revision"], sent


def current_revision(fleet):
    return json.loads(fleets.http("GET", f"http://{fleet.platform}/kv/config%2Fcurrent")[1])["revision"]


def measure_changes(report, fleet, watches, changes):
    """Applies changes one after another; returns the seconds until each process had each change, None if it had not."""
    times = []
    revision = current_revision(fleet)
    for number in range(changes):
        text = fleets.operator_text({setup.MODEL: "v1"}, {setup.SERVICE: setup.MODEL},
                                    organisations=setup.ORGANISATIONS, shares={"dealer-1": number + 2})
        revision, sent = put_config(fleet, text, revision, f"change-{number}")
        deadline = sent + 2 * LIMIT_S
        while time.monotonic() < deadline and any(watch.highest < revision for watch in watches):
            time.sleep(0.02)
        for watch in watches:
            seen = watch.seen.get(revision)
            seconds = seen - sent if seen else None
            times.append(seconds)
            add_sample(report, "config", f"change-{number}", seconds or 2 * LIMIT_S, watch.name, "s")
    return times


def measure_restarts(report, fleet, watches):
    """Kills and restarts processes while the store is down; returns the seconds until each has the revision again."""
    highest = max(watch.highest for watch in watches)
    setup.post_json(fleet.platform, "/faults", {"down": True})
    restarted = watches[::max(1, len(watches) // RESTARTED)][:RESTARTED]
    for watch in restarted:
        fleet.processes[watch.name].kill()
    time.sleep(0.5)
    started = time.monotonic()
    for watch in restarted:
        watch.seen.clear()
        fleet.restart(watch.name)
    deadline = started + 2 * LIMIT_S
    while time.monotonic() < deadline and any(highest not in watch.seen for watch in restarted):
        time.sleep(0.02)
    setup.post_json(fleet.platform, "/faults", {"down": False})
    times = [watch.seen[highest] - started if highest in watch.seen else None for watch in restarted]
    for watch, seconds in zip(restarted, times):
        add_sample(report, "config", "restart", seconds or 2 * LIMIT_S, watch.name, "s")
    return times


def add_times(report, name, times):
    known = [seconds for seconds in times if seconds is not None]
    add_figure(report, "config", f"{name}.p50", percentile(known, 50), "s")
    add_figure(report, "config", f"{name}.max", max(known, default=None), "s", Bound.AT_MOST, LIMIT_S)
    add_figure(report, "config", f"{name}.not_in_force", len(times) - len(known), "processes", Bound.AT_MOST, 0)


def run(report):
    with fleets.Fleet() as fleet:
        case_control_cost.start_control_fleet(fleet, PROCESSES)
        watches = [Watch(name, address) for name, address in {**fleet.entries, **fleet.agents}.items()]
        time.sleep(1.0)
        changed = measure_changes(report, fleet, watches, 20 if report.is_long else 5)
        restarted = measure_restarts(report, fleet, watches)
        time.sleep(2.0)
        for watch in watches:
            watch.ended.set()
        for watch in watches:
            watch.thread.join()
    add_times(report, "store_up", changed)
    add_times(report, "store_down_restart", restarted)
    add_figure(report, "config", "reverts", sum(watch.reverts for watch in watches), "reverts", Bound.AT_MOST, 0)
