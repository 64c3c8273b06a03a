"""Operators' limits on real processes: the stories of docs/OPERATIONS.md.

python3 -m scripts.relaybed.limits --story NAME [--binary FILE]

noisy       a caller is limited, refused and explained, and the limit is lifted;
            a second operator's write is a conflict
hour        a route is shed until a time; a flow that was open goes on
urgent      a service sheds all but its most urgent route
store-away  a limit ends in time while the store is away
store-older the store comes back from a copy without the latest limits
malformed   a document that can't be read leaves the one in force
start-away  a balancer that starts while the store is away
off         with the setting off a limit has no effect and costs no call

Prints the commands and what they print; exits 1 at the first violation.
"""

import argparse
import asyncio
import json
import subprocess
import sys
import tempfile
import time

from scripts.relaybed import packet as pk
from scripts.relaybed.__main__ import (BALANCERS, NET, ROOT, SERVICES,
                                       RelayFixture, number)
from scripts.relaybed.caller import Caller

KIND = "swiftarch-limits"
# Reads of limits lag by seconds; a balancer that follows them in longer than
# this is at fault.
FOLLOW_S = 8
# Stale reads may hold what a restored store has lost for this long.
STALE_S = 10
# A refused flow is reset at once: well before its SYN's first copy.
AT_ONCE_S = 0.15
LOAD = 40
BULK = ("198.18.0.3", 8443)
CONFLICT = 3


def address(service):
    """Address of a service as in packets."""
    ip, port = SERVICES[service]
    return number(ip), port


