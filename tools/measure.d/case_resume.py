"""Case resume: the longest gap between tokens that callers see after the failure of a target."""

import time

import fleet as fleets
import setup
from report import Bound, add_figure, add_sample, percentile

TARGETS = 4
ENTRIES = 2
STREAMS = 40
TOKENS = 100
FIRST_FAULT_S = 1.0
PERIOD_S = 2.0
OUTAGE_S = 1.0


def kill_engine(fleet, number):
    fleet.processes[f"engine-{number}"].kill()


def restart_engine(fleet, number):
    fleet.restart(f"engine-{number}")


def kill_vm(fleet, number):
    for name in (f"agent-{number}", f"engine-{number}"):
        fleet.processes[name].signal(9)
    for name in (f"agent-{number}", f"engine-{number}"):
        fleet.processes[name].child.wait()


def restart_vm(fleet, number):
    fleet.restart(f"engine-{number}")
    fleet.restart(f"agent-{number}")


def pause_agent(fleet, number):
    fleet.processes[f"agent-{number}"].pause()


def continue_agent(fleet, number):
    fleet.processes[f"agent-{number}"].resume()


def set_proxy(fleet, number, rules):
    setup.post_json(fleet.processes[f"proxy-{number}"].settings["address"], "/rules", {"engine": rules})


def cut_engine(fleet, number):
    set_proxy(fleet, number, [{"state": "cut"}])


def silence_engine(fleet, number):
    set_proxy(fleet, number, [{"state": "half_open"}])


def restore_engine(fleet, number):
    set_proxy(fleet, number, [])


# name: (function that injects the fault, function that ends it, whether a proxy is between agent and engine)
FAULTS = {
    "engine_kill": (kill_engine, restart_engine, False),
    "vm_loss": (kill_vm, restart_vm, False),
    "agent_pause": (pause_agent, continue_agent, False),
    "engine_cut": (cut_engine, restore_engine, True),
    "engine_half_open": (silence_engine, restore_engine, True),
}


def add_proxy(fleet, engine, address):
    """Starts a fault proxy in front of an engine and returns the address of its listener."""
    number = engine.rsplit("-", 1)[1]
    own, listen = (fleet.new_address() for _ in range(2))
    fleet.add(f"proxy-{number}", "lovage-fault-proxy",
              {"address": own, "listeners": ["engine"], "listener.engine": {"listen": listen, "target": address}})
    fleet.wait_http(own)
    return listen


def run_fault(report, name, faults):
    inject, restore, has_proxy = FAULTS[name]
    with fleets.Fleet() as fleet:
        setup.start_generation_fleet(fleet, ENTRIES, TARGETS, via=(
            lambda engine, address: add_proxy(fleet, engine, address)) if has_proxy else None)
        duration_s = FIRST_FAULT_S + faults * PERIOD_S
        load = setup.start_load(fleet, name, *setup.stream_arguments(report.seed, TOKENS, STREAMS),
                                "--duration-ms", int(duration_s * 1000), records=True)
        started = time.monotonic()
        for number in range(faults):
            setup.sleep_until(started + FIRST_FAULT_S + number * PERIOD_S)
            add_sample(report, "resume", name, time.monotonic() - started, None, "fault")
            inject(fleet, (number + report.seed) % TARGETS)
            time.sleep(OUTAGE_S)
            restore(fleet, (number + report.seed) % TARGETS)
        result = setup.finish_load(load)
        resumes = int(setup.entry_metric(fleet, "lovage_resumes_total"))
        return result, resumes, setup.records_of(fleet, name)


def longest_gaps(records):
    """Returns the longest gap of each answer in milliseconds, the time to its first token included."""
    return [max(record.get("longest_gap_ms") or 0.0, record.get("first_token_ms") or 0.0) for record in records]


def run(report):
    faults = 20 if report.is_long else 4
    for name in FAULTS:
        result, resumes, records = run_fault(report, name, faults)
        for record, gap in zip(records, longest_gaps(records)):
            add_sample(report, "resume", name, (record["started_ms"] + record["total_ms"]) / 1000, gap, "ms")
        # The entries count the resumes, but callers do not know which of their answers were resumed. Taking as many
        # of the longest gaps as there were resumes can only overstate the percentiles.
        longest = sorted(longest_gaps(records), reverse=True)[:resumes]
        ordinary = percentile(sorted(longest_gaps(records), reverse=True)[resumes:], 50)
        add_figure(report, "resume", f"{name}.resumes", resumes, "answers", Bound.AT_LEAST, 1)
        add_figure(report, "resume", f"{name}.gap_p50", percentile(longest, 50), "ms", baseline=ordinary)
        add_figure(report, "resume", f"{name}.gap_p95", percentile(longest, 95), "ms", Bound.AT_MOST, 1000.0, ordinary)
        add_figure(report, "resume", f"{name}.gap_max", max(longest_gaps(records), default=None), "ms", Bound.AT_MOST,
                   5000.0, ordinary)
        add_figure(report, "resume", f"{name}.incomplete", result["requests"] - result["outcomes"]["complete"],
                   "answers", Bound.AT_MOST, 0)
        add_figure(report, "resume", f"{name}.restarts", result["restarts"], "answers")
        for violation in setup.VIOLATIONS:
            add_figure(report, "resume", f"{name}.tokens_{violation}", result["violations"][violation], "violations",
                       Bound.AT_MOST, 0)
        add_figure(report, "resume", f"{name}.wrong_answers", result["wrong"], "answers", Bound.AT_MOST, 0)
