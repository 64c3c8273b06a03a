"""Run a relay site for some seconds under load, with a fault.

python3 -m scripts.relaybed [--fault NAME] [--seconds N] [--binary FILE]

Two data centres, two balancers, four agents with an endpoint each, two
services. Prints a table and, as its last line, one JSON object. Exits 1 when
a request failed, an answer was another's, or a packet was changed on its way.
"""

import argparse
import asyncio
import ipaddress
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from scripts.relaybed import store as store_module
from scripts.relaybed.caller import Caller
from scripts.relaybed.endpoint import Endpoint

# Loopback addresses of this play alone: ports that the kernel calls free may
# be taken at another play's addresses.
NET = f"127.{16 + os.getpid() % 200}"
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SERVICES = {"lots": ("198.18.0.1", 8443), "albums": ("198.18.0.2", 8443)}
BALANCERS = 2
AGENTS = ("lots", "lots", "lots", "albums")
CALLERS = 3
PER_CALLER_S = 40
FAULTS = ("none", "agent-kill", "balancer-kill", "balancer-stop",
          "endpoint-crash", "endpoint-drain", "store-away", "store-loses",
          "all-kill")


def number(ip_text):
    """An address as a number."""
    return int(ipaddress.ip_address(ip_text))


def free_ports(count):
    """Ports that the kernel gives, used on all addresses of this site."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_STREAM)
             for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Site:
    """Processes, stand-ins, and what callers saw."""

    def __init__(self, binary, folder):
        self.binary = binary
        self.folder = pathlib.Path(folder)
        (self.packets, self.frames, self.ready, self.share, self.outbound,
         self.heartbeats, self.app) = free_ports(7)
        self.store, self.store_port = store_module.serve(("127.0.0.1", 0))
        self.record = {"answered": 0, "failed": 0, "retried": 0,
                       "crossed": 0, "garbled": 0, "shown": False,
                       "explained": False, "ran": {}}
        self.processes = {}
        self.live = {}
        self.endpoints = []

    def config(self, version):
        """Publish the operators' configuration."""
        routes = [{"name": name, "host": ip, "pathPrefix": f"/{port}/",
                   "service": name, "timeoutMs": 3000,
                   "targetLatencyMs": 200, "priority": 1}
                  for name, (ip, port) in SERVICES.items()]
        self.store.put("config", "main", {
            "version": version, "routes": routes,
            "limits": {"idleTimeoutMs": 15000}})

    def settings(self, role, name, ip):
        """Settings of a process."""
        base = {"name": name, "data_centre": "here",
                "data": f"{ip}:{self.packets}", "ready": f"{ip}:{self.ready}",
                "store": f"127.0.0.1:{self.store_port}"}
        if role == "relay-balancer":
            base |= {"frames": f"{ip}:{self.frames}",
                     "share": f"{ip}:{self.share}",
                     "peers": [f"{NET}.1.{i + 1}:{self.share}"
                               for i in range(BALANCERS)]}
        else:
            base |= {"upstream": f"{ip}:{self.app}",
                     "outbound": f"{ip}:{self.outbound}",
                     "heartbeats": f"{ip}:{self.heartbeats}",
                     "service": AGENTS[int(name.split("-")[1]) - 1],
                     "frames_port": self.frames,
                     "peers": [f"{NET}.1.{i + 1}:1" for i in range(BALANCERS)]}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(base))
        return path

    def start(self, role, name, ip):
        """Start a process; again under the same name after its end."""
        path = self.settings(role, name, ip)
        log = (self.folder / f"{name}.log").open("a")
        self.processes[name] = subprocess.Popen(
            [self.binary, role, "--settings", str(path)], stdout=log,
            stderr=log)
        if role == "relay-balancer":
            self.live[name] = (ip, self.packets)

    async def begin(self):
        """Start all; return once every balancer is ready."""
        self.config(1)
        for i in range(BALANCERS):
            self.start("relay-balancer", f"balancer-{i + 1}",
                       f"{NET}.1.{i + 1}")
        for i, service in enumerate(AGENTS):
            ip = f"{NET}.2.{i + 1}"
            self.start("relay-agent", f"agent-{i + 1}", ip)
            endpoint = Endpoint(service, (ip, self.app), (ip, self.outbound),
                                (ip, self.heartbeats), self.record)
            await endpoint.start()
            self.endpoints.append(endpoint)
        for i in range(BALANCERS):
            await self.until_ready(f"{NET}.1.{i + 1}")

    async def until_ready(self, ip):
        """Wait until /ready answers 200, for 30 s at most."""
        for _ in range(600):
            try:
                reader, writer = await asyncio.open_connection(ip, self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n"
                             b"Connection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{ip} was never ready")

    async def kill(self, name, how=signal.SIGKILL):
        """End a process and wait for its end."""
        self.live.pop(name, None)
        process = self.processes[name]
        process.send_signal(how)
        while process.poll() is None:
            await asyncio.sleep(0.01)

    def addresses(self):
        """Ready addresses of all processes, balancers first."""
        return [f"{NET}.1.{i + 1}:{self.ready}" for i in range(BALANCERS)] + \
            [f"{NET}.2.{i + 1}:{self.ready}" for i in range(len(AGENTS))]

    def explain(self, caller, service):
        """What all processes know of a flow; whether that is where it is."""
        done = subprocess.run(
            [self.binary, "relay-explain", caller, service,
             *self.addresses()], check=False, capture_output=True, text=True)
        print(done.stdout + done.stderr, end="")
        return done.returncode == 0 and \
            done.stdout.count("balancer: route ") == BALANCERS and \
            "known for" in done.stdout and "agent: here" in done.stdout

    def show(self):
        """What all processes say is in force; whether all answered so."""
        done = subprocess.run([self.binary, "relay-show", *self.addresses()],
                              check=False, capture_output=True, text=True)
        print(done.stdout + done.stderr, end="")
        versions = done.stdout.count("version 1, 2 routes")
        return done.returncode == 0 and versions == BALANCERS

    def end_endpoints(self):
        """End all endpoints, before the event loop ends."""
        for endpoint in self.endpoints:
            endpoint.crash()

    def end(self):
        """End what is left."""
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        for process in self.processes.values():
            process.wait(timeout=30)


