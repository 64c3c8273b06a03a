"""A randomized soak of relay mode: real processes, overlapping faults.

python3 -m scripts.relaybed.soak [--seed N] [--seeds N] [--seconds N]
                                 [--balancers N] [--agents N] [--logs DIR]
                                 [--binary FILE]

Each seed runs relay mode under load while flows are rehashed: processes are
killed, stopped, frozen and reloaded, also several times in a row or with a
second signal; endpoints crash and drain, some without a listener; the store is
unavailable or restored from an older state, and a proxy in front of it delays,
resets, refuses or drops data. Foreign reports and goodbyes come to the
agents, and their objects in the store are replaced. Some callers open a flow for
each request, others keep flows open. Both use a process until it is gone. The
load continues after the faults.

Checked during the run: no packet is corrupted, no answer belongs to another
service, no request runs twice, no caller is reset while its endpoint has the
flow open, no foreign report is accepted, and no new flow reaches an
endpoint more than a second after its draining was acknowledged, or after a
later start of its agent. Checked after the faults: all requests are answered,
no flow breaks, no process has ended by itself, each agent's object is its own,
and all balancers have the last configuration. Prints the faults in order and
the counters; exits 1 on any violation and prints the whole logs of that seed,
which are also kept in DIR.
"""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile

from scripts.relaybed.__main__ import (AGENTS, BALANCERS, CALLERS, NET, ROOT,
                                       SERVICES, RelayFixture, number,
                                       service_of)
from scripts.relaybed.caller import Caller
from scripts.relaybed.foreign import ForeignInput
from scripts.relaybed.proxy import MODES, Proxy

PER_CALLER_S = 30
# Recovery time after the last fault: a silent watch ends within 4.5 s.
SETTLE_S = 5
CALM_S = 2
FAULTS = ("agent-kill", "agent-stop", "balancer-kill", "balancer-stop",
          "freeze", "endpoint-crash", "endpoint-drain", "store-away",
          "store-older", "proxy", "config", "hup")
# Chances that a restart is repeated, and that a second signal follows the
# first.
SERIES_CHANCE = 0.3
SERIES_MAX = 4
SECOND_SIGNAL_CHANCE = 0.2
# Longest pause of a caller that keeps its flow open.
PAUSE_MAX_S = 0.5
LOG_LINES_PER_S = 20000
# A SIGHUP before main() ends a process.
SIGNAL_DELAY_S = 0.1
# Counters of the record that must be 0.
VIOLATIONS = ("failed", "crossed", "garbled", "doubled", "cut", "drained",
              "broken", "ended", "believed", "replaced")


