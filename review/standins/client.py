"""Clients and the operator."""

import asyncio
import json
import random
import time

import wire
from deployment import HOST, PREFIX, SERVICE, CannotRun

RESEND_S = 1.3
SENT_AGAIN = ("no answer", "broken", 502, 504)


def configuration(version=1):
    """A configuration with one queue, as the pages print one."""
    return {
        "version": version,
        "routes": [{
            "name": "q", "host": HOST, "path_prefix": PREFIX, "kind": "non_idempotent",
            "timeout_ms": 1500, "target_latency_ms": 60, "priority": 0, "service": SERVICE,
            "max_attempts": 3, "stretch": 1.6,
        }],
        "services": [{
            "name": SERVICE, "health_path": "/health", "connection_limit": 64, "protocol": "h1",
            "tls": False, "rejects_overload": True, "spare": False,
        }],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


async def replace_configuration(site, document, within_s=20):
    """Sends a configuration, unchanged and to any keeper, until it is acknowledged."""
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        for address in site.addresses["keeper"]:
            try:
                status, _ = await wire.call_following(
                    address, site.control, "POST", "/configuration/replace", document)
            except (OSError, asyncio.TimeoutError):
                continue
            if status == 200:
                site.record("configuration", document["version"], "acknowledged")
                return
        await asyncio.sleep(0.2)
    raise CannotRun("the configuration was not acknowledged")


async def submit(site, tasks, task_ms, cpu, deadline_ms, entry=0, attempts=3, again_at=None):
    """Submits a best-effort job; its id and its last answer. Sends it again as the pages say, to one of
    the entries `again_at` or to any."""
    job = f"{random.getrandbits(64):016x}"
    step = {"count": tasks, "cpu": cpu, "mem_mb": 64, "estimated_ms": task_ms}
    body = {"spec": json.dumps({"ms": task_ms, "cpu": cpu}), "best_effort": True, "steps": [step]}
    headers = [("X-Dockpass-Deadline-Milliseconds", deadline_ms)]
    answer = None
    for attempt in range(attempts):
        if attempt:
            await asyncio.sleep(RESEND_S)
            entry = random.choice(again_at or range(len(site.addresses["entry"])))
        site.record("submit", job, "entry", entry)
        try:
            answer, _, text = await wire.call(
                site.addresses["entry"][entry], site.front, "POST", PREFIX + job, body, headers,
                timeout=deadline_ms / 1000, host=HOST)
        except asyncio.TimeoutError:
            answer, text = "no answer", b""
        except (OSError, asyncio.IncompleteReadError):
            answer, text = "broken", b""
        site.record("answer", job, answer, text.decode()[:80])
        if answer not in SENT_AGAIN:
            break
    return job, answer
