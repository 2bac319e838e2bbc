"""Case overhead: latency added to the first token and between tokens, compared with direct calls to the engines."""

import statistics

import fleet as fleets
import setup
from report import Bound, add_figure, add_sample

STREAMS = 16
TOKENS = 40
REQUESTS = 96
METRICS = (("first_token", 3.0), ("gap", 1.0))
DIRECT = ("--mode", "direct-engine", "--model", setup.MODEL, "--engine-version", "v1")
# name: (entries, engines). With one engine the batches are the same with and without entries; with two, routing is
# part of the difference.
FLEETS = {"one_engine": (1, 1), "two_engines": (2, 2)}


def run_load(report, fleet, name, number, addresses, arguments):
    load = setup.start_load(fleet, f"{name}-{number}", *setup.stream_arguments(
        report.seed * 1000 + number, TOKENS, STREAMS), "--requests", REQUESTS, *arguments, addresses=addresses)
    result = setup.finish_load(load)
    if result["wrong"] or result["outcomes"]["complete"] != result["requests"]:
        raise fleets.FleetError(f"{name}: incomplete or wrong answers: {result['outcomes']}")
    return result


def run_fleet(report, name):
    figures = {}
    entries, engines = FLEETS[name]
    with fleets.Fleet() as fleet:
        setup.start_generation_fleet(fleet, entries, engines)
        for number in range(10 if report.is_long else 3):
            for path, addresses, arguments in (("direct", list(fleet.targets.values()), DIRECT), ("entries", None, ())):
                result = run_load(report, fleet, path, number, addresses, arguments)
                for metric, _ in METRICS:
                    for share in ("p50", "p95"):
                        value = result[metric][f"{share}_ms"]
                        figures.setdefault((path, metric, share), []).append(value)
                        add_sample(report, "overhead", f"{name}.{path}.{metric}.{share}", number, value, "ms")
    return figures


def run(report):
    for name in FLEETS:
        figures = run_fleet(report, name)
        for metric, target in METRICS:
            for share, bound in (("p50", Bound.NONE), ("p95", Bound.BELOW)):
                direct = statistics.median(figures[("direct", metric, share)])
                added = statistics.median(figures[("entries", metric, share)]) - direct
                add_figure(report, "overhead", f"{name}.{metric}_added.{share}", added, "ms", bound,
                           None if bound is Bound.NONE else target, direct)
