"""Case capacity: concurrent streams at one entry, with CPU time per token and memory per stream of entry and agents."""

import time

import fleet as fleets
import setup
from report import Bound, add_figure, add_sample, slope

SIZES = (100, 250, 500, 750)
AGENTS = 4
TOKENS = 150


def usage(fleet):
    """Returns (CPU seconds, resident bytes) of the entry and, in total, of the agents."""
    pids = {"entry": [fleet.processes[name].pid for name in fleet.entries],
            "agent": [fleet.processes[name].pid for name in fleet.agents]}
    return {kind: (sum(map(setup.ticks_s, values)), sum(map(setup.resident_bytes, values)))
            for kind, values in pids.items()}


def run_size(report, streams):
    with fleets.Fleet() as fleet:
        setup.start_generation_fleet(fleet, 1, AGENTS, slots=256, queue_limit=512, step_base_us=30000,
                                     step_per_sequence_us=0, prefill_us_per_token=0)
        before = usage(fleet)
        load = setup.start_load(fleet, "capacity", *setup.stream_arguments(report.seed, TOKENS, streams), "--requests",
                                streams * (4 if report.is_long else 1), "--threads", 2)
        highest = dict(before)
        started = time.monotonic()
        while load.poll() is None:
            time.sleep(0.25)
            for kind, (_, memory) in usage(fleet).items():
                highest[kind] = (0, max(highest[kind][1], memory))
                add_sample(report, "capacity", f"{kind}.memory.{streams}", time.monotonic() - started, memory, "bytes")
        result = setup.finish_load(load)
        after = usage(fleet)
    costs = {kind: ((after[kind][0] - before[kind][0]) / max(1, result["tokens"]) * 1e6,
                    (highest[kind][1] - before[kind][1]) / streams) for kind in before}
    return result, costs


def run(report):
    points = {}
    for streams in SIZES:
        result, costs = run_size(report, streams)
        name = f"{streams}_streams"
        bound = Bound.AT_LEAST if streams >= 500 else Bound.NONE
        requests = result["requests"]
        add_figure(report, "capacity", f"completed.{name}", result["outcomes"]["complete"], "answers", bound,
                   requests if bound is not Bound.NONE else None)
        add_figure(report, "capacity", f"wrong_answers.{name}", result["wrong"], "answers", Bound.AT_MOST, 0)
        add_figure(report, "capacity", f"tokens_per_s.{name}", result["tokens_per_s"], "tokens/s")
        add_figure(report, "capacity", f"first_token_p95.{name}", result["first_token"].get("p95_ms"), "ms")
        add_figure(report, "capacity", f"gap_p95.{name}", result["gap"].get("p95_ms"), "ms")
        for kind, (processor, memory) in costs.items():
            add_figure(report, "capacity", f"{kind}.processor_per_token.{name}", processor, "us")
            add_figure(report, "capacity", f"{kind}.memory_per_stream.{name}", memory, "bytes")
            points.setdefault((f"{kind}.processor_per_token", "us"), []).append((streams, processor))
            points.setdefault((f"{kind}.memory_per_stream", "bytes"), []).append((streams, memory))
    for (metric, unit), values in points.items():
        add_figure(report, "capacity", f"{metric}.slope", slope(values), f"{unit} per stream")
