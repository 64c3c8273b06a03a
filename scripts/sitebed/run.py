"""Starts, stops and asks the processes of a site, by their own pids."""

import json
import signal
import subprocess
import time
import urllib.error
import urllib.request

from .topology import ROOT

READY_S = 15
STOP_S = 8


class RunError(Exception):
    """A process did not start, or a command of ours failed."""


def program_command(host, path):
    build = ROOT / "build"
    if host.program in ("balancer", "agent"):
        return [str(build / "src" / "cli" / "swiftarch"), host.program,
                "--settings", path]
    name = f"standin-{host.program}"
    return [str(build / "standin" / host.program / name), "--settings", path]


def http(method, address, path, timeout=2.0):
    """Body of an HTTP answer, or None when there was none with status 200."""
    request = urllib.request.Request(f"http://{address}{path}",
                                     method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.read().decode()
    except (urllib.error.URLError, OSError):
        return None


class Site:
    """The running processes of a topology."""

    def __init__(self, topology):
        self.topology = topology
        self.folder = topology.folder
        self.started = []
        self.events = []
        self.begin = time.monotonic()

    def note(self, what):
        elapsed = time.monotonic() - self.begin
        self.events.append((elapsed, what))

    def start(self, host):
        path = self.folder / f"{host.name}.json"
        path.write_text(json.dumps(host.settings, indent=2) + "\n")
        self.spawn(host, program_command(host, str(path)))

    def spawn(self, host, command):
        self.topology.ports.release(host.settings)
        log = open(self.folder / f"{host.name}.log", "ab")
        host.process = subprocess.Popen(
            command, stdout=log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL, cwd=self.folder)
        log.close()
        host.ended = ""
        self.started.append(host)

    def signal(self, host, number):
        if host.running:
            host.process.send_signal(number)

    def kill(self, host):
        host.ended = "killed"
        self.signal(host, signal.SIGKILL)
        host.process.wait()

    def cli(self, *arguments, timeout=20):
        command = [str(ROOT / "build" / "src" / "cli" / "swiftarch")]
        command += list(arguments)
        return subprocess.run(command, capture_output=True, text=True,
                              timeout=timeout, cwd=self.folder, check=False)

    def apply(self, path):
        return self.cli("apply", str(path), "--operator", "operator.json")

    def platform(self, method, path):
        return http(method, self.topology.platform_address, path)

    def versions(self):
        """Configuration version in force, by process; None: no answer."""
        reply = self.cli("show", "--operator", "operator.json", "--json")
        try:
            shown = json.loads(reply.stdout)
        except ValueError:
            return {}
        return {p["name"]: p.get("config_version")
                for p in shown["processes"]}

    def wait_in_force(self, version, names, limit_s):
        """Milliseconds until @names all say @version; None past the limit."""
        start = time.monotonic()
        while time.monotonic() - start < limit_s:
            shown = self.versions()
            if all((shown.get(n) or 0) >= version for n in names):
                return (time.monotonic() - start) * 1000.0
            time.sleep(0.02)
        return None

    def metrics(self, host):
        body = http("GET", host.settings["http"], "/metrics")
        values = {}
        for line in (body or "").splitlines():
            if line.startswith("#") or " " not in line:
                continue
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
        return values

    def wait_ready(self, hosts, what):
        deadline = time.monotonic() + READY_S
        for host in hosts:
            while http("GET", host.settings["http"], "/ready") is None:
                if time.monotonic() > deadline:
                    raise RunError(f"{what} {host.name} was not ready after "
                                   f"{READY_S} s; see {host.name}.log")
                if not host.running:
                    raise RunError(f"{host.name} ended with "
                                   f"{host.process.returncode}; "
                                   f"see {host.name}.log")
                time.sleep(0.05)

    def stop_all(self):
        """Ask every process to end; insist after STOP_S. Returns the rest."""
        for host in self.started:
            self.signal(host, signal.SIGCONT)
            self.signal(host, signal.SIGTERM)
        deadline = time.monotonic() + 1.0
        while time.monotonic() < deadline:
            if not any(host.running for host in self.started):
                return []
            time.sleep(0.05)
        for host in self.started:
            self.signal(host, signal.SIGTERM)
        deadline = time.monotonic() + STOP_S
        left = []
        for host in self.started:
            try:
                host.process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                left.append(host.name)
                host.process.kill()
                host.process.wait()
        return left
