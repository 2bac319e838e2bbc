"""Cases overload and fairness: goodput at three times capacity, and small organisations beside a large one."""

import fleet as fleets
import setup
from report import Bound, add_figure, add_sample

TARGETS = 2
SLOTS = 8
TOKENS = 50
STEP_US = 15000
USEFUL_MS = 10000
SMALL = ("dealer-1", "dealer-2", "dealer-3")
LARGE = "dealer-large"


def start(fleet, organisations):
    text = fleets.operator_text({setup.MODEL: "v1"}, {setup.SERVICE: setup.MODEL}, organisations=organisations)
    setup.start_generation_fleet(fleet, 2, TARGETS, text=text, slots=SLOTS, queue_limit=SLOTS, step_base_us=STEP_US,
                                 step_per_sequence_us=0, prefill_us_per_token=0)


def arguments(report, organisations, concurrency, seconds):
    return ["--service", setup.SERVICE, "--organisations", ",".join(organisations), "--seed", report.seed,
            "--max-tokens", TOKENS, "--concurrency", concurrency, "--duration-ms", int(seconds * 1000)]


def run_overload(report):
    """Counts the useful answers of each second: complete within USEFUL_MS of the time when the request was due."""
    seconds = 30.0 if report.is_long else 10.0
    useful = {}
    for name, factor in (("at_capacity", 1), ("three_times", 3)):
        with fleets.Fleet() as fleet:
            start(fleet, setup.ORGANISATIONS)
            options = arguments(report, setup.ORGANISATIONS, TARGETS * SLOTS * factor, seconds)
            load = setup.start_load(fleet, name, *options, "--give-up-ms", USEFUL_MS, records=True)
            result = setup.finish_load(load)
            records = setup.records_of(fleet, name)
        good = [record for record in records if record["outcome"] == "complete" and record["total_ms"] <= USEFUL_MS]
        useful[name] = len(good) / result["elapsed_s"]
        for record in records:
            add_sample(report, "overload", name, (record["started_ms"] + record["total_ms"]) / 1000, record["total_ms"],
                       "ms")
        add_figure(report, "overload", f"{name}.useful_rate", useful[name], "answers/s")
        add_figure(report, "overload", f"{name}.attempts_per_request", result["attempts"] / max(1, result["requests"]),
                   "attempts")
        add_figure(report, "overload", f"{name}.not_useful", len(records) - len(good), "answers")
        add_figure(report, "overload", f"{name}.wrong_answers", result["wrong"], "answers", Bound.AT_MOST, 0)
    add_figure(report, "overload", "useful_share", useful["three_times"] / useful["at_capacity"], "share",
               Bound.AT_LEAST, 0.9, round(useful["at_capacity"], 3))


def run_fairness(report):
    seconds = 30.0 if report.is_long else 10.0
    p95 = {}
    for name, floods in (("alone", False), ("flooded", True)):
        with fleets.Fleet() as fleet:
            start(fleet, SMALL + (LARGE,))
            loads = [setup.start_load(fleet, "small", *arguments(report, SMALL, len(SMALL), seconds), records=True)]
            if floods:
                options = arguments(report, (LARGE,), TARGETS * SLOTS * 3, seconds)
                loads.append(setup.start_load(fleet, "large", *options, "--give-up-ms", USEFUL_MS))
            results = [setup.finish_load(load) for load in loads]
            for record in setup.records_of(fleet, "small"):
                add_sample(report, "fairness", name, (record["started_ms"] + record["total_ms"]) / 1000,
                           record["total_ms"], "ms")
        for metric in ("first_token", "total"):
            p95[(name, metric)] = results[0][metric].get("p95_ms")
            add_figure(report, "fairness", f"{name}.{metric}_p95", p95[(name, metric)], "ms")
        add_figure(report, "fairness", f"{name}.small_incomplete",
                   results[0]["requests"] - results[0]["outcomes"]["complete"], "answers", Bound.AT_MOST, 0)
        add_figure(report, "fairness", f"{name}.wrong_answers", sum(result["wrong"] for result in results), "answers",
                   Bound.AT_MOST, 0)
    for metric, bound in (("total", Bound.BELOW), ("first_token", Bound.NONE)):
        alone, flooded = p95[("alone", metric)], p95[("flooded", metric)]
        add_figure(report, "fairness", f"{metric}_p95_ratio", flooded / alone if alone and flooded else None, "ratio",
                   bound, 1.5 if bound is Bound.BELOW else None, alone)
