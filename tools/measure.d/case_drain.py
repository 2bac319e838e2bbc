"""Case drain: graceful shutdown of an agent under load."""

import signal
import time

import fleet as fleets
import setup
from report import Bound, add_figure, add_sample

TARGETS = 4
STREAMS = 40
TOKENS = 300
GRACE_S = 3.0


def run(report):
    with fleets.Fleet() as fleet:
        setup.start_generation_fleet(fleet, 2, TARGETS)
        load = setup.start_load(fleet, "drain", *setup.stream_arguments(report.seed, TOKENS, STREAMS),
                                "--duration-ms", 30000 if report.is_long else 14000, records=True)
        started = time.monotonic()
        time.sleep(3.0)
        add_sample(report, "drain", "stop", time.monotonic() - started, None, "fault")
        resumes = setup.entry_metric(fleet, "lovage_resumes_total")
        stopped = setup.engine_stats(fleet, "engine-0")
        fleet.processes["agent-0"].signal(signal.SIGTERM)
        sent = time.monotonic()
        agent = fleet.processes["agent-0"]
        ended = None
        settled = None
        while load.poll() is None:
            if ended is None and not agent.is_running():
                ended = time.monotonic() - sent
            if settled is None and time.monotonic() >= sent + GRACE_S:
                settled = setup.engine_stats(fleet, "engine-0")
            time.sleep(0.02)
        result = setup.finish_load(load)
        final = setup.engine_stats(fleet, "engine-0")
        resumes = setup.entry_metric(fleet, "lovage_resumes_total") - resumes
        for record in setup.records_of(fleet, "drain"):
            add_sample(report, "drain", "longest_gap", (record["started_ms"] + record["total_ms"]) / 1000,
                       record.get("longest_gap_ms"), "ms")
        exit_code = agent.child.poll()
    add_figure(report, "drain", "running_at_stop", stopped["generations"] - stopped["finished"], "generations",
               Bound.AT_LEAST, 1)
    add_figure(report, "drain", "requests_cut", resumes + result["requests"] - result["outcomes"]["complete"],
               "requests", Bound.AT_MOST, 0)
    add_figure(report, "drain", "caller_retries", sum(result["retries"].values()), "retries")
    add_figure(report, "drain", "attempts_within_3_s", settled["generations"] - stopped["generations"], "generations")
    add_figure(report, "drain", "attempts_after_3_s", final["generations"] - settled["generations"], "generations",
               Bound.AT_MOST, 0)
    add_figure(report, "drain", "time_to_exit", ended, "s")
    add_figure(report, "drain", "exit_code", exit_code, "code", Bound.AT_MOST, 0)
    add_figure(report, "drain", "wrong_answers", result["wrong"], "answers", Bound.AT_MOST, 0)