class Soak:
    """The run of one seed."""

    def __init__(self, args, folder, seed):
        self.rand = random.Random(seed)
        self.seconds = args.seconds
        agents = [AGENTS[i % len(AGENTS)] for i in range(args.agents)]
        self.fixture = RelayFixture(args.binary, folder,
                                    balancers=args.balancers, agents=agents)
        self.fixture.all_settings = {"log_per_s": LOG_LINES_PER_S}
        self.proxy = Proxy(self.fixture.store_port)
        self.record = self.fixture.record
        self.record |= {"cut": 0, "drained": 0, "calm": 0, "kept": 0,
                        "calm_kept": 0, "unopened": 0, "broken": 0,
                        "foreign": 0, "believed": 0, "replaced": 0}
        # With draws of their own: the faults of a seed stay the same.
        self.foreign = ForeignInput(
            self.fixture, random.Random(f"other writers {seed}"), self.record)
        self.version = 1
        self.busy = set()
        self.process_started_at = {}
        self.started_at = 0

    def now(self):
        """Seconds since the start of the load."""
        return asyncio.get_running_loop().time() - self.started_at

    def flow_is_open(self, flow, seq):
        """Address of the running endpoint that has the flow open with this
        initial sequence number, or None."""
        for endpoint in self.fixture.endpoints:
            held = endpoint.flows.get(flow)
            if not endpoint.transport.is_closing() and held is not None and \
                    held.seq == seq:
                return endpoint.address[0]
        return None

    async def stop(self, name, how):
        """Send a process a signal, maybe a second one, and wait for its end.
        Callers use it until then."""
        process = self.fixture.processes[name]
        process.send_signal(how)
        if self.rand.random() < SECOND_SIGNAL_CHANCE:
            await asyncio.sleep(self.rand.uniform(0, 0.05))
            if process.poll() is None:
                process.send_signal(self.rand.choice(
                    (signal.SIGHUP, signal.SIGTERM, signal.SIGKILL)))
        while process.poll() is None:
            await asyncio.sleep(0.002)
        self.fixture.running_balancers.pop(name, None)

    async def restart(self, role, name, ip, how):
        """Stop a process and restart it after a short delay, maybe several
        times in a row."""
        repeated = self.rand.random() < SERIES_CHANCE
        for _ in range(self.rand.randint(2, SERIES_MAX) if repeated else 1):
            await self.stop(name, how)
            await asyncio.sleep(self.rand.uniform(0.02, 0.4))
            self.fixture.start(role, name, ip)
            self.process_started_at[name] = self.now()
            if role == "relay-agent":
                at = int(name.split("-")[1]) - 1
                self.fixture.endpoints[at].agent_started_at = \
                    asyncio.get_running_loop().time()
            if repeated:
                await asyncio.sleep(self.rand.uniform(0, 0.3))

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
        count = self.fixture.balancers if kind == "balancer" \
            else len(self.fixture.agents)
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
            for _ in range(self.rand.choice((1, 1, 2, 3))):
                self.fixture.processes[process].send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.rand.uniform(0.1, 1.5))
                self.fixture.processes[process].send_signal(signal.SIGCONT)
                await asyncio.sleep(self.rand.uniform(0, 0.1))
        elif name == "endpoint-crash":
            self.fixture.endpoints[at].crash()
            await asyncio.sleep(self.rand.uniform(0.05, 0.5))
            await self.fixture.endpoints[at].start()
        else:
            endpoint = self.fixture.endpoints[at]
            endpoint.closes_listener = self.rand.random() < 0.5
            endpoint.drain()
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
        """Publish newer configurations in a row."""
        for _ in range(self.rand.choice((1, 1, 5))):
            self.version += self.rand.randrange(1, 4)
            print(f"  {self.now():6.2f} config {self.version}")
            self.fixture.config(self.version)
            await asyncio.sleep(self.rand.uniform(0, 0.05))

    async def hup(self):
        """Reload the settings of all processes with SIGHUP."""
        print(f"  {self.now():6.2f} hup")
        for name, process in self.fixture.processes.items():
            age_s = self.now() - self.process_started_at.get(name, -1)
            if process.poll() is None and age_s > SIGNAL_DELAY_S:
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

    def kept_requests(self, caller, service):
        """Service, request and following pause of the requests on flows that a
        caller keeps open."""
        number_of_request = 0
        while True:
            number_of_request += 1
            yield (service,
                   f"{caller.ip}-{service}-kept-{number_of_request}".encode(),
                   self.rand.uniform(0, PAUSE_MAX_S))

    async def keep_flows_open(self, caller, until):
        """Keep a caller's flows open, one to each service."""
        await asyncio.gather(*(
            caller.keep_open((number(ip), port),
                             self.kept_requests(caller, service), until)
            for service, (ip, port) in SERVICES.items()))

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
        await asyncio.gather(*(self.load(c, until) for c in callers),
                             *(self.keep_flows_open(c, until)
                               for c in callers))
        rehashes.cancel()

    async def verify_recovery(self):
        """Run load after the faults; returns the number of failed requests."""
        await asyncio.sleep(SETTLE_S)
        # Flows may break during the faults, but not after them.
        self.record["broken"] = 0
        lost = self.record["failed"]
        before = self.record["answered"]
        kept = self.record["kept"]
        until = asyncio.Event()
        load = asyncio.create_task(self.run_verification_caller(until))
        await asyncio.sleep(CALM_S)
        until.set()
        await load
        self.record["calm"] = self.record["answered"] - before
        self.record["calm_kept"] = self.record["kept"] - kept
        return self.record["failed"] - lost

    async def run_verification_caller(self, until):
        """Run the load of verify_recovery() from an address of its own."""
        caller = Caller(f"{NET}.3.9", number(f"{NET}.3.9"),
                        self.fixture.packets,
                        self.fixture.running_balancers.values(), self.record,
                        self.flow_is_open)
        await caller.start()
        await asyncio.gather(self.load(caller, until),
                             self.keep_flows_open(caller, until))

    async def run(self):
        """Run the faults and the verification; whether all balancers have the
        last configuration."""
        loop = asyncio.get_running_loop()
        self.fixture.store_port = await self.proxy.start()
        await self.fixture.start_all()
        self.started_at = loop.time()
        until = asyncio.Event()
        load = asyncio.create_task(self.run_callers(until))
        foreign = asyncio.create_task(self.foreign.run())
        await self.faults()
        foreign.cancel()
        until.set()
        await load
        # Requests may fail during the faults, but not after them.
        self.record["stormy"] = self.record["failed"]
        self.record["failed"] = await self.verify_recovery()
        # Processes that ended by themselves.
        self.record["ended"] = sum(process.poll() is not None for process in
                                   self.fixture.processes.values())
        self.record["replaced"] = self.foreign.count_replaced()
        shown = await asyncio.to_thread(self.all_have_config)
        self.proxy.close()
        self.fixture.stop_endpoints()
        return shown

    def all_have_config(self):
        """Whether all balancers have the last configuration."""
        done = subprocess.run(
            [self.fixture.binary, "relay-show", *self.fixture.addresses()],
            check=False, capture_output=True, text=True)
        right = done.stdout.count(f"version {self.version}, ") == \
            self.fixture.balancers
        if done.returncode != 0 or not right:
            print(done.stdout + done.stderr)
        return done.returncode == 0 and right


