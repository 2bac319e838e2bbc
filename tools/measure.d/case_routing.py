"""Case routing: the routing policies with one slow target and several entries."""

import fleet as fleets
import setup
from report import Bound, add_figure, add_sample

POLICIES = ("two_choices", "round_robin", "least_reported")
ENTRIES = 4
TARGETS = 4
STREAMS = 48
TOKENS = 40
SLOW_FACTOR = 4.0


def run(report):
    p95 = {}
    for policy in POLICIES:
        with fleets.Fleet() as fleet:
            setup.start_generation_fleet(fleet, ENTRIES, TARGETS, entry_settings={"routing": {"policy": policy}})
            setup.post_json(fleet.targets["engine-0"], "/faults", {"slow_factor": SLOW_FACTOR})
            load = setup.start_load(fleet, policy, *setup.stream_arguments(report.seed, TOKENS, STREAMS),
                                    "--duration-ms", 30000 if report.is_long else 9000, records=True)
            result = setup.finish_load(load)
            for record in setup.records_of(fleet, policy):
                add_sample(report, "routing", policy, record["started_ms"] / 1000, record["first_token_ms"], "ms")
            counts = [setup.engine_stats(fleet, engine)["generations"] for engine in fleet.targets]
        p95[policy] = result["first_token"].get("p95_ms")
        add_figure(report, "routing", f"{policy}.first_token_p95", p95[policy], "ms")
        add_figure(report, "routing", f"{policy}.answers_per_s", result["outcomes"]["complete"] / result["elapsed_s"],
                   "answers/s")
        add_figure(report, "routing", f"{policy}.slow_target_share", counts[0] / sum(counts), "share")
        add_figure(report, "routing", f"{policy}.wrong_answers", result["wrong"], "answers", Bound.AT_MOST, 0)
    for other in POLICIES[1:]:
        add_figure(report, "routing", f"two_choices_to_{other}", p95["two_choices"] / p95[other], "ratio",
                   baseline=p95[other])
