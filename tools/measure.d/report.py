"""Results of the measurement cases: one JSON line for each figure and, with --raw, one for each sample."""

import dataclasses
import enum
import json


class Bound(enum.Enum):
    """Comparison of a figure with its target."""

    NONE = "none"
    BELOW = "below"
    AT_MOST = "at_most"
    AT_LEAST = "at_least"


MEETS = {
    Bound.NONE: lambda value, target: True,
    Bound.BELOW: lambda value, target: value < target,
    Bound.AT_MOST: lambda value, target: value <= target,
    Bound.AT_LEAST: lambda value, target: value >= target,
}


@dataclasses.dataclass
class Report:
    """Collects the results of one run. A figure without samples (value None) misses its target."""

    seed: int
    is_long: bool = False
    raw_file: object = None
    missed: list = dataclasses.field(default_factory=list)


def add_figure(report, case, metric, value, unit, bound=Bound.NONE, target=None, baseline=None):
    """Prints one figure and records it in `missed` if it misses its target."""
    if isinstance(value, float):
        value = round(value, 4)
    print(json.dumps({"case": case, "metric": metric, "value": value, "unit": unit, "target": target,
                      "baseline": baseline, "seed": report.seed}), flush=True)
    if bound is not Bound.NONE and (value is None or not MEETS[bound](value, target)):
        report.missed.append(f"{case} {metric}")


def add_sample(report, case, series, at_s, value, unit):
    """Writes one raw sample; `at_s` is the time since the load started. The unit `fault` marks a fault."""
    if report.raw_file is not None:
        report.raw_file.write(json.dumps({"case": case, "series": series, "at_s": round(at_s, 4), "value": value,
                                          "unit": unit, "seed": report.seed}) + "\n")


def percentile(values, share):
    """Returns the nearest-rank percentile; `share` is in percent. None without values."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, max(0, -(-len(ordered) * share // 100) - 1))]


def slope(points):
    """Returns the least-squares slope of (x, y) points; 0.0 if all x are equal."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
