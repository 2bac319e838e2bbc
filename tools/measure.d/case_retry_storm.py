"""Case retry_storm: generations started per request while callers retry without backoff after a timeout."""

import time

import fleet as fleets
import setup
from report import Bound, add_figure, add_sample

STREAMS = 40
TOKENS = 30
# A step takes longer than the timeout of the callers, so that every caller retries repeatedly.
STEP_US = 120000
SILENCE_MS = 40
PAUSE_S = 1.5
COUNTERS = ("restarts", "homes_lost", "homes_taken_over", "adoptions", "peer_silent", "attempts_lost",
            "generations_without_home", "adoptions_refused", "answers_abandoned")


def run_storm(report, name, requests, pauses_entry):
    with fleets.Fleet() as fleet:
        setup.start_generation_fleet(fleet, 3, 2, step_base_us=STEP_US, slots=64, queue_limit=64)
        load = setup.start_load(fleet, name, *setup.stream_arguments(report.seed, TOKENS, STREAMS), "--requests",
                                requests, "--silence-ms", SILENCE_MS, "--give-up-ms", 60000, records=True)
        started = time.monotonic()
        while pauses_entry and load.poll() is None:
            time.sleep(PAUSE_S)
            add_sample(report, "retry_storm", name, time.monotonic() - started, None, "fault")
            fleet.processes["entry-0"].pause()
            time.sleep(PAUSE_S)
            fleet.processes["entry-0"].resume()
        result = setup.finish_load(load)
        counts = [setup.engine_stats(fleet, engine) for engine in fleet.targets]
        counters = {counter: setup.entry_metric(fleet, f"lovage_{counter}_total") for counter in COUNTERS}
        for record in setup.records_of(fleet, name):
            add_sample(report, "retry_storm", name, (record["started_ms"] + record["total_ms"]) / 1000,
                       record["attempts"], "attempts")
    return result, counts, counters


def run(report):
    for name, pauses_entry in (("silence", False), ("entry_pause", True)):
        result, counts, counters = run_storm(report, name, 400 if report.is_long else 120, pauses_entry)
        generations = sum(count["generations"] for count in counts)
        resumed = sum(count["resumed"] for count in counts)
        requests = result["requests"]
        add_figure(report, "retry_storm", f"{name}.attempts_per_request", result["attempts"] / requests, "attempts")
        add_figure(report, "retry_storm", f"{name}.generations_per_request", generations / requests, "generations",
                   Bound.BELOW, 1.05)
        add_figure(report, "retry_storm", f"{name}.resumed", resumed, "generations")
        add_figure(report, "retry_storm", f"{name}.tokens_per_token_needed",
                   sum(count["tokens"] for count in counts) / (requests * TOKENS), "tokens")
        for counter, value in counters.items():
            add_figure(report, "retry_storm", f"{name}.{counter}", value, "events")
        add_figure(report, "retry_storm", f"{name}.incomplete", requests - result["outcomes"]["complete"], "answers",
                   Bound.AT_MOST, 0)
        add_figure(report, "retry_storm", f"{name}.wrong_answers", result["wrong"], "answers", Bound.AT_MOST, 0)
