"""A small deployment: the project's programs with stand-ins around them."""

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
import zlib

from review.standin2 import store as store_module

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BINARY = ROOT / "target/src/cli/swiftarch"
NET = f"127.{16 + os.getpid() % 200}"
PORTS = ("data", "frames", "ready", "control", "outbound", "app")
PROBE_S = 0.5
RESTART_S = 0.5
READY_MAX_S = 20
CASE_MAX_S = 110

HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_ports():
    """Ports that are free at one loopback address, by use."""
    socks = [socket.socket() for _ in PORTS]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = {name: sock.getsockname()[1] for name, sock in zip(PORTS, socks)}
    for sock in socks:
        sock.close()
    return ports


class Bed:
    """The deployment and the record of what was seen."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = pathlib.Path(folder)
        self.began = time.monotonic()
        self.ports = free_ports()
        self.store, self.store_port = store_module.serve(("127.0.0.1", 0))
        self.processes = {}
        self.balancers = []
        self.rotation = []
        self.misses = {}
        self.garbled = 0
        self.ran = []
        self.prober = None
        self.balancer_settings = {}
        # Ends the loops: wait_for() may lose a cancellation.
        self.closing = False

    @staticmethod
    def number(text):
        """An IPv4 address as an integer."""
        return int(ipaddress.ip_address(text))

    def note(self, text):
        """Add a line to the record."""
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def put_config(self, version, routes, services=()):
        """Write the configuration, as the operator does."""
        self.store.put("config", "main", {
            "version": version, "routes": routes, "services": list(services),
            "limits": {"idleTimeoutMs": 15000}})
        self.note(f"config version {version} acknowledged")

    def settings(self, role, name, host, service):
        """Write a process's settings as the deploy templates give them."""
        at = {use: f"{host}:{port}" for use, port in self.ports.items()}
        seeds = [f"{ip}:{self.ports['control']}" for ip in self.balancers[:3]]
        body = {"name": name, "data_centre": "here", "data": at["data"],
                "ready": at["ready"], "store": f"127.0.0.1:{self.store_port}",
                "peers": seeds}
        if role == "relay-balancer":
            body |= {"frames": at["frames"], "share": at["control"],
                     "regions": {"here": "coast"}, "evacuations": False,
                     "expected_wait": True} | self.balancer_settings
        else:
            body |= {"upstream": at["app"], "outbound": at["outbound"],
                     "heartbeats": at["control"], "heartbeat_ms": 1200,
                     "service": service, "frames_port": self.ports["frames"],
                     "scheduling": True, "flow_records": True}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(body))
        return path

    def start(self, role, host, service=None):
        """Start a program at an address."""
        name = f"{role}-{host}"
        path = self.settings(role, name, host, service)
        with (self.folder / f"{name}.log").open("a") as log:
            self.processes[host] = (subprocess.Popen(
                [str(BINARY), role, "--settings", str(path)], stdout=log,
                stderr=log), role, service)
        self.note(f"{role} starts at {host}")

    async def end(self, host, how):
        """Send a program a signal and wait until it has ended."""
        process = self.processes[host][0]
        self.note(f"{self.processes[host][1]} at {host} gets {how.name}")
        process.send_signal(how)
        while process.poll() is None:
            await asyncio.sleep(0.02)
        self.note(f"{self.processes[host][1]} at {host} has ended")

    async def roll(self, host):
        """Stop a program as planned work does, and start it again."""
        _, role, service = self.processes[host]
        await self.end(host, signal.SIGTERM)
        await asyncio.sleep(RESTART_S)
        self.start(role, host, service)

    async def is_ready(self, host):
        """Whether /ready answers 200 within a second."""
        try:
            return await asyncio.wait_for(
                self.http(host, self.ports["ready"], "GET", "/ready"), 1) \
                == 200
        except (OSError, asyncio.TimeoutError, ValueError, IndexError):
            return False

    @staticmethod
    async def http(host, port, method, path, body=None):
        """Make one HTTP call; returns the status."""
        raw = json.dumps(body).encode() if body is not None else b""
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(raw)}\r\nConnection: close\r\n\r\n")
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(head.encode() + raw)
            line = await reader.readline()
            return int(line.split()[1])
        finally:
            writer.close()

    async def call(self, host, method, path, body=None):
        """Call a control address; the status, or None without an answer
        within a second."""
        try:
            return await asyncio.wait_for(
                self.http(host, self.ports["control"], method, path, body), 1)
        except (OSError, asyncio.TimeoutError, ValueError, IndexError):
            return None

    async def probe(self):
        """Keep the rotation, as the fabric does."""
        while not self.closing:
            for host in self.balancers:
                ready = await self.is_ready(host)
                self.misses[host] = 0 if ready else self.misses[host] + 1
                if ready and host not in self.rotation:
                    self.rotation.append(host)
                    self.rotation.sort()
                    self.note(f"{host} is in rotation")
                elif self.misses[host] >= 2 and host in self.rotation:
                    self.rotation.remove(host)
                    self.note(f"{host} is out of rotation")
            await asyncio.sleep(PROBE_S)

    def balancer_of(self, flow):
        """Where the fabric sends a packet of a flow, hash scheme 'mod'."""
        hosts = self.rotation or self.balancers
        return hosts[zlib.crc32(repr(flow).encode()) % len(hosts)]

    async def start_balancers(self, hosts):
        """Start balancers; returns at once."""
        self.balancers = list(hosts)
        self.misses = {host: 0 for host in hosts}
        for host in hosts:
            self.start("relay-balancer", host)
        self.prober = asyncio.create_task(self.probe())

    def add_balancer(self, host):
        """Add a balancer to the system."""
        self.balancers.append(host)
        self.misses[host] = 0
        self.start("relay-balancer", host)

    async def until_ready(self, count):
        """Wait until so many balancers are in rotation."""
        end = time.monotonic() + READY_MAX_S
        while len(self.rotation) < count:
            if time.monotonic() > end:
                raise RuntimeError("the balancers didn't get ready")
            await asyncio.sleep(0.05)

    def stop(self):
        """End all programs that were started."""
        for process, _, _ in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process, _, _ in self.processes.values():
            process.wait()


async def run_case(bed, case):
    """Run a case for CASE_MAX_S at most."""
    try:
        return await asyncio.wait_for(case(bed), CASE_MAX_S)
    finally:
        bed.closing = True


def main(case):
    """Run a case in a temporary folder; returns the exit code.

    @case: coroutine function of the bed; it returns HELD, BROKEN or NOT_RUN.
    """
    path = pathlib.Path(sys.argv[0]).resolve().parent / "record.txt"
    with path.open("w") as record, \
            tempfile.TemporaryDirectory(prefix="review-") as folder:
        bed = Bed(record, folder)
        code = NOT_RUN
        try:
            code = asyncio.run(run_case(bed, case))
        except (RuntimeError, OSError, asyncio.TimeoutError) as error:
            bed.note(f"the case couldn't run: {error!r}")
        finally:
            bed.stop()
            if os.environ.get("KEEP_LOGS"):
                for log in sorted(pathlib.Path(folder).glob("*.log")):
                    pathlib.Path(os.environ["KEEP_LOGS"], log.name) \
                        .write_text(log.read_text())
        bed.note(f"exit {code}")
    print(f"exit {code}, record in {path.name}")
    return code
