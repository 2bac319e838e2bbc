"""Case extra: tokens that engines generated but no caller received, with one engine kill per 100 generations."""

import time

import fleet as fleets
import setup
from report import Bound, add_figure, add_sample

TARGETS = 4
STREAMS = 60
TOKENS = 100
GENERATIONS_PER_KILL = 100
RESTART_S = 0.5


def pause_and_kill(fleet, name):
    """Kills an engine and returns its last counts. They are exact because the engine is paused before, so that it
    generates nothing but still answers /stats."""
    setup.post_json(fleet.targets[name], "/faults", {"pause_ms": 10000})
    counts = setup.engine_stats(fleet, name)
    fleet.processes[name].kill()
    return counts


def run(report):
    requests = 4000 if report.is_long else 1000
    with fleets.Fleet() as fleet:
        setup.start_generation_fleet(fleet, 2, TARGETS)
        load = setup.start_load(fleet, "extra", *setup.stream_arguments(report.seed, TOKENS, STREAMS),
                                "--requests", requests, records=True)
        started = time.monotonic()
        final_counts = []
        kills = 0
        restarts = {}
        while load.poll() is None:
            time.sleep(0.05)
            for name in [name for name, restart_at in restarts.items() if time.monotonic() >= restart_at]:
                fleet.restart(name)
                fleet.wait_http(fleet.targets[name])
                del restarts[name]
            alive = [name for name in fleet.targets if name not in restarts]
            counts = final_counts + [setup.engine_stats(fleet, name) for name in alive]
            generated = sum(count.get("generations", 0) - count.get("resumed", 0) for count in counts)
            if generated >= GENERATIONS_PER_KILL * kills + GENERATIONS_PER_KILL // 2 and not restarts:
                victim = alive[(kills + report.seed) % len(alive)]
                add_sample(report, "extra", "kill", time.monotonic() - started, None, "fault")
                final_counts.append(pause_and_kill(fleet, victim))
                restarts[victim] = time.monotonic() + RESTART_S
                kills += 1
        result = setup.finish_load(load)
        time.sleep(0.5)
        counts = final_counts + [setup.engine_stats(fleet, name) for name in fleet.targets if name not in restarts]
        delivered = sum(record["tokens"] for record in setup.records_of(fleet, "extra"))
        resumes = setup.entry_metric(fleet, "lovage_resumes_total")
    generated = sum(count["tokens"] for count in counts)
    add_figure(report, "extra", "kills", kills, "kills", Bound.AT_LEAST, requests // GENERATIONS_PER_KILL)
    add_figure(report, "extra", "resumes", resumes, "answers")
    add_figure(report, "extra", "tokens_delivered", delivered, "tokens")
    add_figure(report, "extra", "tokens_generated", generated, "tokens")
    add_figure(report, "extra", "extra_share", (generated - delivered) / generated if generated else None, "share",
               Bound.BELOW, 0.02)
    add_figure(report, "extra", "prefill_tokens", sum(count["prefill_tokens"] for count in counts), "tokens")
    add_figure(report, "extra", "restarts", result["restarts"], "answers")
    add_figure(report, "extra", "incomplete", result["requests"] - result["outcomes"]["complete"], "answers",
               Bound.AT_MOST, 0)
    add_figure(report, "extra", "wrong_answers", result["wrong"], "answers", Bound.AT_MOST, 0)
