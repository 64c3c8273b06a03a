"""A randomized soak of relay mode: real processes, overlapping faults.

python3 -m scripts.relaybed.soak [--seed N] [--seeds N] [--seconds N]
                                 [--binary FILE]

Each seed plays a site under load, whose fabric moves flows: processes are killed, stopped, frozen and
told to read their settings, endpoints crash and drain, the store refuses,
and a proxy before it delays, resets, refuses, goes silent or cuts one way.
Then it is calm. Checked while it runs, from what callers and endpoints see:
no packet is changed, no answer is another service's, no request runs twice,
no caller is reset while its endpoint holds its flow, no new flow reaches an
endpoint a second after its leaving was acknowledged (or after its agent's
start, if that was later). Checked at the end:
what is asked in the calm is answered, and the last configuration is in force
everywhere. Prints the faults in order and what was seen; exits 1 when
anything broke.
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
                                       SERVICES, Site, number, service_of)
from scripts.relaybed.caller import Caller
from scripts.relaybed.proxy import MODES, Proxy

PER_CALLER_S = 30
# From the last fault's end: the store's silence ends a watch within 4.5 s.
SETTLE_S = 5
CALM_S = 2
FAULTS = ("agent-kill", "agent-stop", "balancer-kill", "balancer-stop",
          "freeze", "endpoint-crash", "endpoint-drain", "store-away",
          "store-older", "proxy", "config", "hup")
# What may never be seen.
BROKEN = ("failed", "crossed", "garbled", "doubled", "cut", "drained")


class Soak:
    """One seed's play."""

    def __init__(self, binary, folder, seed, seconds):
        self.rand = random.Random(seed)
        self.seconds = seconds
        self.site = Site(binary, folder)
        self.proxy = Proxy(self.site.store_port)
        self.record = self.site.record
        self.record |= {"cut": 0, "drained": 0, "calm": 0}
        self.version = 1
        self.busy = set()
        self.began = 0

    def now(self):
        """Seconds since the play began."""
        return asyncio.get_running_loop().time() - self.began

    def holds(self, flow, seq):
        """Whether a living endpoint holds the flow that its number opened."""
        return any(not e.transport.is_closing() and
                   e.flows.get(flow, [None])[0] == seq
                   for e in self.site.endpoints)

    async def restart(self, role, name, ip, how):
        """End a process and start it again a little later."""
        await self.site.kill(name, how)
        await asyncio.sleep(self.rand.uniform(0.02, 0.4))
        self.site.start(role, name, ip)
        if role == "relay-agent":
            endpoint = self.site.endpoints[int(name.split("-")[1]) - 1]
            endpoint.agent_at = asyncio.get_running_loop().time()

    def pick(self, kind, count):
        """One that no fault is at yet, or None."""
        free = [i for i in range(count) if (kind, i) not in self.busy]
        return self.rand.choice(free) if free else None

    async def fault(self, name):
        """One fault, to its end."""
        kind = {"a": "agent", "b": "balancer", "e": "endpoint"}.get(name[0])
        if name == "freeze":
            kind = self.rand.choice(("agent", "balancer"))
        if kind is None:
            await getattr(self, name.replace("-", "_"))()
            return
        count = BALANCERS if kind == "balancer" else len(AGENTS)
        at = self.pick(kind, count)
        # One of each kind is always left alone: callers need a way in.
        if at is None or sum(k == kind for k, _ in self.busy) >= count - 1:
            return
        self.busy.add((kind, at))
        print(f"  {self.now():6.2f} {name} {kind}-{at + 1}")
        try:
            await self.strike(name, kind, at)
        finally:
            self.busy.discard((kind, at))

    async def strike(self, name, kind, at):
        """A fault at one process or endpoint."""
        ip = f"{NET}.{1 if kind == 'balancer' else 2}.{at + 1}"
        process = f"{kind}-{at + 1}"
        if name.endswith("-kill") or name.endswith("-stop"):
            how = signal.SIGKILL if name.endswith("kill") else signal.SIGTERM
            await self.restart(f"relay-{kind}", process, ip, how)
        elif name == "freeze":
            self.site.processes[process].send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rand.uniform(0.1, 1.5))
            self.site.processes[process].send_signal(signal.SIGCONT)
        elif name == "endpoint-crash":
            self.site.endpoints[at].crash()
            await asyncio.sleep(self.rand.uniform(0.05, 0.5))
            await self.site.endpoints[at].start()
        else:
            endpoint = self.site.endpoints[at]
            endpoint.state = "draining"
            await asyncio.sleep(self.rand.uniform(0.5, 3))
            await endpoint.leave()
            await asyncio.sleep(self.rand.uniform(0.05, 0.3))
            await endpoint.start()

    async def store_away(self):
        """The store turns everybody away."""
        print(f"  {self.now():6.2f} store-away")
        self.site.store.away = True
        await asyncio.sleep(self.rand.uniform(0.2, 1.5))
        self.site.store.away = False

    async def store_older(self):
        """The store comes back from a copy; operators write theirs again."""
        age_s = self.rand.uniform(0.2, 3)
        print(f"  {self.now():6.2f} store-older by {age_s:.1f} s")
        self.site.store.away = True
        await asyncio.sleep(self.rand.uniform(0.05, 0.5))
        self.site.store.older(age_s)
        self.site.store.away = False
        await asyncio.sleep(self.rand.uniform(0.05, 1))
        self.site.config(self.version)

    async def proxy_fault(self):
        """What is said to the store and back is disturbed."""
        mode = self.rand.choice(MODES[1:])
        print(f"  {self.now():6.2f} store {mode}")
        self.proxy.set(mode)
        await asyncio.sleep(self.rand.uniform(0.2, 2))
        self.proxy.set("pass")

    async def config(self):
        """The operators change something."""
        self.version += self.rand.randrange(1, 4)
        print(f"  {self.now():6.2f} config {self.version}")
        self.site.config(self.version)

    async def hup(self):
        """Processes are told to read their settings again."""
        print(f"  {self.now():6.2f} hup")
        for process in self.site.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGHUP)

    async def faults(self):
        """Faults until the calm; returns once all have ended."""
        tasks = []
        while self.now() < self.seconds:
            await asyncio.sleep(self.rand.uniform(0.05, 0.5))
            name = self.rand.choice(FAULTS)
            name = "proxy_fault" if name == "proxy" else name
            tasks.append(asyncio.create_task(self.fault(name)))
        await asyncio.gather(*tasks)

    async def load(self, caller, until):
        """Requests of one caller; each whether it had to succeed."""
        tasks = []
        i = 0
        while not until.is_set():
            service = service_of(i)
            ip, port = SERVICES[service]
            tasks.append(asyncio.create_task(caller.ask(
                (number(ip), port), service, f"{caller.ip}-{i}".encode())))
            i += 1
            await asyncio.sleep(1 / PER_CALLER_S)
        await asyncio.gather(*tasks)

    async def move(self, callers):
        """The fabric hands flows to other balancers, again and again."""
        while True:
            await asyncio.sleep(self.rand.uniform(0.005, 0.1))
            for caller in callers:
                caller.salt += 1

    async def callers(self, until):
        """All callers' requests."""
        callers = []
        for i in range(CALLERS):
            ip = f"{NET}.3.{i + 1}"
            caller = Caller(ip, number(ip), self.site.packets,
                            self.site.live.values(), self.record, self.holds)
            await caller.start()
            callers.append(caller)
        moves = asyncio.create_task(self.move(callers))
        await asyncio.gather(*(self.load(c, until) for c in callers))
        moves.cancel()

    async def calm(self):
        """After all faults: everything must be answered."""
        await asyncio.sleep(SETTLE_S)
        lost = self.record["failed"]
        before = self.record["answered"]
        until = asyncio.Event()
        load = asyncio.create_task(self.callers_calm(until))
        await asyncio.sleep(CALM_S)
        until.set()
        await load
        self.record["calm"] = self.record["answered"] - before
        return self.record["failed"] - lost

    async def callers_calm(self, until):
        """The calm's requests come from addresses of their own."""
        caller = Caller(f"{NET}.3.9", number(f"{NET}.3.9"), self.site.packets,
                        self.site.live.values(), self.record, self.holds)
        await caller.start()
        await self.load(caller, until)

    async def play(self):
        """The whole play."""
        loop = asyncio.get_running_loop()
        self.site.store_port = await self.proxy.start()
        await self.site.begin()
        self.began = loop.time()
        until = asyncio.Event()
        load = asyncio.create_task(self.callers(until))
        await self.faults()
        until.set()
        await load
        # Requests may fail while it storms, but not after it.
        self.record["stormy"] = self.record["failed"]
        self.record["failed"] = await self.calm()
        shown = await asyncio.to_thread(self.in_force)
        self.proxy.end()
        self.site.end_endpoints()
        return shown

    def in_force(self):
        """Whether all balancers have the last configuration."""
        done = subprocess.run(
            [self.site.binary, "relay-show", *self.site.addresses()],
            check=False, capture_output=True, text=True)
        right = done.stdout.count(f"version {self.version}, ") == BALANCERS
        if done.returncode != 0 or not right:
            print(done.stdout + done.stderr)
        return done.returncode == 0 and right


def play(binary, seed, seconds):
    """One seed; whether all held."""
    print(f"seed {seed}")
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak = Soak(binary, folder, seed, seconds)
        try:
            shown = asyncio.run(soak.play())
        finally:
            soak.site.end()
        record = soak.record
        record["doubled"] = sum(n > 1 for n in record.pop("ran").values())
        broken = [name for name in BROKEN if record[name]]
        if not shown:
            broken.append("not in force")
        if record["calm"] == 0:
            broken.append("nobody served in the calm")
        if broken:
            print(f"seed {seed} broke: {', '.join(broken)}")
            for path in sorted(pathlib.Path(folder).glob("*.log")):
                print(f"== {path.name}\n" + path.read_text()[-4000:])
    print(json.dumps({"seed": seed} | record), flush=True)
    return not broken


def main():
    """Play what the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--binary",
                        default=str(ROOT / "build/src/cli/swiftarch"))
    args = parser.parse_args()
    seeds = range(args.seed, args.seed + args.seeds)
    bad = [s for s in seeds if not play(args.binary, s, args.seconds)]
    print(f"{args.seeds} seeds, {len(bad)} broke: {bad}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
