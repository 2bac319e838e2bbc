"""Command line of tools/measure."""

import argparse
import sys

import case_capacity
import case_config
import case_control_cost
import case_drain
import case_extra
import case_overhead
import case_overload
import case_resume
import case_retry_storm
import case_routing
import fleet
from report import Report

CASES = {
    "resume": (case_resume.run, "longest gap seen by callers after kills, pauses and cuts"),
    "extra": (case_extra.run, "extra tokens with one engine kill per 100 generations"),
    "control_cost": (case_control_cost.run, "cost of control per process at several fleet sizes"),
    "config": (case_config.run, "time until a change is in force, with the store up and down"),
    "retry_storm": (case_retry_storm.run, "generations for each request while callers retry at once"),
    "overhead": (case_overhead.run, "time added to first token and token gap"),
    "capacity": (case_capacity.run, "streams at one entry and their cost"),
    "drain": (case_drain.run, "requests cut and new attempts after a planned stop"),
    "overload": (case_overload.run_overload, "useful answers at three times capacity"),
    "fairness": (case_overload.run_fairness, "small organisations while a large one floods the entries"),
    "routing": (case_routing.run, "routing policies with one slow target"),
}


def main(arguments):
    """Returns 0, 1 if a target was missed, 2 if a case could not run and 64 for wrong usage."""
    parser = argparse.ArgumentParser(prog="tools/measure", description="Measures real processes on loopback.")
    parser.add_argument("cases", nargs="*", metavar="CASE", help="cases to run; none: list the cases")
    parser.add_argument("--long", action="store_true", help="more samples for each case")
    parser.add_argument("--seed", type=int, default=1, help="seed of the load and of the choice of faults")
    parser.add_argument("--raw", metavar="FILE", help="write one JSON line for each sample")
    try:
        options = parser.parse_args(arguments)
    except SystemExit as stop:
        return 64 if stop.code else 0
    unknown = [name for name in options.cases if name not in CASES]
    if unknown:
        print(f"unknown case: {', '.join(unknown)}", file=sys.stderr)
        return 64
    if not options.cases:
        for name, (_, description) in CASES.items():
            print(f"{name:14} {description}")
        return 0
    report = Report(options.seed, options.long, open(options.raw, "w") if options.raw else None)
    failed = []
    for name in options.cases:
        try:
            CASES[name][0](report)
        except (fleet.FleetError, OSError) as error:
            print(f"{name}: {error}", file=sys.stderr)
            failed.append(name)
    if report.raw_file is not None:
        report.raw_file.close()
    for missed in report.missed:
        print(f"target missed: {missed}", file=sys.stderr)
    return 2 if failed else 1 if report.missed else 0
