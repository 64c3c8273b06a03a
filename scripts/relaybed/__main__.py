"""Run relay mode for some seconds under load, with one fault.

python3 -m scripts.relaybed [--fault NAME] [--seconds N] [--binary FILE]

Two data centres, two balancers, four agents with an endpoint each, two
services. Prints a table and, as its last line, one JSON object. Exits 1 when
a request failed or ran twice, an answer belonged to another request, a packet
was corrupted, or relay-show or relay-explain was incomplete.
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
from scripts.relaybed.endpoint import DATA_CENTRE, HEARTBEAT_S, Endpoint
from scripts.relaybed.loop_watch import LoopWatch

# Loopback addresses of this run: ports that are free at 127.0.0.1 may be taken
# at the addresses of other runs.
NET = f"127.{16 + os.getpid() % 200}"
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SERVICES = {"lots": ("198.18.0.1", 8443), "albums": ("198.18.0.2", 8443)}
BALANCERS = 2
AGENTS = ("lots", "lots", "lots", "albums")
# Peers that the settings of a process may name.
PEERS_MAX = 8
CALLERS = 3
PER_CALLER_S = 40
FAULTS = ("none", "agent-kill", "balancer-kill", "balancer-stop",
          "endpoint-crash", "endpoint-drain", "store-away", "store-loses",
          "all-kill")


def number(ip_text):
    """An IPv4 address as an integer."""
    return int(ipaddress.ip_address(ip_text))


def free_ports(count):
    """Ephemeral ports, used on all addresses of the fixture."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_STREAM)
             for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class RelayFixture:
    """Relay processes, the simulated store and endpoints, and the counters."""

    def __init__(self, binary, folder, overload=False, balancers=BALANCERS,
                 agents=AGENTS):
        self.overload = overload
        self.balancers = balancers
        self.agents = agents
        self.binary = binary
        self.folder = pathlib.Path(folder)
        (self.packets, self.frames, self.ready, self.config_peer_port,
         self.outbound, self.heartbeats, self.app) = free_ports(7)
        self.store, self.store_port = store_module.serve(("127.0.0.1", 0))
        self.record = {"answered": 0, "failed": 0, "retried": 0,
                       "crossed": 0, "garbled": 0, "unlisted": 0, "shown": False,
                       "explained": False, "pressure": False, "ran": {}}
        self.processes = {}
        self.running_balancers = {}
        self.endpoints = []
        self.loop_watch = LoopWatch()
        # Further settings of balancers, and of all processes.
        self.balancer_settings = {}
        self.all_settings = {}

    def config(self, version):
        """Publish the configuration with this version."""
        routes = [{"name": name, "host": ip, "pathPrefix": f"/{port}/",
                   "service": name, "timeoutMs": 3000,
                   "targetLatencyMs": 200, "priority": 1}
                  for name, (ip, port) in SERVICES.items()]
        self.store.put("config", "main", {
            "version": version, "routes": routes,
            "limits": {"idleTimeoutMs": 15000}})

    def settings(self, role, name, ip):
        """Write the settings of a process; returns the path of the file."""
        base = {"name": name, "data_centre": DATA_CENTRE,
                "data": f"{ip}:{self.packets}", "ready": f"{ip}:{self.ready}",
                "store": f"127.0.0.1:{self.store_port}"} | self.all_settings
        if role == "relay-balancer":
            base |= {"frames": f"{ip}:{self.frames}",
                     "share": f"{ip}:{self.config_peer_port}",
                     "peers": [f"{NET}.1.{i + 1}:{self.config_peer_port}"
                               for i in range(min(self.balancers, PEERS_MAX))],
                     "overload": self.overload}
            base |= self.balancer_settings
        else:
            base |= {"upstream": f"{ip}:{self.app}",
                     "outbound": f"{ip}:{self.outbound}",
                     "heartbeats": f"{ip}:{self.heartbeats}",
                     "heartbeat_ms": int(HEARTBEAT_S * 1000),
                     "service": self.agents[int(name.split("-")[1]) - 1],
                     "frames_port": self.frames,
                     "scheduling": self.overload,
                     "peers": [f"{NET}.1.{i + 1}:1" for i in
                               range(min(self.balancers, PEERS_MAX))]}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(base))
        return path

    def start(self, role, name, ip):
        """Start a process, or restart it under the same name."""
        path = self.settings(role, name, ip)
        log = (self.folder / f"{name}.log").open("a")
        self.processes[name] = subprocess.Popen(
            [self.binary, role, "--settings", str(path)], stdout=log,
            stderr=log)
        if role == "relay-balancer":
            self.running_balancers[name] = (ip, self.packets)

    async def start_all(self):
        """Start all processes; returns once every balancer is ready."""
        self.config(1)
        self.loop_watch.start()
        for i in range(self.balancers):
            self.start("relay-balancer", f"balancer-{i + 1}",
                       f"{NET}.1.{i + 1}")
        for i, service in enumerate(self.agents):
            ip = f"{NET}.2.{i + 1}"
            self.start("relay-agent", f"agent-{i + 1}", ip)
            endpoint = Endpoint(service, (ip, self.app), (ip, self.outbound),
                                (ip, self.heartbeats), self.record,
                                self.loop_watch)
            await endpoint.start()
            self.endpoints.append(endpoint)
        for i in range(self.balancers):
            await self.until_ready(f"{NET}.1.{i + 1}")

    async def until_ready(self, ip):
        """Wait until /ready answers 200; raises RuntimeError after 30 s."""
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
        raise RuntimeError(f"{ip}: /ready did not answer 200 within 30 s")

    async def kill(self, name, how=signal.SIGKILL):
        """Send a process a signal and wait until it has exited."""
        self.running_balancers.pop(name, None)
        process = self.processes[name]
        process.send_signal(how)
        while process.poll() is None:
            await asyncio.sleep(0.01)

    def addresses(self):
        """Ready addresses of all processes, balancers first."""
        return [f"{NET}.1.{i + 1}:{self.ready}" for i in range(self.balancers)] + \
            [f"{NET}.2.{i + 1}:{self.ready}" for i in range(len(self.agents))]

    def explain_flow(self, caller, service):
        """Print relay-explain for a flow; whether all balancers have its route,
        and some balancer and agent its state."""
        done = subprocess.run(
            [self.binary, "relay-explain", caller, service,
             *self.addresses()], check=False, capture_output=True, text=True)
        print(done.stdout + done.stderr, end="")
        return done.returncode == 0 and \
            done.stdout.count("balancer: route ") == self.balancers and \
            "known for" in done.stdout and "agent: here" in done.stdout

    def show(self):
        """Print relay-show; whether all balancers have version 1."""
        done = subprocess.run([self.binary, "relay-show", *self.addresses()],
                              check=False, capture_output=True, text=True)
        print(done.stdout + done.stderr, end="")
        versions = done.stdout.count("version 1, 2 routes")
        return done.returncode == 0 and versions == BALANCERS

    def show_pressure(self):
        """Print relay-show --pressure; whether each balancer says that
        refusals are on or off, and that it refused none."""
        balancers = self.addresses()[:BALANCERS]
        done = subprocess.run(
            [self.binary, "relay-show", "--pressure", *balancers],
            check=False, capture_output=True, text=True)
        print(done.stdout + done.stderr, end="")
        services = done.stdout.count("  service ")
        calm = done.stdout.count("refused for their wait 0, for their share 0")
        said = "on" if self.overload else "off"
        return done.returncode == 0 and \
            done.stdout.count(f"under pressure are {said}") == BALANCERS and \
            services == calm and (services > 0) == self.overload

    def logs(self):
        """Whole logs of all processes."""
        return "\n".join(f"== {path.name}\n{path.read_text()}"
                         for path in sorted(self.folder.glob("*.log")))

    def stop_endpoints(self):
        """Stop all endpoints; called before the event loop ends."""
        self.loop_watch.stop()
        for endpoint in self.endpoints:
            endpoint.crash()

    def stop_processes(self):
        """Terminate the running processes and wait for them."""
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        for process in self.processes.values():
            process.wait(timeout=30)