async def inject(site, fault):
    """What goes wrong, and its end."""
    if fault == "agent-kill":
        await site.kill("agent-1")
        await asyncio.sleep(0.3)
        site.start("relay-agent", "agent-1", f"{NET}.2.1")
    elif fault in ("balancer-kill", "balancer-stop"):
        site.live.pop("balancer-1")
        how = signal.SIGKILL if fault == "balancer-kill" else signal.SIGTERM
        await site.kill("balancer-1", how)
        site.start("relay-balancer", "balancer-1", f"{NET}.1.1")
    elif fault == "endpoint-crash":
        site.endpoints[0].crash()
        await asyncio.sleep(0.5)
        await site.endpoints[0].start()
    elif fault == "endpoint-drain":
        site.endpoints[0].state = "draining"
        await asyncio.sleep(1)
        await site.endpoints[0].leave()
    elif fault == "store-away":
        site.store.away = True
        await asyncio.sleep(0.5)
        await site.kill("agent-2")
        site.start("relay-agent", "agent-2", f"{NET}.2.2")
        await site.kill("balancer-2")
        site.start("relay-balancer", "balancer-2", f"{NET}.1.2")
        await asyncio.sleep(1)
        site.store.away = False
    elif fault == "store-loses":
        names = list(site.store.objects["swiftarch-agents"])
        for name in names:
            site.store.remove("swiftarch-agents", name)
        await asyncio.sleep(0.5)
        left = set(names) - set(site.store.objects["swiftarch-agents"])
        site.record["failed"] += len(left)
    elif fault == "all-kill":
        for name in list(site.processes):
            await site.kill(name)
        for i in range(BALANCERS):
            site.start("relay-balancer", f"balancer-{i + 1}",
                       f"{NET}.1.{i + 1}")
        for i in range(len(AGENTS)):
            site.start("relay-agent", f"agent-{i + 1}", f"{NET}.2.{i + 1}")


def service_of(i):
    """Service of a caller's request number @i."""
    return "albums" if i % 4 == 3 else "lots"


def request_of(caller, i):
    """A caller's request number @i."""
    return f"{caller.ip}-{i}".encode()


def last_service(seconds):
    """Service of a caller's last request."""
    return service_of(int(seconds * PER_CALLER_S) - 1)


async def load(site, caller, seconds):
    """Requests of one caller, evenly."""
    tasks = []
    count = int(seconds * PER_CALLER_S)
    for i in range(count):
        service = service_of(i)
        ip, port = SERVICES[service]
        request = request_of(caller, i)
        tasks.append(asyncio.create_task(
            caller.ask((number(ip), port), service, request)))
        await asyncio.sleep(1 / PER_CALLER_S)
    await asyncio.gather(*tasks)


async def run(site, fault, seconds):
    """The whole play."""
    await site.begin()
    callers = []
    for i in range(CALLERS):
        ip = f"{NET}.3.{i + 1}"
        caller = Caller(ip, number(ip), site.packets, site.live.values(),
                        site.record)
        await caller.start()
        callers.append(caller)
    loads = [asyncio.create_task(load(site, c, seconds)) for c in callers]
    await asyncio.sleep(seconds / 3)
    await inject(site, fault)
    await asyncio.gather(*loads)
    site.record["shown"] = await asyncio.to_thread(site.show)
    last = request_of(callers[0], int(seconds * PER_CALLER_S) - 1)
    flow = f"{callers[0].local[0]}:{callers[0].ports_of.get(last)}"
    service = ":".join(map(str, SERVICES[last_service(seconds)]))
    site.record["explained"] = await asyncio.to_thread(site.explain, flow,
                                                       service)
    site.end_endpoints()


def main():
    """Play what the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fault", choices=FAULTS, default="none")
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--binary", default=str(ROOT / "build/src/cli/swiftarch"))
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="relaybed-") as folder:
        site = Site(args.binary, folder)
        began = time.monotonic()
        try:
            asyncio.run(run(site, args.fault, args.seconds))
        finally:
            site.end()
        record = site.record
        ran = record.pop("ran")
        record |= {"fault": args.fault, "doubled":
                   sum(times > 1 for times in ran.values()),
                   "store_calls": site.store.calls,
                   "seconds": round(time.monotonic() - began, 1)}
    for key, value in record.items():
        print(f"{key:12} {value}")
    print(json.dumps(record))
    bad = record["failed"] + record["crossed"] + record["garbled"] + \
        record["doubled"]
    told = record["shown"] and record["explained"]
    return 1 if bad or not record["answered"] or not told else 0


if __name__ == "__main__":
    sys.exit(main())