def show_logs(folder, seed, kept):
    """Print the whole logs of a seed and keep a copy."""
    target = pathlib.Path(kept) / f"seed-{seed}"
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(folder, target)
    for path in sorted(target.glob("*.log")):
        print(f"== {path.name}\n" + path.read_text())
    print(f"logs kept in {target}")


def run_seed(args, seed):
    """Run one seed; whether no check failed."""
    print(f"seed {seed}")
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak = Soak(args, folder, seed)
        try:
            shown = asyncio.run(soak.run())
        finally:
            soak.fixture.stop_processes()
        record = soak.record
        record["doubled"] = sum(n > 1 for n in record.pop("ran").values())
        violations = [name for name in VIOLATIONS if record[name]]
        if not shown:
            violations.append("last configuration not in force")
        if record["calm"] == 0 or record["calm_kept"] == 0:
            violations.append("no request answered after the faults")
        if violations:
            print(f"seed {seed} failed: {', '.join(violations)}")
            show_logs(folder, seed, args.logs)
    print(json.dumps({"seed": seed} | record), flush=True)
    return not violations


def main():
    """Run the seeds given on the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--balancers", type=int, default=BALANCERS)
    parser.add_argument("--agents", type=int, default=len(AGENTS))
    parser.add_argument("--logs", default=str(ROOT / "build/soak"),
                        help="folder for the logs of failed seeds")
    parser.add_argument("--binary",
                        default=str(ROOT / "build/src/cli/swiftarch"))
    args = parser.parse_args()
    seeds = range(args.seed, args.seed + args.seeds)
    bad = [s for s in seeds if not run_seed(args, s)]
    print(f"{args.seeds} seeds, {len(bad)} failed: {bad}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