async def inject(fixture, fault):
    """Inject a fault and end it."""
    if fault == "agent-kill":
        await fixture.kill("agent-1")
        await asyncio.sleep(0.3)
        fixture.start("relay-agent", "agent-1", f"{NET}.2.1")
    elif fault in ("balancer-kill", "balancer-stop"):
        fixture.running_balancers.pop("balancer-1")
        how = signal.SIGKILL if fault == "balancer-kill" else signal.SIGTERM
        await fixture.kill("balancer-1", how)
        fixture.start("relay-balancer", "balancer-1", f"{NET}.1.1")
    elif fault == "endpoint-crash":
        fixture.endpoints[0].crash()
        await asyncio.sleep(0.5)
        await fixture.endpoints[0].start()
    elif fault == "endpoint-drain":
        fixture.endpoints[0].drain()
        await asyncio.sleep(1)
        await fixture.endpoints[0].deregister()
    elif fault == "store-away":
        fixture.store.unavailable = True
        await asyncio.sleep(0.5)
        await fixture.kill("agent-2")
        fixture.start("relay-agent", "agent-2", f"{NET}.2.2")
        await fixture.kill("balancer-2")
        fixture.start("relay-balancer", "balancer-2", f"{NET}.1.2")
        await asyncio.sleep(1)
        fixture.store.unavailable = False
    elif fault == "store-loses":
        names = list(fixture.store.objects["swiftarch-agents"])
        for name in names:
            fixture.store.remove("swiftarch-agents", name)
        await asyncio.sleep(0.5)
        left = set(names) - set(fixture.store.objects["swiftarch-agents"])
        fixture.record["unlisted"] = len(left)
    elif fault == "all-kill":
        for name in list(fixture.processes):
            await fixture.kill(name)
        for i in range(BALANCERS):
            fixture.start("relay-balancer", f"balancer-{i + 1}",
                       f"{NET}.1.{i + 1}")
        for i in range(len(AGENTS)):
            fixture.start("relay-agent", f"agent-{i + 1}", f"{NET}.2.{i + 1}")


