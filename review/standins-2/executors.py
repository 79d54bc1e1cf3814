"""Stand-in executors: each one is a life of a machine that starts, stops and leases tasks.

They follow the section "Running tasks" of PROTOCOL.md. A task's spec is "cpu=MILLI ms=MILLIS".
"""

import asyncio
import json
import random
import time

STOP_S = 0.02
BEAT_S = 1.5


def unix_ms():
    return int(time.time() * 1000)


class Run:
    """A task at work."""

    def __init__(self, task, run, cpu, ends_at):
        self.task, self.run, self.cpu, self.ends_at = task, run, cpu, ends_at
        self.stops_at = None


class Executor:
    """One executor with its HTTP server and its heartbeats."""

    def __init__(self, name, ip, app_port, control, service, zone, record, labels=("a", "r1"),
                 cpu=16000):
        self.name, self.ip, self.app_port, self.control = name, ip, app_port, control
        self.service, self.zone, self.record = service, zone, record
        self.labels, self.cpu = list(labels), cpu
        self.life = 0
        self.server = None
        self.beats = None
        self.draining = False
        # The share of the orders that get no answer and are carried out 2 to 12 s later.
        self.late_share = 0.0

    # Lives

    async def start(self, labels=None):
        self.life += 1
        if labels:
            self.labels = list(labels)
        self.id = f"{self.name}-{self.life}"
        self.born, self.born_at = unix_ms(), time.monotonic()
        self.fence, self.until_ms, self.sequence, self.number = 0, 0, 0, 0
        self.running, self.ended, self.last_run = {}, [], {}
        self.changed = asyncio.Event()
        self.connections = set()
        self.server = await asyncio.start_server(self.serve, self.ip, self.app_port)
        self.beats = asyncio.ensure_future(self.beat_forever())
        self.ticker = asyncio.ensure_future(self.tick_forever())
        self.record("executor", self.id, "up", labels=self.labels)

    async def crash(self):
        self.beats.cancel()
        self.ticker.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        for run in list(self.running.values()):
            self.record("end", self.id, run.task, run=run.run, how="crashed")
        self.running = {}
        self.record("executor", self.id, "down")

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000) + 1

    # Tasks

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.last_run[run.task] = max(self.last_run.get(run.task, 0), run.run)
        self.number += 1
        self.ended.append([self.number, run.task, run.run, how, ""])
        self.record("end", self.id, run.task, run=run.run, how=how)
        self.changed.set()

    def tick(self):
        now, clock = time.monotonic(), self.clock()
        for run in list(self.running.values()):
            if run.stops_at is not None and now >= run.stops_at:
                self.end(run, "stopped")
            elif now >= run.ends_at:
                self.end(run, "done")
            elif clock > self.until_ms:
                self.end(run, "lapsed")

    async def tick_forever(self):
        while True:
            self.tick()
            await asyncio.sleep(0.002)

    def extend(self, deadline_ms):
        if deadline_ms:
            self.until_ms = max(self.until_ms, min(deadline_ms, self.clock() + 1000))

    def run_start(self, call):
        self.tick()
        if call.get("fencing_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = max(self.fence, call.get("fencing_token", 0))
        task, run = call["task"], call["run"]
        known = self.running.get(task)
        if known is not None and known.run == run:
            return 200, {}
        if call["deadline_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(call["deadline_ms"])
        if run <= self.last_run.get(task, 0) or (known is not None and run <= known.run):
            return 409, {"reason": "old"}
        wanted = dict(word.split("=") for word in call["spec"].split())
        cpu = int(wanted["cpu"])
        if cpu + sum(other.cpu for other in self.running.values()) > self.cpu:
            return 409, {"reason": "room"}
        ends_at = time.monotonic() + float(wanted["ms"]) / 1e3
        self.running[task] = Run(task, run, cpu, ends_at)
        self.record("start", self.id, task, run=run, spec=call["spec"], labels=self.labels)
        return 200, {}

    def run_stop(self, call):
        self.tick()
        if call.get("fencing_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = max(self.fence, call.get("fencing_token", 0))
        task, run = call["task"], call["run"]
        known = self.running.get(task)
        if known is not None and known.run == run and known.stops_at is None:
            known.stops_at = time.monotonic() + STOP_S
        self.last_run[task] = max(self.last_run.get(task, 0), run)
        return 200, {}

    async def hold(self, call):
        self.tick()
        if call.get("fencing_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = max(self.fence, call.get("fencing_token", 0))
        self.extend(call.get("deadline_ms"))
        self.ended = [row for row in self.ended if row[0] > call.get("last_seen", 0)]
        if not self.ended and call.get("wait_ms"):
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), call["wait_ms"] / 1e3)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.run, "", 0] for run in self.running.values()]
        return 200, {"born": self.born, "running": running, "ended": self.ended[:500]}

    async def answer(self, path, call):
        if path == "/run-start":
            return self.run_start(call)
        if path == "/run-stop":
            return self.run_stop(call)
        if path == "/hold":
            return await self.hold(call)
        return (200, {}) if path == "/health" else (404, {})

    def carry_out(self, life, path, call):
        if life == self.life:
            (self.run_start if path == "/run-start" else self.run_stop)(call)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        life = self.life
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                path = lines[0].split(" ")[1]
                headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                expected = headers.get("x-dockpass-expected-instance")
                is_order = path in ("/run-start", "/run-stop")
                if is_order and random.random() < self.late_share:
                    delay = random.uniform(2, 12)
                    self.record("late", self.id, path, json.loads(body)["task"], by=round(delay, 2))
                    asyncio.get_running_loop().call_later(
                        delay, self.carry_out, life, path, json.loads(body))
                    # The caller gives up on this connection.
                    await reader.read()
                    return
                if expected is not None and expected != self.id.lower():
                    status, reply = 421, {}
                else:
                    status, reply = await self.answer(path, json.loads(body or b"{}"))
                if life != self.life:
                    return
                reply = json.dumps({"clock_ms": self.clock(), **reply}).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(reply)) + reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    # Heartbeats

    async def beat(self):
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": f"{self.ip}:{self.app_port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0}, "labels": self.labels,
            "clock_ms": self.clock(),
        }).encode()
        host, port = self.control
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(b"POST /instances/%s/heartbeat HTTP/1.1\r\nHost: agent\r\n"
                         b"Content-Type: application/json\r\nContent-Length: %d\r\n"
                         b"Connection: close\r\n\r\n" % (self.id.encode(), len(body)) + body)
            status = (await asyncio.wait_for(reader.readline(), 1.0)).split()[1]
            return int(status)
        finally:
            writer.close()

    async def beat_forever(self):
        while True:
            try:
                await self.beat()
                await asyncio.sleep(BEAT_S)
            except (OSError, asyncio.TimeoutError, IndexError):
                await asyncio.sleep(0.2)
