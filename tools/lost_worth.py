#!/usr/bin/env python3
"""Shows where the worth of one played day was lost: by part of the goal, kind, hall and time.

    fleetbench run SITE DAY --report DAY.json --why TEXT
    tools/lost_worth.py DAY.json [--svg PICTURE.svg]

Reads the report of a day that the users' bench writes. The picture shows the numbers of requests in time, late, refused
and failed in each window of two seconds, with the disruptions below.
"""

import argparse
import json
import pathlib
from html import escape

# A window that earned less than this fraction of its worth is shown.
WINDOW_SHOWN = 0.95
# Prices below this are omitted from the table.
PRICE_SHOWN = 0.002
# The outcomes of requests, and the colour of each in the picture.
OUTCOMES = {"in_aim": "#4c9f70", "late": "#e6b54a", "refused": "#c8553d", "failed": "#5b3a54"}
# Dimensions of the picture, in pixels.
WIDTH, BARS_HEIGHT, EVENT_HEIGHT, MARGIN = 900, 240, 14, 40
# Length of a window, in seconds.
WINDOW_S = 2


def overlapping(report: dict, begins: float) -> list:
    """Returns the kinds of the disruptions that overlap a window."""
    ends = begins + WINDOW_S
    return [event["kind"] for event in report["events"]
            if event["at_s"] < ends and event["to_s"] > begins]


def print_parts(report: dict) -> None:
    print(f"worth {report['G']:.3f}")
    for name, weight, earned in report["parts"]:
        print(f"  {name:<16} earned {earned:.3f}, costs {weight * (1 - earned):.4f}")
    for name, amount, price in report["prices"]:
        if price >= PRICE_SHOWN:
            print(f"  price {name}: {amount:g}, costs {price:.4f}")


def print_rows(title: str, rows: list) -> None:
    print(title)
    for row in rows:
        lost = {name: row[name] for name in OUTCOMES if name != "in_aim" and row[name]}
        text = ", ".join(f"{name} {count}" for name, count in lost.items())
        print(f"  {row['name']:<18} asked {row['n']:>6}  worth {row['worth']:.3f}  {text}")


def print_windows(report: dict) -> None:
    print(f"windows below {WINDOW_SHOWN}")
    for window in report["windows"]:
        if window["n"] and window["worth"] < WINDOW_SHOWN:
            begins = float(window["name"])
            beside = ", ".join(overlapping(report, begins)) or "nothing"
            lost = ", ".join(f"{name} {window[name]}" for name in OUTCOMES)
            print(f"  {begins:>4.0f} s  worth {window['worth']:.3f}  {lost}  beside: {beside}")


def bars(report: dict, scale: float, most: int) -> list:
    """Returns a bar of stacked outcomes for each window."""
    shapes = []
    for window in report["windows"]:
        x = MARGIN + float(window["name"]) * scale
        top = MARGIN + BARS_HEIGHT
        for name, colour in OUTCOMES.items():
            height = window[name] / most * BARS_HEIGHT
            top -= height
            shapes.append(f'<rect x="{x:.1f}" y="{top:.1f}" width="{WINDOW_S * scale - 1:.1f}" '
                          f'height="{height:.1f}" fill="{colour}"/>')
    return shapes


def events(report: dict, scale: float, last: float) -> list:
    """Returns a line for each disruption, below the bars."""
    shapes = []
    for number, event in enumerate(report["events"]):
        y = MARGIN + BARS_HEIGHT + 24 + number * EVENT_HEIGHT
        begins, ends = event["at_s"], min(event["to_s"], last)
        x, width = MARGIN + begins * scale, max(ends - begins, 0.2) * scale
        shapes.append(f'<rect x="{x:.1f}" y="{y}" width="{width:.1f}" height="8" fill="#8899aa"/>')
        shapes.append(f'<text x="{x + 2:.1f}" y="{y + 8}" font-size="9">{escape(event["kind"])}</text>')
    return shapes


def draw(report: dict, path: pathlib.Path) -> None:
    last = max(float(window["name"]) for window in report["windows"]) + WINDOW_S
    scale = (WIDTH - 2 * MARGIN) / last
    most = max(sum(window[name] for name in OUTCOMES) for window in report["windows"])
    height = MARGIN + BARS_HEIGHT + 40 + len(report["events"]) * EVENT_HEIGHT
    legend = [f'<text x="{MARGIN + 90 * number}" y="20" font-size="12" fill="{colour}">{name}</text>'
              for number, (name, colour) in enumerate(OUTCOMES.items())]
    axis = [f'<text x="{MARGIN + second * scale:.1f}" y="{MARGIN + BARS_HEIGHT + 14}" '
            f'font-size="10">{second} s</text>' for second in range(0, int(last), 10)]
    shapes = legend + axis + bars(report, scale, most) + events(report, scale, last)
    lines = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
             'font-family="sans-serif">', *shapes, "</svg>", ""]
    path.write_text("\n".join(lines))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("report", type=pathlib.Path, help="report that a run wrote with --report")
    parser.add_argument("--svg", type=pathlib.Path, help="file for the picture")
    arguments = parser.parse_args()
    report = json.loads(arguments.report.read_text())
    print_parts(report)
    print_rows("kinds", report["classes"])
    print_rows("halls of clients", report["zones"])
    print_windows(report)
    if arguments.svg:
        draw(report, arguments.svg)


if __name__ == "__main__":
    main()
