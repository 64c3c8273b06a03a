"""A randomized soak of relay mode: real processes, overlapping faults.

python3 -m scripts.relaybed.soak [--seed N] [--seeds N] [--seconds N]
                                 [--binary FILE]

Each seed runs relay mode under load while flows are rehashed: processes are
killed, stopped, frozen and reloaded, endpoints crash and drain, the store is
unavailable or restored from an older state, and a proxy in front of it delays,
resets, refuses or drops data. The load continues after the faults.

Checked during the run: no packet is corrupted, no answer belongs to another
service, no request runs twice, no caller is reset while its endpoint has the
flow open, and no new flow reaches an endpoint more than a second after its
draining was acknowledged, or after a later start of its agent. Checked after
the faults: all requests are answered, and all balancers have the last
configuration. Prints the faults in order and the counters; exits 1 on any
violation.
"""

import argparse
import asyncio
import json
import pathlib
import random
import signal
import subprocess
import sys
import tempfile

from scripts.relaybed.__main__ import (AGENTS, BALANCERS, CALLERS, NET, ROOT,
                                       SERVICES, RelayFixture, number,
                                       service_of)
from scripts.relaybed.caller import Caller
from scripts.relaybed.proxy import MODES, Proxy

PER_CALLER_S = 30
# Recovery time after the last fault: a silent watch ends within 4.5 s.
SETTLE_S = 5
CALM_S = 2
FAULTS = ("agent-kill", "agent-stop", "balancer-kill", "balancer-stop",
          "freeze", "endpoint-crash", "endpoint-drain", "store-away",
          "store-older", "proxy", "config", "hup")
# Counters of the record that must be 0.
VIOLATIONS = ("failed", "crossed", "garbled", "doubled", "cut", "drained")


