"""Starts the project's programs as the deploy file does, on loopback addresses, with the settings of a
small deployment. Plays the platform: fills the templates, starts and ends processes."""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "dockpassd")
SERVICE = "svc"
HOST = "h.example"
PREFIX = "/q/"

# The bounds of the site file sites/kyuticket-dock.toml, as its sheet gives them.
BOUNDS = {
    "seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "downgrade_slack_ms": 250, "outer_bound_ms": 5000,
    "recovery_s": 12, "max_hold_ms": 1000, "stop_ms": 50, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "remote_penalty": 1.5, "resend_ms": 1300,
}


class CannotRun(Exception):
    """The case could not be set up; nothing is known about the rule."""


def _lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            try:
                value = value[int(part)] if isinstance(value, list) else value[part]
            except (KeyError, IndexError, TypeError, ValueError):
                value = None
                break
        if value is not None:
            return value
    return None


def fill_template(text, scopes):
    """Fills a settings template: the part of the platform's notation that `platform/` uses."""
    out = ""
    while True:
        found = re.search(r"\{\{([#^]?)([^}/]+)\}\}", text)
        if not found:
            return out + text
        kind, name = found.groups()
        out += text[: found.start()]
        text = text[found.end():]
        value = _lookup(scopes, name)
        given = value is not None and value is not False
        if not kind:
            out += ",".join(map(str, value)) if isinstance(value, list) else json.dumps(value) \
                if isinstance(value, (dict, bool)) else "" if value is None else str(value)
            continue
        end = "{{/" + name + "}}"
        body, text = text.split(end, 1)
        if kind == "^":
            out += "" if given else fill_template(body, scopes)
        elif given:
            entries = value if isinstance(value, list) else [value]
            out += "".join(fill_template(body, scopes + [entry]) for entry in entries)


def _free_ports(addresses, count):
    """The first of `count` consecutive ports that are free on all addresses."""
    for _ in range(200):
        first = random.randrange(20_000, 31_000)
        sockets = []
        try:
            for address in addresses:
                for port in range(first, first + count):
                    sockets.append(socket.socket())
                    sockets[-1].bind((address, port))
            return first
        except OSError:
            continue
        finally:
            for bound in sockets:
                bound.close()
    raise CannotRun("no free ports")


class Deployment:
    """The processes of a small deployment."""

    def __init__(self, record, keepers=3, entries=2, agents=4, zones=("a", "b", "c")):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing: build the programs first")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="dockpass-review-")
        network = f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}"
        self.addresses = {
            "keeper": [f"{network}.{10 + number}" for number in range(keepers)],
            "entry": [f"{network}.{50 + number}" for number in range(entries)],
            "agent": [f"{network}.{100 + number}" for number in range(agents)],
        }
        first = _free_ports(sum(self.addresses.values(), []), 20)
        self.front, self.ready, self.control, self.app = range(first, first + 4)
        self.internal = [first + 4, first + 19]
        self.zones = zones
        self.bootstrap = True
        self.processes = {}

    def zone(self, number):
        return self.zones[number % len(self.zones)]

    def _fields(self, role, number, folder):
        address = self.addresses[role][number]
        return {
            "node": f"{role}-{number}", "ip": address, "zone": self.zone(number),
            "listen": {"front": f"{address}:{self.front}", "ready": f"{address}:{self.ready}",
                       "control": f"{address}:{self.control}"},
            "internal_port_range": self.internal,
            "seeds": [f"{keeper}:{self.control}" for keeper in self.addresses["keeper"][:3]],
            "bootstrap": self.bootstrap, "data_directory": os.path.join(folder, "data"),
            "app": f"{address}:{self.app}", "service": SERVICE, "bounds": BOUNDS,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
        }

    def start(self, role, number):
        """Starts a process with the settings of this moment."""
        folder = os.path.join(self.folder, f"{role}-{number}")
        os.makedirs(os.path.join(folder, "data"), exist_ok=True)
        with open(os.path.join(ROOT, "platform", f"{role}.ini")) as template:
            settings = fill_template(template.read(), [self._fields(role, number, folder)])
        path = os.path.join(folder, "settings.ini")
        with open(path, "w") as file:
            file.write(settings)
        with open(os.path.join(folder, "log"), "a") as log:
            process = subprocess.Popen([PROGRAM, "--config", path], stdout=log, stderr=log, cwd=ROOT)
        self.processes[role, number] = process
        self.record("start", role, number)

    def start_all(self):
        for role, addresses in self.addresses.items():
            for number in range(len(addresses)):
                self.start(role, number)
        self.bootstrap = False

    def signal(self, role, number, name):
        process = self.processes[role, number]
        if process.poll() is None:
            self.record("signal", role, number, name)
            process.send_signal(getattr(signal, name))

    def ended(self):
        """The processes that have ended by themselves or by a signal, with their exit codes."""
        return [(node, process.poll()) for node, process in self.processes.items()
                if process.poll() is not None]

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
