"""Starts dockpassd processes with the commands of the deploy file, on loopback addresses.

A machine is a loopback address of its own. Ports are alike on all machines, as the platform has it.
"""

import asyncio
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from executors import Executor

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SETTINGS_NAME = "/etc/dockpass/settings.json"
# A case runs for 120 s at most.
LONGEST_CASE_S = 110
# Descriptors of a machine of each class.
DESCRIPTORS = {"front": 4100, "side": 4096, "core": 4096}


class CannotRun(Exception):
    """The case can't run on this machine."""


def free_ports(ips, count):
    """Ports that are free on all of these addresses."""
    found = []
    for _ in range(2000):
        port = random.randrange(20000, 32000)
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


def need_descriptors(count):
    """Checks that the case may open so many connections."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if hard != resource.RLIM_INFINITY and hard < count:
        raise CannotRun(f"{hard} descriptors, {count} are needed")


def fill(template, fields):
    """Fills a template of the deploy file: gaps, sections and their negation."""

    def value(name, here):
        if name == ".":
            return here
        node = fields
        for part in name.split("."):
            if isinstance(node, list) and part.isdigit():
                node = node[int(part)] if int(part) < len(node) else None
            else:
                node = node.get(part) if isinstance(node, dict) else None
        return node

    def expand(text, here):
        pattern = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.S)

        def section(match):
            found = value(match.group(1), here)
            if isinstance(found, list):
                return "".join(expand(match.group(2), entry) for entry in found)
            return expand(match.group(2), found) if found not in (None, False, "") else ""

        def gap(match):
            found = value(match.group(1), here)
            if found is None:
                return ""
            return str(found).lower() if isinstance(found, bool) else str(found)

        return re.sub(r"\{\{([^#/^}][^}]*)\}\}", gap, pattern.sub(section, text))

    return expand(template, None)


class Lab:
    """A small deployment: keepers, entries and agents as processes of their own."""

    def __init__(self, fronts=2, sides=3, cores=3, memory=(260, 128, 256)):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        net = random.randrange(10, 250)
        address = lambda kind, number: f"127.{net}.{kind}.{number + 1}"
        self.ips = {
            "front": [address(1, number) for number in range(fronts)],
            "side": [address(2, number) for number in range(sides)],
            "core": [address(3, number) for number in range(cores)],
        }
        self.memory = dict(zip(("front", "side", "core"), memory))
        every = [ip for ips in self.ips.values() for ip in ips]
        ports = free_ports(every, 20)
        self.ports = dict(zip(("front", "ready", "control", "app"), ports))
        self.internal = ports[4:]
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.roles = {role["on"]: role for role in self.deploy["roles"].values()}
        self.started_at = time.monotonic()
        self.rows = []
        self.service = "booking-1"
        self.first_start = True

    # Records

    def record(self, *words, **fields):
        """Adds a row to the record; the time is in seconds since the start."""
        self.rows.append((time.monotonic() - self.started_at, words, fields))

    def write_record(self, path, verdict):
        with open(path, "w") as file:
            for at, words, fields in sorted(self.rows, key=lambda row: row[0]):
                texts = [str(word) for word in words]
                texts += [f"{key}={value}" for key, value in fields.items()]
                file.write(f"{at:9.4f} {' '.join(texts)}\n")
            file.write(f"verdict: {verdict}\n")

    # Processes

    def settings(self, kind, number, **more):
        ip = self.ips[kind][number]
        listen = {
            "front": {"front": f"{ip}:{self.ports['front']}", "ready": f"{ip}:{self.ports['ready']}"},
            "side": {"control": f"{ip}:{self.ports['control']}"},
            "core": {"control": f"{ip}:{self.ports['control']}"},
        }[kind]
        data = None
        if kind == "core":
            data = os.path.join(self.folder, f"core-{number}-data")
            os.makedirs(data, exist_ok=True)
        return {
            "node": f"{kind}-{number}", "zone": f"hall-{number % 3}", "ip": ip, "listen": listen,
            "internal_port_range": self.internal,
            "seeds": [f"{core}:{self.ports['control']}" for core in self.ips["core"][:3]],
            "bootstrap": self.first_start, "data_directory": data,
            "limits": {"memory_mb": self.memory[kind]},
            "fault_tolerance": {"machines": 1},
            "bounds": {"grace_s": 6, "max_hold_ms": 1000, "remote_penalty": 1.5},
            "app": f"{ip}:{self.ports['app']}", "service": self.service, **more,
        }

    def start(self, kind, number, extra="", **more):
        """Starts the process of a machine; `extra` is appended to its settings."""
        role = self.roles[kind]
        with open(os.path.join(ROOT, role["template"])) as file:
            text = fill(file.read(), self.settings(kind, number, **more)) + extra
        path = os.path.join(self.folder, f"{kind}-{number}.ini")
        with open(path, "w") as file:
            file.write(text)
        command = [path if word == SETTINGS_NAME else word for word in role["run"].split()]
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} is not built")
        descriptors = DESCRIPTORS[kind]

        def limit_descriptors():
            hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(descriptors, hard), hard))

        log = open(os.path.join(self.folder, f"{kind}-{number}.log"), "ab")
        self.processes[kind, number] = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            preexec_fn=limit_descriptors)
        log.close()
        self.record("process", f"{kind}-{number}", "started")

    def kill(self, kind, number, what=signal.SIGKILL):
        self.processes[kind, number].send_signal(what)
        self.record("process", f"{kind}-{number}", signal.Signals(what).name)
        if what == signal.SIGKILL:
            self.processes[kind, number].wait()

    def start_all(self):
        for kind, ips in self.ips.items():
            for number in range(len(ips)):
                self.start(kind, number)
        self.first_start = False

    def memory_mb(self, kind, number):
        """The resident memory of a process; `None` if it has ended."""
        process = self.processes[kind, number]
        if process.poll() is not None:
            return None
        with open(f"/proc/{process.pid}/status") as file:
            found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
        return int(found.group(1)) / 1024 if found else None

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Calls

    async def call(self, address, method, path, body=None, headers=(), timeout=2.0):
        """One HTTP call on a connection of its own; returns the status, the headers and the body.

        The status is 0 if the connection breaks, and `None` if there is no answer in time.
        """

        async def exchange():
            reader, writer = await asyncio.open_connection(*address)
            try:
                data = b"" if body is None else json.dumps(body).encode()
                lines = [f"{method} {path} HTTP/1.1", "Connection: close", *headers,
                         "Content-Type: application/json", f"Content-Length: {len(data)}"]
                if not any(line.lower().startswith("host:") for line in headers):
                    lines.append(f"Host: {address[0]}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
                text = await reader.read()
                head, _, rest = text.partition(b"\r\n\r\n")
                found = head.decode().split("\r\n")
                if len(found[0].split()) < 2:
                    return 0, {}, b""
                pairs = dict(line.lower().split(": ", 1) for line in found[1:])
                if len(rest) < int(pairs.get("content-length", 0)):
                    return 0, {}, b""
                return int(found[0].split()[1]), pairs, rest
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(exchange(), timeout)
        except asyncio.TimeoutError:
            return None, {}, b""
        except (OSError, ValueError):
            return 0, {}, b""

    async def operate(self, method, path, body=None, cores=None, timeout=1.0):
        """One order of the operator at a keeper; follows up to two redirects."""
        core = random.choice(cores if cores is not None else self.ips["core"])
        address = (core, self.ports["control"])
        for _ in range(3):
            status, headers, text = await self.call(address, method, path, body, timeout=timeout)
            if status != 307:
                return status, text
            match = re.match(r"http://([\d.]+):(\d+)/", headers.get("location", ""))
            address = (match.group(1), int(match.group(2)))
        return status, text

    def configuration(self, version, **more):
        routes = [
            {"name": f"r-{name}", "host": "nony24.example", "path_prefix": f"/{name}/",
             "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 60,
             "priority": priority, "service": self.service, "max_attempts": 2, "stretch": 1.6}
            for priority, name in enumerate(("hold", "query", "settle"))
        ]
        service = {"name": self.service, "health_path": "/health", "connection_limit": 64,
                   "protocol": "h1", "tls": False, "rejects_overload": True, "spare": False}
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                  "idle_timeout_ms": 15000}
        return {"version": version, "routes": routes, "services": [service], "limits": limits,
                **more}

    async def replace(self, body, seconds=15.0):
        """Sends a configuration until it is acknowledged."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, _ = await self.operate("POST", "/configuration/replace", body)
            if status == 200:
                self.record("configuration", body["version"], "acknowledged")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("no configuration was taken")

    async def wait_ready(self, seconds=20.0):
        """Waits until each entry calls itself ready."""
        until = time.monotonic() + seconds
        waiting = set(self.ips["front"])
        while waiting:
            for ip in list(waiting):
                status, _, _ = await self.call((ip, self.ports["ready"]), "GET", "/readiness")
                if status == 200:
                    waiting.discard(ip)
            if time.monotonic() > until:
                raise CannotRun("the entries are not ready")
            await asyncio.sleep(0.1)

    def job_id(self):
        return f"{random.getrandbits(64):016x}"

    async def submit(self, front, job, queue="hold", count=2, cpu=1600, ms=200, deadline_ms=1500,
                     **step):
        """Hands in a best-effort job; returns the status and the state in the answer."""
        body = {"spec": f"cpu={cpu} ms={ms}", "best_effort": True,
                "steps": [{"count": count, "cpu": cpu, "mem_mb": 64, "estimated_ms": ms, **step}]}
        headers = ["Host: nony24.example", f"X-Dockpass-Deadline-Milliseconds: {deadline_ms}"]
        address = (self.ips["front"][front], self.ports["front"])
        self.record("submit", job, front=front, queue=queue, count=count)
        status, answer, text = await self.call(
            address, "POST", f"/{queue}/{job}", body, headers, timeout=deadline_ms / 1e3)
        state = ""
        if status == 200:
            state = json.loads(text).get("state", "")
        self.record("answer", job, status=status, state=state)
        return status, state

    def job_text(self, job, queue="hold", count=2, cpu=1600, ms=200, estimated_ms=None,
                 deadline_ms=1500, **step):
        """A job's submission as it is sent on a connection that stays open."""
        body = json.dumps({
            "spec": f"cpu={cpu} ms={ms}", "best_effort": True,
            "steps": [{"count": count, "cpu": cpu, "mem_mb": 64,
                       "estimated_ms": estimated_ms or ms, **step}],
        }).encode()
        return (b"POST /%s/%s HTTP/1.1\r\nHost: nony24.example\r\n"
                b"X-Dockpass-Deadline-Milliseconds: %d\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n"
                % (queue.encode(), job.encode(), deadline_ms, len(body))) + body

    async def deploy_all(self, labels=()):
        """Starts everything, hands in the first configuration and waits until all are ready."""
        self.start_all()
        self.executors = []
        for number, ip in enumerate(self.ips["side"]):
            own = labels[number] if number < len(labels) else ("a", "r1")
            executor = Executor(f"x{number}", ip, self.ports["app"], (ip, self.ports["control"]),
                                self.service, f"hall-{number % 3}", self.record, own)
            await executor.start()
            self.executors.append(executor)
        await self.replace(self.configuration(3))
        await self.wait_ready()
        # A fleet is taken to be complete 2 s after its last change.
        await asyncio.sleep(3)


def run_case(folder, shape, case):
    """Plays a case and exits with 1 if its rule was broken, 0 if it held, 2 if it couldn't run.

    `case(lab, trouble)` returns the breaks, as texts.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    lab, code, verdict = None, 2, "could not run"

    async def play():
        nonlocal lab, code, verdict
        lab = Lab(**shape)
        breaks = await asyncio.wait_for(case(lab, trouble), LONGEST_CASE_S)
        for text in breaks:
            lab.record("broken", text)
        code = 1 if breaks else 0
        verdict = "broken" if breaks else "held"

    loop = asyncio.new_event_loop()
    try:
        loop.run_until_complete(play())
    except Exception as error:
        verdict = f"could not run: {type(error).__name__}: {error}"
    finally:
        if lab is not None:
            lab.stop_all()
            lab.write_record(os.path.join(folder, "record.txt"), verdict)
    print(f"{'with' if trouble else 'without'} the disruption: {verdict}")
    sys.stdout.flush()
    # The stand-ins' tasks are still pending; nothing is left to be cleaned up.
    os._exit(code)