class Soak:
    """The run of one seed."""

    def __init__(self, binary, folder, seed, seconds):
        self.rand = random.Random(seed)
        self.seconds = seconds
        self.fixture = RelayFixture(binary, folder)
        self.proxy = Proxy(self.fixture.store_port)
        self.record = self.fixture.record
        self.record |= {"cut": 0, "drained": 0, "calm": 0}
        self.version = 1
        self.busy = set()
        self.started_at = 0

    def now(self):
        """Seconds since the start of the load."""
        return asyncio.get_running_loop().time() - self.started_at

    def flow_is_open(self, flow, seq):
        """Whether a running endpoint has the flow open with this initial
        sequence number."""
        return any(not e.transport.is_closing() and
                   e.flows.get(flow, [None])[0] == seq
                   for e in self.fixture.endpoints)

    async def restart(self, role, name, ip, how):
        """Stop a process with a signal and restart it after a short delay."""
        await self.fixture.kill(name, how)
        await asyncio.sleep(self.rand.uniform(0.02, 0.4))
        self.fixture.start(role, name, ip)
        if role == "relay-agent":
            endpoint = self.fixture.endpoints[int(name.split("-")[1]) - 1]
            endpoint.agent_started_at = asyncio.get_running_loop().time()

    def pick_target(self, kind, count):
        """Index of a process or endpoint without a fault, or None."""
        free = [i for i in range(count) if (kind, i) not in self.busy]
        return self.rand.choice(free) if free else None

    async def fault(self, name):
        """Inject a fault and wait for its end."""
        kind = {"a": "agent", "b": "balancer", "e": "endpoint"}.get(name[0])
        if name == "freeze":
            kind = self.rand.choice(("agent", "balancer"))
        if kind is None:
            await getattr(self, name.replace("-", "_"))()
            return
        count = BALANCERS if kind == "balancer" else len(AGENTS)
        at = self.pick_target(kind, count)
        # Keeps at least one of each kind without a fault.
        if at is None or sum(k == kind for k, _ in self.busy) >= count - 1:
            return
        self.busy.add((kind, at))
        print(f"  {self.now():6.2f} {name} {kind}-{at + 1}")
        try:
            await self.inject_fault(name, kind, at)
        finally:
            self.busy.discard((kind, at))

    async def inject_fault(self, name, kind, at):
        """Inject a fault into one process or endpoint."""
        ip = f"{NET}.{1 if kind == 'balancer' else 2}.{at + 1}"
        process = f"{kind}-{at + 1}"
        if name.endswith("-kill") or name.endswith("-stop"):
            how = signal.SIGKILL if name.endswith("kill") else signal.SIGTERM
            await self.restart(f"relay-{kind}", process, ip, how)
        elif name == "freeze":
            self.fixture.processes[process].send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rand.uniform(0.1, 1.5))
            self.fixture.processes[process].send_signal(signal.SIGCONT)
        elif name == "endpoint-crash":
            self.fixture.endpoints[at].crash()
            await asyncio.sleep(self.rand.uniform(0.05, 0.5))
            await self.fixture.endpoints[at].start()
        else:
            endpoint = self.fixture.endpoints[at]
            endpoint.state = "draining"
            await asyncio.sleep(self.rand.uniform(0.5, 3))
            await endpoint.deregister()
            await asyncio.sleep(self.rand.uniform(0.05, 0.3))
            await endpoint.start()

    async def store_away(self):
        """The store answers 503 for a while."""
        print(f"  {self.now():6.2f} store-away")
        self.fixture.store.unavailable = True
        await asyncio.sleep(self.rand.uniform(0.2, 1.5))
        self.fixture.store.unavailable = False

    async def store_older(self):
        """The store restores an older state; the configuration is written
        again later."""
        age_s = self.rand.uniform(0.2, 3)
        print(f"  {self.now():6.2f} store-older by {age_s:.1f} s")
        self.fixture.store.unavailable = True
        await asyncio.sleep(self.rand.uniform(0.05, 0.5))
        self.fixture.store.restore(age_s)
        self.fixture.store.unavailable = False
        await asyncio.sleep(self.rand.uniform(0.05, 1))
        self.fixture.config(self.version)

    async def proxy_fault(self):
        """The proxy disturbs the connections to the store."""
        mode = self.rand.choice(MODES[1:])
        print(f"  {self.now():6.2f} store {mode}")
        self.proxy.set_mode(mode)
        await asyncio.sleep(self.rand.uniform(0.2, 2))
        self.proxy.set_mode("pass")

    async def config(self):
        """Publish a newer configuration."""
        self.version += self.rand.randrange(1, 4)
        print(f"  {self.now():6.2f} config {self.version}")
        self.fixture.config(self.version)

    async def hup(self):
        """Reload the settings of all processes with SIGHUP."""
        print(f"  {self.now():6.2f} hup")
        for process in self.fixture.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGHUP)

    async def faults(self):
        """Inject faults for self.seconds; returns once all have ended."""
        tasks = []
        while self.now() < self.seconds:
            await asyncio.sleep(self.rand.uniform(0.05, 0.5))
            name = self.rand.choice(FAULTS)
            name = "proxy_fault" if name == "proxy" else name
            tasks.append(asyncio.create_task(self.fault(name)))
        await asyncio.gather(*tasks)

    async def load(self, caller, until):
        """Send one caller's requests until the event is set, and await them."""
        tasks = []
        i = 0
        while not until.is_set():
            service = service_of(i)
            ip, port = SERVICES[service]
            tasks.append(asyncio.create_task(caller.request_with_retries(
                (number(ip), port), service, f"{caller.ip}-{i}".encode())))
            i += 1
            await asyncio.sleep(1 / PER_CALLER_S)
        await asyncio.gather(*tasks)

    async def rehash_flows(self, callers):
        """Move flows to other balancers repeatedly, as ECMP changes do."""
        while True:
            await asyncio.sleep(self.rand.uniform(0.005, 0.1))
            for caller in callers:
                caller.ecmp_salt += 1

    async def run_callers(self, until):
        """Run all callers until the event is set."""
        callers = []
        for i in range(CALLERS):
            ip = f"{NET}.3.{i + 1}"
            caller = Caller(ip, number(ip), self.fixture.packets,
                            self.fixture.running_balancers.values(),
                            self.record, self.flow_is_open)
            await caller.start()
            callers.append(caller)
        rehashes = asyncio.create_task(self.rehash_flows(callers))
        await asyncio.gather(*(self.load(c, until) for c in callers))
        rehashes.cancel()

    async def verify_recovery(self):
        """Run load after the faults; returns the number of failed requests."""
        await asyncio.sleep(SETTLE_S)
        lost = self.record["failed"]
        before = self.record["answered"]
        until = asyncio.Event()
        load = asyncio.create_task(self.run_verification_caller(until))
        await asyncio.sleep(CALM_S)
        until.set()
        await load
        self.record["calm"] = self.record["answered"] - before
        return self.record["failed"] - lost

    async def run_verification_caller(self, until):
        """Run the load of verify_recovery() from an address of its own."""
        caller = Caller(f"{NET}.3.9", number(f"{NET}.3.9"),
                        self.fixture.packets,
                        self.fixture.running_balancers.values(), self.record,
                        self.flow_is_open)
        await caller.start()
        await self.load(caller, until)

    async def run(self):
        """Run the faults and the verification; whether all balancers have the
        last configuration."""
        loop = asyncio.get_running_loop()
        self.fixture.store_port = await self.proxy.start()
        await self.fixture.start_all()
        self.started_at = loop.time()
        until = asyncio.Event()
        load = asyncio.create_task(self.run_callers(until))
        await self.faults()
        until.set()
        await load
        # Requests may fail during the faults, but not after them.
        self.record["stormy"] = self.record["failed"]
        self.record["failed"] = await self.verify_recovery()
        shown = await asyncio.to_thread(self.all_have_config)
        self.proxy.close()
        self.fixture.stop_endpoints()
        return shown

    def all_have_config(self):
        """Whether all balancers have the last configuration."""
        done = subprocess.run(
            [self.fixture.binary, "relay-show", *self.fixture.addresses()],
            check=False, capture_output=True, text=True)
        right = done.stdout.count(f"version {self.version}, ") == BALANCERS
        if done.returncode != 0 or not right:
            print(done.stdout + done.stderr)
        return done.returncode == 0 and right


def run_seed(binary, seed, seconds):
    """Run one seed; whether no check failed."""
    print(f"seed {seed}")
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak = Soak(binary, folder, seed, seconds)
        try:
            shown = asyncio.run(soak.run())
        finally:
            soak.fixture.stop_processes()
        record = soak.record
        record["doubled"] = sum(n > 1 for n in record.pop("ran").values())
        violations = [name for name in VIOLATIONS if record[name]]
        if not shown:
            violations.append("last configuration not in force")
        if record["calm"] == 0:
            violations.append("no request answered after the faults")
        if violations:
            print(f"seed {seed} failed: {', '.join(violations)}")
            for path in sorted(pathlib.Path(folder).glob("*.log")):
                print(f"== {path.name}\n" + path.read_text()[-4000:])
    print(json.dumps({"seed": seed} | record), flush=True)
    return not violations


def main():
    """Run the seeds given on the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--binary",
                        default=str(ROOT / "build/src/cli/swiftarch"))
    args = parser.parse_args()
    seeds = range(args.seed, args.seed + args.seeds)
    bad = [s for s in seeds if not run_seed(args.binary, s, args.seconds)]
    print(f"{args.seeds} seeds, {len(bad)} failed: {bad}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
