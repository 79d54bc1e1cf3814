"""What the cases have in common: the record, the executors and the verdict."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
import traceback

from deployment import BOUNDS, SERVICE, CannotRun, Deployment
from runs import runs_at_once

RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2
EXECUTOR = os.path.join(os.path.dirname(os.path.abspath(__file__)), "executor.py")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case:
    """A deployment with its executors, and the record of what was sent, answered and run."""

    def __init__(self, folder, entries, executors, **executor_settings):
        self.record_path = os.path.join(folder, "record.txt")
        open(self.record_path, "w").close()
        self.site = Deployment(self.record, entries=entries, agents=executors)
        self.executor_settings = executor_settings
        self.executors = []

    def record(self, *fields):
        with open(self.record_path, "a") as file:
            file.write(" ".join(map(str, [f"{time.monotonic():.4f}", *fields])) + "\n")

    def start_executor(self, number, life=0):
        site = self.site
        settings = {
            "record_path": self.record_path, "id": f"i-{number}-{life}", "service": SERVICE,
            "address": site.addresses["agent"][number], "zone": site.zone(number), "app": site.app,
            "control": site.control, "cpu": 16_000, "max_hold_ms": BOUNDS["max_hold_ms"],
            "serves_on_ms": 0, "end_ms": 0, "late_by_ms": 0, "late_orders": [],
            **self.executor_settings,
        }
        program = [sys.executable, EXECUTOR, json.dumps(settings)]
        return subprocess.Popen(program, stdin=subprocess.PIPE)

    def start_all(self):
        self.site.start_all()
        for number in range(len(self.site.addresses["agent"])):
            self.executors.append(self.start_executor(number))

    def tell(self, executor, command):
        executor.stdin.write(f"{command}\n".encode())
        executor.stdin.flush()

    def stop_all(self):
        for process in self.executors:
            process.kill()
            process.wait(10)
        self.site.stop_all()

    def verdict(self, fewest_runs):
        """Judges the record by the rule on runs at once, and prints what was found."""
        found, runs = runs_at_once(self.record_path)
        if runs < fewest_runs:
            raise CannotRun(f"only {runs} runs")
        for first, second, overlap_ms in found:
            self.record("TWICE", *first, "worked for", f"{overlap_ms:.1f}",
                        "ms after the start of", *second)
        longest_ms = max((overlap_ms for _, _, overlap_ms in found), default=0)
        print(f"{runs} runs, {len(found)} pairs of one task at once, for {longest_ms:.1f} ms at most")
        return RULE_BROKEN if found else RULE_HELD


def main(make_case, play, fewest_runs):
    """Plays a case and exits with its verdict."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    code = COULD_NOT_RUN
    case = None
    try:
        case = make_case()
        case.start_all()
        asyncio.run(play(case))
        code = case.verdict(fewest_runs)
    except Exception:
        traceback.print_exc()
    finally:
        if case:
            case.stop_all()
    sys.exit(code)
