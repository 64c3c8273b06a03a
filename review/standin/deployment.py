"""Starts the programs of the deploy file on loopback addresses."""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

from review.standin import http
from review.standin.caller import Caller, Router
from review.standin.endpoint import Endpoint
from review.standin.packet import number
from review.standin.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Address of all routes. It stands in packets and in the configuration only;
# no packet is sent to it.
SERVICE_IP = "127.250.0.1"
SERVICE = number(SERVICE_IP)
# Settings of the small site kilima-stamps.
HEARTBEAT_MS = 1200
PARAMS = {"stableMs": 4000, "ackMs": 5000, "drainMs": 3000, "graceS": 6,
          "configApplyMs": 3000, "downgradeMs": 250, "stretchMaxMs": 12000,
          "recoverS": 12, "reorderMs": 2000, "maxFlowS": 60}


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.counts = {}
        self.requests, self.syns, self.runs = [], [], {}

    def at(self, moment=None):
        """Seconds since the start."""
        return round((moment or time.monotonic()) - self.began, 3)

    def write(self, event, **fields):
        """Write a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.at():8.3f} {event} {text}\n")
        self.file.flush()

    def count(self, what, name):
        """Count an event of an endpoint."""
        self.counts[what, name] = self.counts.get((what, name), 0) + 1

    def took(self, endpoint, key, flow):
        """An endpoint took the opening packet of a flow."""
        self.syns.append((endpoint.name, endpoint.id, flow.took_at,
                          endpoint.draining_ack_at))
        self.write("took", endpoint=endpoint.name, caller=key[0][1],
                   state=endpoint.state)

    def ran(self, endpoint, attempt, dst):
        """An endpoint began to run a request."""
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.write("ran", endpoint=endpoint.name, attempt=attempt,
                   service=endpoint.service, port=dst[1])

    def request(self, kind, attempt, src, dst, sent_at, outcome, node):
        """A request ended."""
        self.requests.append((kind, attempt, sent_at, outcome, node))
        self.write("request", kind=kind, attempt=attempt, caller=src[1],
                   port=dst[1], sent=self.at(sent_at), outcome=outcome,
                   node=node or "router")


def render(text, fields):
    """Fill in a settings template."""
    def lookup(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for word in name.split("."):
                if isinstance(value, list) and word.isdigit():
                    value = value[int(word)] if int(word) < len(value) else None
                elif isinstance(value, dict):
                    value = value.get(word)
                else:
                    value = None
            if value is not None:
                return value
        return None

    def show(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(show, value))
        return value if isinstance(value, str) else json.dumps(value)

    def fill(text, scopes):
        section = re.search(
            r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", text, re.S)
        if section:
            value = lookup(section[2], scopes)
            items = [value] if not isinstance(value, list) else value
            if section[1] == "^":
                inner = "" if value else fill(section[3], scopes)
            else:
                inner = "".join(fill(section[3], scopes + [item])
                                for item in items) if value else ""
            return fill(text[:section.start()], scopes) + inner + \
                fill(text[section.end():], scopes)

        def value_of(match):
            name, _, form = match[1].partition("|")
            value = lookup(name, scopes)
            return json.dumps(value) if form == "json" else show(value)
        return re.sub(r"\{\{([^}]+)\}\}", value_of, text)
    return fill(text, [fields])


def is_free(ip, port):
    """Whether a port of an address is free for TCP and UDP."""
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind((ip, port))
    except OSError:
        return False
    return True


def free_ports(addresses, count):
    """Ports that are free on all of the addresses."""
    ports = []
    while len(ports) < count:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.bind((addresses[0], 0))
            port = sock.getsockname()[1]
        if port not in ports and all(is_free(ip, port) for ip in addresses):
            ports.append(port)
    return ports


class Deployment:
    """A small deployment: front nodes, nodes beside endpoints, the store."""

    def __init__(self, record, fronts=2, sides=("lots",) * 3 + ("albums",),
                 stale_s=0.0):
        self.record = record
        self.net = f"127.{20 + os.getpid() % 200}"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.fronts = [f"{self.net}.1.{i + 1}" for i in range(fronts)]
        self.sides = [f"{self.net}.2.{i + 1}" for i in range(len(sides))]
        self.services = dict(zip(self.sides, sides))
        (self.data, self.ready, self.control, self.outbound, self.app,
         self.store_port, *internal) = free_ports(
             self.fronts + self.sides +
             [self.store_ip(ip) for ip in self.fronts + self.sides], 8)
        self.internal = [min(internal), max(internal)]
        self.store = Store(stale_s)
        self.processes = {}
        self.endpoints = {}
        self.router = Router(self.fronts, self.ready, self.data)
        self.callers = []
        self.version = 0

    def fields(self, ip, machine_class):
        """Settings of a machine, as DEPLOY.md shows them."""
        name = f"{machine_class}-{ip.split('.')[-1]}"
        listen = {"datagramAddr": f"{ip}:{self.data}",
                  "readyAddr": f"{ip}:{self.ready}",
                  "control": f"{ip}:{self.control}"}
        fields = {
            "node": name, "machineClass": machine_class, "ip": ip,
            "zone": "kariakoo", "region": "dar", "zones": {"kariakoo": "dar"},
            "listen": listen, "internalPorts": self.internal,
            "seeds": [f"{front}:{self.control}" for front in self.fronts[:3]],
            "bootstrap": True, "heartbeatMs": HEARTBEAT_MS,
            "contractParams": PARAMS, "hashScheme": "mod",
            "deployMode": "agent",
            "platform": {"address": f"{self.store_ip(ip)}:{self.store_port}"}}
        if machine_class == "side":
            listen["outbound"] = f"{ip}:{self.outbound}"
            fields["service"] = self.services[ip]
            fields["app"] = f"{ip}:{self.app}"
        return fields

    def store_ip(self, ip):
        """Address at which a machine calls the store."""
        return ip.replace(f"{self.net}.", f"{self.net}.1", 1)

    def start_process(self, ip):
        """Start the program of a machine's role."""
        machine_class = "front" if ip in self.fronts else "side"
        role = next(role for role in self.deploy["roles"].values()
                    if role["on"] == machine_class)
        fields = self.fields(ip, machine_class)
        path = self.folder / f"{fields['node']}.json"
        path.write_text(render((ROOT / role["template"]).read_text(), fields))
        with (self.folder / f"{fields['node']}.log").open("a") as log:
            self.processes[ip] = subprocess.Popen(
                role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "SWIFTARCH_CONFIG": str(path)})
        self.record.write("process_started", machine=fields["node"])

    def held_by(self, src, dst):
        """The living endpoint that has a flow open, or None."""
        for endpoint in self.endpoints.values():
            flow = endpoint.flows.get((src, dst))
            if flow is not None and flow.open:
                return endpoint
        return None

    async def stop_process(self, ip, how=signal.SIGTERM):
        """Stop a program and wait until it has ended."""
        process = self.processes[ip]
        self.record.write("process_signalled", machine=ip, how=how.name)
        process.send_signal(how)
        while process.poll() is None:
            await asyncio.sleep(0.01)
        self.record.write("process_ended", machine=ip, code=process.poll())

    async def configure(self, routes, step=1, timeout_ms=2000):
        """The operator writes a configuration; returns when it is confirmed.
        routes: list of (port, service, kind)."""
        self.version += step
        spec = {"version": self.version,
                "routes": [{"name": f"r{port}", "host": SERVICE_IP,
                            "pathPrefix": f"/{port}/", "service": service,
                            "routeKind": kind, "timeoutMs": timeout_ms,
                            "targetLatencyMs": 120, "priority": 1,
                            "maxAttempts": 1}
                           for port, service, kind in routes],
                "services": [{"name": name, "healthPath": "/health"}
                             for name in sorted(set(self.services.values()))],
                "limits": {"idleTimeoutMs": 15000}}
        await self.store.put("config", "main", spec)
        self.record.write("config_confirmed", version=self.version,
                          ports=",".join(str(route[0]) for route in routes))
        return time.monotonic()

    async def start(self, routes, callers=4, later=(), **endpoint_options):
        """Start everything but the machines in later; returns when all front
        nodes are ready."""
        await self.configure(routes)
        for ip in self.fronts + self.sides:
            await self.store.serve(ip, (self.store_ip(ip), self.store_port))
        for ip in self.fronts + self.sides:
            if ip not in later:
                self.start_process(ip)
        await asyncio.sleep(0.3)
        for i, ip in enumerate(self.sides):
            self.endpoints[ip] = Endpoint(
                f"e{i + 1}", self.services[ip], "kariakoo", (ip, self.app),
                (ip, self.outbound), (ip, self.control), self.record,
                HEARTBEAT_MS / 1000, **endpoint_options)
            if ip not in later:
                await self.endpoints[ip].start()
        self.router.start()
        for i in range(callers):
            self.callers.append(Caller(f"{self.net}.3.{i + 1}", self.router,
                                       self.record))
            await self.callers[-1].start()
        for _ in range(200):
            if all(not self.router.misses[ip] for ip in self.fronts):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the front nodes aren't ready after 20 s")

    def close(self):
        """End all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(timeout=10)

    def logs(self, pattern):
        """Lines of the programs' logs that match."""
        lines = []
        for path in sorted(self.folder.glob("*.log")):
            lines += [line for line in path.read_text().splitlines()
                      if re.search(pattern, line)]
        return sorted(lines)

    def clean(self):
        """Remove the temporary folder."""
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play, log_pattern, found):
    """Play a case: play(deployment, record) returns what broke the rule.
    Returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case
    couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder / "record.txt")
    deployment = Deployment(record, sides=("lots",) * 7 + ("albums",))
    try:
        broken = asyncio.run(play(deployment, record))
    except Exception:  # pylint: disable=broad-except
        record.write("not_run", reason=traceback.format_exc().replace(
            "\n", " | "))
        return 2
    finally:
        deployment.close()
        for line in deployment.logs(log_pattern):
            record.write("node_log", line=line)
        deployment.clean()
    print(f"{len(broken)} {found}")
    return 1 if broken else 0
