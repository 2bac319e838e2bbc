#!/usr/bin/env python3
"""Draws the samples of `tools/measure --raw FILE` as one self-contained SVG, one panel for each series."""

import html
import json
import sys

WIDTH = 900
PANEL = 150
LEFT, RIGHT, TOP, BOTTOM = 70, 15, 26, 24


def read_series(path):
    """Returns {(case, series): (points, times of faults, unit)} of a file written with --raw."""
    series = {}
    with open(path) as lines:
        for line in lines:
            sample = json.loads(line)
            points, faults, units = series.setdefault((sample["case"], sample["series"]), ([], [], []))
            if sample["unit"] == "fault":
                faults.append(sample["at_s"])
            elif sample["value"] is not None:
                points.append((sample["at_s"], sample["value"]))
                units.append(sample["unit"])
    return {name: (points, faults, units[0] if units else "") for name, (points, faults, units) in series.items()}


def share_faults(series):
    """Copies the faults of a series without points to the other series of its case; returns the series with points."""
    for (case, _), (points, faults, _) in series.items():
        if faults and not points:
            for (other, _), (_, others, _) in series.items():
                if other == case and others is not faults:
                    others.extend(faults)
    return {name: value for name, value in series.items() if value[0]}


def draw_panel(name, values, top):
    points, faults, unit = values
    last = max([at for at, _ in points] + faults + [1e-9])
    highest = max([value for _, value in points] + [1e-9])
    height = PANEL - TOP - BOTTOM

    def x(at):
        return LEFT + (WIDTH - LEFT - RIGHT) * at / last

    def y(value):
        return top + TOP + height * (1 - value / highest)

    base = top + TOP + height
    parts = [f'<text x="{LEFT}" y="{top + 16}" font-weight="bold">{html.escape(" ".join(name))}</text>',
             f'<path d="M{LEFT} {top + TOP}V{base}H{WIDTH - RIGHT}" fill="none" stroke="#444"/>',
             f'<text x="{LEFT - 5}" y="{top + TOP + 8}" text-anchor="end">{highest:.4g} {html.escape(unit)}</text>',
             f'<text x="{LEFT - 5}" y="{base}" text-anchor="end">0</text>',
             f'<text x="{WIDTH - RIGHT}" y="{base + 15}" text-anchor="end">{last:.4g}</text>']
    parts += [f'<path d="M{x(at):.1f} {top + TOP}V{base}" stroke="#c00" stroke-dasharray="4 3"><title>fault at '
              f'{at:.2f} s</title></path>' for at in faults]
    parts += [f'<circle cx="{x(at):.1f}" cy="{y(value):.1f}" r="2" fill="#06c" fill-opacity="0.6"/>'
              for at, value in points]
    return parts


def main(arguments):
    if len(arguments) != 2:
        print("usage: plot.py RAW_FILE SVG_FILE", file=sys.stderr)
        return 64
    series = share_faults(read_series(arguments[0]))
    parts = []
    for number, (name, values) in enumerate(series.items()):
        parts += draw_panel(name, values, number * PANEL)
    height = max(1, len(series)) * PANEL
    with open(arguments[1], "w") as output:
        output.write(f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" font-size="11" '
                     f'font-family="sans-serif"><rect width="100%" height="100%" fill="white"/>\n'
                     + "\n".join(parts) + "\n</svg>\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
