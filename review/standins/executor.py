"""One life of an executor as a process of its own: run as `executor.py SETTINGS` (JSON).

It registers at its agent, takes orders and, told to by the line `leave` on its standard input, leaves as
the pages say. After the line `late S SHARE` it leaves that share of some orders unanswered for S seconds
and carries each of these out late. It writes what it does to the record that the test reads.
"""

import asyncio
import json
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import wire  # noqa: E402  (the stand-ins' own module beside this file)

HEARTBEAT_S = 1.5
RETRY_S = 0.3
TICK_S = 0.001


class Executor:
    def __init__(self, settings):
        self.__dict__.update(settings)
        self.record_file = os.open(settings["record_path"], os.O_WRONLY | os.O_APPEND)
        self.started = time.monotonic() - 100
        self.state = "ready"
        self.leaving = False
        self.late_until = 0
        self.late_share = 0
        self.sequence = 0
        self.token = 0
        self.lease = 0
        self.runs = {}
        self.ended = []
        self.end_count = 0
        self.highest_run = {}
        self.changed = asyncio.Event()

    def record(self, *fields):
        line = " ".join(map(str, [f"{time.monotonic():.4f}", *fields])) + "\n"
        os.write(self.record_file, line.encode())

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    # Work: each run is a thread, and the record says when it last worked.

    def begin(self, task, run, spec):
        until = time.monotonic() + spec["ms"] / 1000
        entry = {"cpu": spec["cpu"], "until": until, "stopped": False}
        self.runs[task, run] = entry
        self.record("run", self.id, task, run)
        threading.Thread(target=self.work, args=(task, run, entry), daemon=True).start()

    def work(self, task, run, entry):
        while (task, run) in self.runs:
            if self.leaving:
                self.record("works", self.id, task, run)
            time.sleep(TICK_S)

    def finish(self, key, how):
        if self.runs.pop(key, None) is None:
            return
        self.record("end", self.id, *key, how)
        self.end_count += 1
        self.ended.append([self.end_count, *key, how, ""])
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch_runs(self):
        while True:
            await asyncio.sleep(0.002)
            lapsed = self.clock() > self.lease
            for key, entry in list(self.runs.items()):
                if entry["stopped"]:
                    self.finish(key, "stopped")
                elif lapsed:
                    self.finish(key, "lapsed")
                elif time.monotonic() >= entry["until"]:
                    self.finish(key, "done")

    # Orders.

    def renew(self, deadline_ms):
        if deadline_ms is not None:
            self.lease = max(self.lease, min(deadline_ms, self.clock() + self.max_hold_ms))

    async def order(self, path, body):
        if path == "/health":
            return 200, {}
        clock = {"clock_ms": self.clock()}
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, {**clock, "reason": "fence"}
        self.token = token
        if path == "/run-start":
            return self.start_run(body, clock)
        if path == "/run-stop":
            task, run = body["task"], body["run"]
            self.highest_run[task] = max(self.highest_run.get(task, 0), run)
            if (task, run) in self.runs:
                self.runs[task, run]["stopped"] = True
            return 200, clock
        if path == "/hold":
            return await self.hold(body)
        return 404, {}

    def start_run(self, body, clock):
        task, run = body["task"], body["run"]
        if (task, run) in self.runs:
            self.renew(body["deadline_ms"])
            return 200, clock
        if body["deadline_ms"] < self.clock():
            return 409, {**clock, "reason": "late"}
        self.renew(body["deadline_ms"])
        if run <= self.highest_run.get(task, 0) or any(other == task for other, _ in self.runs):
            return 409, {**clock, "reason": "old"}
        spec = json.loads(body["spec"])
        if sum(entry["cpu"] for entry in self.runs.values()) + spec["cpu"] > self.cpu:
            return 409, {**clock, "reason": "room"}
        self.begin(task, run, spec)
        return 200, clock

    async def hold(self, body):
        self.renew(body.get("deadline_ms"))
        self.ended = [end for end in self.ended if end[0] > body.get("last_seen", 0)]
        if not self.ended and body.get("wait_ms"):
            try:
                await asyncio.wait_for(self.changed.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        for _, task, run, _, _ in self.ended:
            self.highest_run[task] = max(self.highest_run.get(task, 0), run)
        running = [[task, run, "", 100] for task, run in self.runs]
        return 200, {"clock_ms": self.clock(), "running": running, "ended": self.ended[:500]}

    async def serve(self, reader, writer):
        try:
            while head := await wire.read_head(reader):
                line, headers = head
                body = json.loads(await wire.read_body(reader, headers) or b"{}")
                path = line.split()[1]
                if headers.get("x-dockpass-expected-instance", self.id) != self.id:
                    status, answer = 421, {}
                elif self.is_left_unanswered(path):
                    asyncio.create_task(self.carry_out_late(path, body))
                    # The call stays without an answer; its caller gives up.
                    await reader.read()
                    return
                else:
                    status, answer = await self.order(path, body)
                writer.write(wire.encode(f"HTTP/1.1 {status} -", json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def is_left_unanswered(self, path):
        if time.monotonic() >= self.late_until:
            return False
        unanswered = path in self.late_orders and random.random() < self.late_share
        self.record("order", self.id, path, "unanswered" if unanswered else "answered")
        return unanswered

    async def carry_out_late(self, path, body):
        await asyncio.sleep(self.late_by_ms / 1000)
        self.record("carried-out-late", self.id, path, body.get("task"), body.get("run"))
        await self.order(path, {**body, "wait_ms": 0})

    # Registration and leaving.

    def report(self):
        self.sequence += 1
        report = {
            "service": self.service, "address": f"{self.address}:{self.app}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0}, "labels": ["a", "r1"],
            "clock_ms": self.clock(), "sequence": self.sequence,
        }
        if self.state == "draining":
            report["remaining_ms"] = self.serves_on_ms
        return report

    async def heartbeat(self):
        """Whether the agent has acknowledged a heartbeat."""
        path = f"/instances/{self.id}/heartbeat"
        try:
            status, _, _ = await wire.call(self.address, self.control, "POST", path, self.report(),
                                           timeout=1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        return 200 <= status < 300

    async def heartbeats(self):
        while True:
            acknowledged = await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S if acknowledged else RETRY_S)

    async def leave(self):
        self.state = "draining"
        while not await self.heartbeat():
            await asyncio.sleep(RETRY_S)
        self.record("draining", self.id, "acknowledged")
        await asyncio.sleep(self.serves_on_ms / 1000)
        self.leaving = True
        self.beats.cancel()
        self.record("deregisters", self.id, "while", len(self.runs), "run")
        path = f"/instances/{self.id}/deregister"
        status, _, _ = await wire.call(self.address, self.control, "POST", path, timeout=1.0)
        self.record("deregistered", self.id, status)
        await asyncio.sleep(self.end_ms / 1000)
        self.record("ends", self.id)
        os._exit(0)

    async def run(self):
        server = await asyncio.start_server(self.serve, self.address, self.app)
        loop = asyncio.get_running_loop()
        commands = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
        self.record("executor", self.id, "up")
        self.beats = asyncio.create_task(self.heartbeats())
        self.watch = asyncio.create_task(self.watch_runs())
        while command := (await commands.readline()).decode().strip():
            if command == "leave":
                await self.leave()
            elif command.startswith("late "):
                _, seconds, share = command.split()
                self.late_until = time.monotonic() + float(seconds)
                self.late_share = float(share)
                self.record("late", self.id, share)
        server.close()


asyncio.run(Executor(json.loads(sys.argv[1])).run())
