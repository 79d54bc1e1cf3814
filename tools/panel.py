#!/usr/bin/env python3
"""Runs a panel of days on several checkouts of dockpass and compares them day by day.

    tools/panel.py --bench PATH --site FILE --days a,b --seeds 1,2,3 --why TEXT base=DIR new=DIR...

Each checkout is a directory with its own build and its own journal. A day is run once per seed and
checkout, the checkouts of one day side by side, so that they see the same load of the machine. The
first checkout is the baseline: for each other one, the table shows the mean difference in worth and
its standard error, over the pairs of the same day and seed.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import re
import statistics
import subprocess
import sys
from dataclasses import dataclass

# The last line of a run's output names its entry in the journal.
ENTRY_LINE = re.compile(r"^snapshot ([0-9a-f]+)$", re.MULTILINE)
# A row of the table by kind of request: asked, in time, late, refused, failed, not owed, worth.
CLASS_LINE = re.compile(r"^(\S+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d\.\d+)")
# Prices below this are omitted from the table.
PRICE_SHOWN = 0.004


@dataclass(frozen=True)
class Play:
    """One run of a day on one checkout."""

    label: str
    checkout: pathlib.Path
    site: pathlib.Path
    day: str
    seed: str
    small: bool


@dataclass
class Result:
    """The bench's results for one day."""

    worth: float
    classes: dict
    prices: dict
    broken: list


def read_classes(output: str) -> dict:
    """Parses the table by kind of request from the output of a run."""
    classes, in_table = {}, False
    for line in output.splitlines():
        if line.startswith("class "):
            in_table = True
        elif not line.strip():
            in_table = False
        elif in_table and (match := CLASS_LINE.match(line)):
            classes[match[1]] = [int(match[n]) for n in range(2, 8)] + [float(match[8])]
    return classes


def read_result(checkout: pathlib.Path, output: str) -> Result | None:
    """Reads the result of a run from its journal entry; `None` if the day was not played."""
    match = ENTRY_LINE.search(output)
    entries = sorted(checkout.glob(f"journal/*-{match[1]}.json")) if match else []
    if not entries:
        return None
    days = json.loads(entries[-1].read_text())["days"]
    if not days:
        return None
    day = days[0]
    broken = [f"rule broken: {rule} {count}" for rule, count in day["rules"].items()]
    if day["fault"]:
        broken.append(f"fault: {day['fault']}")
    prices = {name: price for name, _, price in day["prices"]}
    return Result(day["G"], read_classes(output), prices, broken)


def play(bench: str, why: str, item: Play) -> Result | None:
    """Runs one day and reads its result."""
    command = [bench, "run", str(item.site), item.day, "--jobs", "1", "--why", why]
    if item.seed != "own":
        command += ["--seed", item.seed]
    if item.small:
        command.append("--small")
    done = subprocess.run(command, cwd=item.checkout, capture_output=True, text=True, check=False)
    result = read_result(item.checkout, done.stdout)
    if result is None:
        print(f"not played: {item}\n{done.stdout[-2000:]}{done.stderr[-2000:]}", file=sys.stderr)
    return result


def mean_and_error(values: list) -> tuple:
    """Returns the mean and its standard error."""
    error = statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else math.nan
    return statistics.mean(values), error


def show(labels: list, results: dict) -> None:
    """Prints each day's worth, the shares by class, the larger prices, and the differences."""
    days = sorted({(play.site.stem, play.day, play.seed) for play in results})
    by_key = {(p.site.stem, p.day, p.seed, p.label): r for p, r in results.items()}
    print(f"{'day':34}" + "".join(f"{label:>12}" for label in labels))
    for day in days:
        worths = [by_key.get((*day, label)) for label in labels]
        cells = "".join(f"{r.worth:12.3f}" if r else f"{'-':>12}" for r in worths)
        print(f"{' '.join(day):34}{cells}")
        for label, result in zip(labels, worths):
            for broken in result.broken if result else []:
                print(f"    {label}: {broken}")
    for label in labels:
        played = [by_key[(*day, label)] for day in days if by_key.get((*day, label))]
        if not played:
            continue
        print(f"\n{label}: mean {statistics.mean(r.worth for r in played):.4f}")
        pairs = [
            (by_key[(*day, label)].worth - by_key[(*day, labels[0])].worth)
            for day in days
            if by_key.get((*day, label)) and by_key.get((*day, labels[0]))
        ]
        if label != labels[0] and pairs:
            mean, error = mean_and_error(pairs)
            print(f"  against {labels[0]}: {mean:+.4f}, standard error {error:.4f}, {len(pairs)} pairs")
        show_classes(played)
        show_prices(played)


def show_classes(played: list) -> None:
    """Prints, by kind of request, the shares in time, late, refused and failed."""
    names = sorted({name for result in played for name in result.classes})
    for name in names:
        rows = [result.classes[name] for result in played if name in result.classes]
        asked, in_time, late, refused, failed = (sum(row[n] for row in rows) for n in range(5))
        owed = max(asked, 1)
        print(
            f"  {name:18} asked {asked:7} in time {in_time / owed:.3f} late {late / owed:.3f} "
            f"refused {refused / owed:.3f} failed {failed / owed:.3f}"
        )


def show_prices(played: list) -> None:
    """Prints the mean of each larger price."""
    names = sorted({name for result in played for name in result.prices})
    for name in names:
        mean = statistics.mean(result.prices.get(name, 0.0) for result in played)
        if mean >= PRICE_SHOWN:
            print(f"  price {mean:.4f} {name}")


def main() -> None:
    """Parses the arguments, runs the panel and prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="the users' bench")
    parser.add_argument("--site", action="append", required=True, type=pathlib.Path)
    parser.add_argument("--days", required=True, help="names of days, separated by commas")
    parser.add_argument("--seeds", default="own", help="seeds, separated by commas; 'own' is the day's own seed")
    parser.add_argument("--small", action="store_true", help="run the small twins of the days")
    parser.add_argument("--why", required=True)
    parser.add_argument("--jobs", type=int, default=7, help="number of days that run at the same time")
    parser.add_argument("--json", type=pathlib.Path, help="file for the results, as JSON")
    parser.add_argument("checkouts", nargs="+", help="LABEL=DIRECTORY; the first is the baseline")
    args = parser.parse_args()
    checkouts = dict(pair.split("=", 1) for pair in args.checkouts)
    for checkout in checkouts.values():
        subprocess.run([args.bench, "build"], cwd=checkout, capture_output=True, check=True)
    plays = [
        Play(label, pathlib.Path(checkout), site, day, seed, args.small)
        for site in args.site
        for day in args.days.split(",")
        for seed in args.seeds.split(",")
        for label, checkout in checkouts.items()
    ]
    results = {}
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        futures = {
            pool.submit(play, args.bench, f"{args.why} ({item.label})", item): item
            for item in plays
        }
        for future in concurrent.futures.as_completed(futures):
            if (result := future.result()) is not None:
                results[futures[future]] = result
    show(list(checkouts), results)
    if args.json:
        rows = [
            {**{k: str(v) for k, v in vars(p).items()}, **vars(r)} for p, r in results.items()
        ]
        args.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