def service_of(i):
    """Service of a caller's request number i."""
    return "albums" if i % 4 == 3 else "lots"


def request_of(caller, i):
    """Body of a caller's request number i."""
    return f"{caller.ip}-{i}".encode()


def last_service(seconds):
    """Service of a caller's last request."""
    return service_of(int(seconds * PER_CALLER_S) - 1)


async def load(fixture, caller, seconds):
    """Send one caller's requests at a constant rate and await them."""
    tasks = []
    count = int(seconds * PER_CALLER_S)
    for i in range(count):
        service = service_of(i)
        ip, port = SERVICES[service]
        request = request_of(caller, i)
        tasks.append(asyncio.create_task(
            caller.request_with_retries((number(ip), port), service, request)))
        await asyncio.sleep(1 / PER_CALLER_S)
    await asyncio.gather(*tasks)


async def run(fixture, fault, seconds):
    """Run the load with the fault, then check relay-show and relay-explain."""
    await fixture.start_all()
    callers = []
    for i in range(CALLERS):
        ip = f"{NET}.3.{i + 1}"
        caller = Caller(ip, number(ip), fixture.packets,
                        fixture.running_balancers.values(), fixture.record)
        await caller.start()
        callers.append(caller)
    loads = [asyncio.create_task(load(fixture, c, seconds)) for c in callers]
    await asyncio.sleep(seconds / 3)
    await inject(fixture, fault)
    await asyncio.gather(*loads)
    fixture.record["shown"] = await asyncio.to_thread(fixture.show)
    fixture.record["pressure"] = await asyncio.to_thread(fixture.show_pressure)
    last = request_of(callers[0], int(seconds * PER_CALLER_S) - 1)
    flow = f"{callers[0].local[0]}:{callers[0].answered_ports.get(last)}"
    service = ":".join(map(str, SERVICES[last_service(seconds)]))
    fixture.record["explained"] = await asyncio.to_thread(
        fixture.explain_flow, flow, service)
    fixture.stop_endpoints()


def main():
    """Run the fault given on the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fault", choices=FAULTS, default="none")
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--binary", default=str(ROOT / "build/src/cli/swiftarch"))
    parser.add_argument("--overload", action="store_true",
                        help="refuse new flows under pressure")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="relaybed-") as folder:
        fixture = RelayFixture(args.binary, folder, args.overload)
        began = time.monotonic()
        try:
            asyncio.run(run(fixture, args.fault, args.seconds))
        finally:
            fixture.stop_processes()
        record = fixture.record
        logs = fixture.logs()
        ran = record.pop("ran")
        record |= {"fault": args.fault, "doubled":
                   sum(times > 1 for times in ran.values()),
                   "store_calls": fixture.store.calls,
                   "seconds": round(time.monotonic() - began, 1)}
    for key, value in record.items():
        print(f"{key:12} {value}")
    print(json.dumps(record))
    bad = record["failed"] + record["crossed"] + record["garbled"] + \
        record["doubled"] + record["unlisted"]
    reports_complete = record["shown"] and record["explained"] and \
        record["pressure"]
    if bad or not record["answered"] or not reports_complete:
        print(logs)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
