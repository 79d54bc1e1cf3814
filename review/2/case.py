"""Executors that leave while tasks run on them: does a task start elsewhere while it still runs?"""

import asyncio
import os
import sys
import time

FOLDER = sys.argv[1]
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import client  # noqa: E402
from case import TROUBLE, Case, main  # noqa: E402
from deployment import BOUNDS  # noqa: E402

# How long an executor takes to end after the answer to its deregistration.
END_MS = float(os.environ.get("END_MS", "20"))
EXECUTORS = 4
LEAVES = 3
JOBS = 3
TASKS = 8
TASK_MS = 3_500
# After the acknowledgement an executor serves on for `drain_ms` and a little longer.
SERVES_ON_MS = BOUNDS["drain_ms"] + 200


async def wait_for_exit(process, within_s):
    end = time.monotonic() + within_s
    while process.poll() is None and time.monotonic() < end:
        await asyncio.sleep(0.01)


async def play(case):
    site = case.site
    await client.replace_configuration(site, client.configuration())
    await asyncio.sleep(2)
    for leave in range(LEAVES):
        jobs = [asyncio.create_task(client.submit(site, TASKS, TASK_MS, 1_600, 8_000, job % 2))
                for job in range(JOBS)]
        await asyncio.sleep(0.4)
        if TROUBLE:
            case.tell(case.executors[leave], "leave")
            await wait_for_exit(case.executors[leave], 6)
        await asyncio.gather(*jobs)
        if TROUBLE:
            await asyncio.sleep(BOUNDS["address_reuse_s"])
            case.executors[leave] = case.start_executor(leave, leave + 1)
        await asyncio.sleep(2)


def make_case():
    return Case(FOLDER, entries=2, executors=EXECUTORS, serves_on_ms=SERVES_ON_MS, end_ms=END_MS)


main(make_case, play, fewest_runs=LEAVES * JOBS * TASKS)