class Stories:
    """The processes, two callers and the operator's commands."""

    def __init__(self, binary, folder):
        self.fixture = RelayFixture(binary, folder)
        self.callers = []

    async def start(self, limits):
        """Start all processes, with the setting on or off, and callers."""
        self.fixture.balancer_settings = {"limits": limits}
        await self.fixture.start_all()
        for i in range(2):
            ip = f"{NET}.3.{i + 1}"
            caller = Caller(ip, number(ip), self.fixture.packets,
                            self.fixture.running_balancers.values(),
                            self.fixture.record)
            await caller.start()
            self.callers.append(caller)

    async def swiftarch(self, *args, code=0):
        """Run a command and print it; returns its output."""
        done = await asyncio.to_thread(
            subprocess.run, [self.fixture.binary, *args], check=False,
            capture_output=True, text=True)
        print("$ swiftarch", *args)
        print(done.stdout + done.stderr, end="")
        assert done.returncode == code, f"exit code {done.returncode}"
        return done.stdout + done.stderr

    async def set(self, *limits, revision=0, code=0):
        """Write a document of limits and set it in place of a revision."""
        path = self.fixture.folder / "limits.json"
        path.write_text(json.dumps({"limits": [
            {"by": "ada", "why": "test"} | limit for limit in limits]}))
        await self.swiftarch("relay-limits", "check", str(path))
        await self.swiftarch("relay-limits", "set", str(path), "--store",
                             self.store(), "--revision", str(revision),
                             code=code)

    async def remove(self, name):
        """Remove a limit."""
        await self.swiftarch("relay-limits", "remove", name, "--store",
                             self.store())

    def logs(self):
        """Logs of all balancers."""
        return "".join(
            (self.fixture.folder / f"balancer-{i + 1}.log").read_text()
            for i in range(BALANCERS))

    def store(self):
        """Address of the store."""
        return f"127.0.0.1:{self.fixture.store_port}"

    async def until_shown(self, text, within_s=FOLLOW_S):
        """Wait until all balancers show a text."""
        end = time.monotonic() + within_s
        addresses = self.fixture.addresses()[:BALANCERS]
        while True:
            done = await asyncio.to_thread(
                subprocess.run, [self.fixture.binary, "relay-show",
                                 *addresses], check=False,
                capture_output=True, text=True)
            if done.stdout.count(text) == BALANCERS:
                print(done.stdout, end="")
                return
            assert time.monotonic() < end, f"no {text}:\n{done.stdout}"
            await asyncio.sleep(0.1)

    async def ask(self, caller, dst, service):
        """One request; whether it was answered. A refused one fails at once."""
        src = (caller.ip, next(caller.ports))
        queue = asyncio.Queue()
        caller.waiting[(src[1], dst)] = queue
        began = time.monotonic()
        answer = await caller.attempt(dst, b"ask", queue, src)
        took_s = time.monotonic() - began
        del caller.waiting[(src[1], dst)]
        assert answer in (None, service.encode() + b":ask")
        assert answer or took_s < AT_ONCE_S, f"refused after {took_s:.3f} s"
        return answer is not None

    async def load(self, caller, dst, service):
        """LOAD requests in one second; the number of answered ones."""
        tasks = []
        for _ in range(LOAD):
            tasks.append(asyncio.create_task(self.ask(caller, dst, service)))
            await asyncio.sleep(1 / LOAD)
        return sum(await asyncio.gather(*tasks))

    async def expect(self, caller, service, low, high, dst=None):
        """Answered requests of a load must be within bounds."""
        done = await self.load(self.callers[caller],
                               dst or address(service), service)
        print(f"caller {caller + 1}, {service}: {done} of {LOAD} answered")
        assert low <= done <= high, f"expected {low} to {high}"

    async def noisy(self):
        """A noisy caller."""
        await self.start(True)
        await self.until_shown("limits: 0 as of")
        await self.expect(0, "lots", LOAD, LOAD)
        limit = {"name": "noisy", "callers": f"{NET}.3.1/32",
                 "new_flows_per_s": 2, "burst": 2, "per": "balancer"}
        await self.set(limit)
        await self.until_shown("limit noisy on")
        # On each balancer the burst and 2 in the second, and one at its end.
        await self.expect(0, "lots", 4, 5 * BALANCERS)
        await self.swiftarch("relay-limits", "show", "--store", self.store())
        text = await self.swiftarch(
            "relay-explain", f"{NET}.3.1:9999",
            ":".join(map(str, SERVICES["lots"])),
            *self.fixture.addresses()[:BALANCERS])
        assert text.count("limits that a new flow meets: noisy") == BALANCERS
        await self.expect(1, "lots", LOAD, LOAD)
        # A second operator, who hasn't seen the first one's limit.
        await self.set(limit | {"name": "other"}, code=CONFLICT)
        # Two operators who have both seen it: the first one wins.
        seen = self.fixture.store.get(KIND, "main")["meta"]["rev"]
        await self.set(limit | {"why": "first"}, revision=seen)
        await self.set(limit | {"why": "second"}, revision=seen, code=CONFLICT)
        shown = await self.swiftarch("relay-limits", "show", "--store",
                                     self.store())
        assert "by ada: first" in shown
        await self.remove("noisy")
        await self.until_shown("limits: 0 as of")
        await self.expect(0, "lots", LOAD, LOAD)
        log = self.logs()
        assert "event=limits limits=1 names=noisy" in log
        assert "event=limited" in log and "limit=noisy reason=rate" in log

    async def hour(self):
        """A route that is shed for an hour, and a flow that was open."""
        await self.start(True)
        caller, dst = self.callers[0], address("lots")
        src = (caller.ip, next(caller.ports))
        queue = asyncio.Queue()
        caller.waiting[(src[1], dst)] = queue
        opened = await caller.open(src, dst, queue)
        assert opened is not None
        await self.set({"name": "hour", "route": "lots", "new_flows_per_s": 0,
                        "per": "balancer", "until": int(time.time()) + 3600})
        await self.until_shown("limit hour on lots: in force")
        await self.expect(0, "lots", 0, 0)
        await self.expect(0, "albums", LOAD, LOAD)
        caller.send(pk.Packet(src, dst, pk.ACK, 101,
                              opened.seq + 1 & 0xffffffff, b"late"))
        packet = await caller.receive(queue, 2, lambda p: p.data)
        assert packet is not None and packet.data == b"lots:late", packet
        await self.remove("hour")
        await self.until_shown("limits: 0 as of")
        await self.expect(0, "lots", LOAD, LOAD)

    async def urgent(self):
        """A service that keeps its room for its most urgent route."""
        await self.start(True)
        config = self.fixture.store.get("config", "main")["spec"]
        routes = [route | {"priority": 0} for route in config["routes"]]
        bulk = routes[0] | {"name": "bulk", "host": BULK[0], "priority": 5}
        self.fixture.store.put("config", "main", config | {
            "version": 2, "routes": routes + [bulk]})
        await self.until_shown("version 2, 3 routes")
        await self.set({"name": "room", "service": "lots",
                        "shed_below_priority": 1})
        await self.until_shown("limit room on lots: in force")
        await self.expect(0, "lots", LOAD, LOAD)
        bulk_dst = (number(BULK[0]), BULK[1])
        await self.expect(0, "lots", 0, 0, bulk_dst)
        await self.remove("room")
        await self.until_shown("limits: 0 as of")
        await self.expect(0, "lots", LOAD, LOAD, bulk_dst)

    async def store_away(self):
        """A limit that ends while the store is away."""
        await self.start(True)
        until = int(time.time()) + 6
        await self.set({"name": "brief", "service": "lots",
                        "new_flows_per_s": 0, "per": "balancer",
                        "until": until})
        await self.until_shown("limit brief on lots: in force")
        self.fixture.store.unavailable = True
        await asyncio.sleep(0.5)
        if time.time() < until - 2:
            await self.expect(0, "lots", 0, 0)
        await asyncio.sleep(max(0, until - time.time()) + 0.2)
        await self.until_shown("limit brief on lots: not in force now")
        await self.expect(0, "lots", LOAD, LOAD)
        self.fixture.store.unavailable = False

    async def store_older(self):
        """The store comes back from a copy without the latest limits."""
        await self.start(True)
        limit = {"name": "kept", "callers": f"{NET}.3.1/32",
                 "new_flows_per_s": 0, "per": "balancer"}
        await self.set(limit)
        await self.until_shown("limit kept on")
        await asyncio.sleep(1)
        seen = self.fixture.store.get(KIND, "main")["meta"]["rev"]
        await self.set(limit, {"name": "lost", "service": "lots",
                               "new_flows_per_s": 0, "per": "balancer"},
                       revision=seen)
        await self.until_shown("limit lost on lots")
        await self.expect(1, "lots", 0, 0)
        # The store forgets the second write, which is seconds old by now.
        age_s = time.monotonic() - next(
            entry[4] for entry in reversed(self.fixture.store.history)
            if entry[1] == KIND)
        self.fixture.store.restore(age_s + 0.5)
        await self.until_shown(f"limits: 1 as of revision {seen}",
                               STALE_S + FOLLOW_S)
        await self.expect(1, "lots", LOAD, LOAD)
        await self.expect(0, "lots", 0, 0)

    async def malformed(self):
        """A document that somebody wrote past the command."""
        await self.start(True)
        await self.set({"name": "kept", "service": "lots",
                        "new_flows_per_s": 0, "per": "balancer"})
        await self.until_shown("limit kept on lots: in force")
        self.fixture.store.put(KIND, "main", {"limits": [{"name": "kept"}]})
        end = time.monotonic() + FOLLOW_S
        while self.logs().count("event=limits_refused") < BALANCERS:
            assert time.monotonic() < end, "no limits_refused"
            await asyncio.sleep(0.1)
        assert "found nothing, expected exactly one of service" in self.logs()
        await self.until_shown("limit kept on lots: in force")
        await self.expect(0, "lots", 0, 0)

    async def start_away(self):
        """A balancer that starts while the store is away has no limits and
        says so; it follows them once the store is back."""
        await self.start(True)
        await self.set({"name": "kept", "service": "lots",
                        "new_flows_per_s": 0, "per": "balancer"})
        await self.until_shown("limit kept on lots: in force")
        self.fixture.store.unavailable = True
        for i in range(BALANCERS):
            await self.fixture.kill(f"balancer-{i + 1}")
            self.fixture.start("relay-balancer", f"balancer-{i + 1}",
                               f"{NET}.1.{i + 1}")
        await self.until_shown("limits: not read from the store yet")
        self.fixture.store.unavailable = False
        await self.until_shown("limit kept on lots: in force")
        await self.expect(0, "lots", 0, 0)

    async def off(self):
        """The setting is off: no effect, no call, no output."""
        await self.start(False)
        await self.set({"name": "all", "callers": "0.0.0.0/0",
                        "new_flows_per_s": 0, "per": "balancer"})
        before = self.fixture.store.calls_by_kind[KIND]
        await asyncio.sleep(3)
        await self.expect(0, "lots", LOAD, LOAD)
        assert self.fixture.store.calls_by_kind[KIND] == before == 1
        text = await self.swiftarch("relay-show",
                                    *self.fixture.addresses()[:BALANCERS])
        assert "limit" not in text


async def run(stories, name):
    """Run one story."""
    await getattr(stories, name.replace("-", "_"))()
    record = stories.fixture.record
    assert record["garbled"] == 0, "a packet was corrupted"
    stories.fixture.stop_endpoints()


def main():
    """Run the story given on the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--story", required=True, choices=(
        "noisy", "hour", "urgent", "store-away", "store-older",
        "malformed", "start-away", "off"))
    parser.add_argument("--binary",
                        default=str(ROOT / "build/src/cli/swiftarch"))
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="relaybed-") as folder:
        stories = Stories(args.binary, folder)
        try:
            asyncio.run(run(stories, args.story))
        except AssertionError as error:
            print(f"{args.story}: {error}")
            return 1
        finally:
            stories.fixture.stop_processes()
    print(f"{args.story}: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
