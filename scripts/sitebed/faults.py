"""Failures that are made while load runs, one function for each name."""

import json
import random
import signal
import threading
import time

FREEZE_S = 3.0
OUTAGE_S = 4.0


def edited_text(site, name, queue):
    """Write the text with another queue limit; returns its path."""
    text = json.loads(site.topology.text_path.read_text())
    limits = text["services"][0].setdefault("limits", {})
    limits["queue"] = queue
    path = site.folder / f"{name}.json"
    path.write_text(json.dumps(text, indent=2) + "\n")
    return path


def move_first(text, address):
    """Give the first service another address."""
    text["services"][0]["address"] = address


def remove_first(text):
    """Take the first service out of a text, and all that names it."""
    name = text["services"].pop(0)["name"]
    for service in text["services"]:
        depends = service.get("depends_on", [])
        service["depends_on"] = [d for d in depends if d != name]


def running_agents(site, service=None):
    return [a for a in site.topology.agents
            if a.running and (service is None or a.service == service)]


class Faults:
    """Makes failures at a site; remembers what its report must know."""

    def __init__(self, site, seed):
        self.site = site
        self.random = random.Random(seed)
        self.dead_agents = []
        self.config_ms = []
        self.failures = []

    def pick(self, hosts):
        return self.random.choice(hosts)

    def none(self):
        self.apply_and_measure(70)

    def balancer_kill(self):
        host = self.pick([b for b in self.site.topology.balancers
                          if b.running])
        self.site.note(f"kill {host.name}")
        self.site.kill(host)

    def balancer_join(self):
        host = self.site.topology.balancers[3]
        self.site.note(f"start {host.name}")
        self.site.start(host)
        self.site.wait_ready([host], "balancer")

    def balancer_stop(self):
        host = self.pick([b for b in self.site.topology.balancers
                          if b.running])
        self.site.note(f"SIGTERM {host.name}")
        host.ended = "stopped"
        self.site.signal(host, signal.SIGTERM)

    def agent_kill(self):
        host = self.pick(running_agents(self.site,
                                        self.site.topology.first_service))
        self.site.note(f"kill agent {host.name}")
        self.dead_agents.append(host.name)
        self.site.kill(host)

    def agent_stop(self):
        """A planned stop of an agent while its upstream goes on."""
        host = self.pick(running_agents(self.site,
                                        self.site.topology.first_service))
        upstream = next(u for u in self.site.topology.upstreams
                        if u.settings["name"] == host.name)
        self.site.note(f"SIGTERM agent {host.name}")
        host.ended = upstream.ended = "stopped"
        self.site.signal(host, signal.SIGTERM)

    def agent_freeze(self):
        host = self.pick(running_agents(self.site,
                                        self.site.topology.first_service))
        self.site.note(f"freeze agent {host.name} for {FREEZE_S} s")
        self.site.signal(host, signal.SIGSTOP)
        time.sleep(FREEZE_S)
        self.site.signal(host, signal.SIGCONT)
        self.site.note(f"agent {host.name} goes on")

    def upstream_drain(self):
        host = self.pick([u for u in self.site.topology.upstreams
                          if u.running and
                          u.service == self.site.topology.first_service])
        self.site.note(f"drain {host.name}")
        host.ended = "drained"
        self.site.signal(host, signal.SIGUSR1)

    def upstream_join(self):
        agent, upstream = self.site.topology.spare_agent()
        if agent.running:
            return
        self.site.note(f"start {agent.name} and its upstream")
        self.site.start(agent)
        self.site.start(upstream)

    def platform_outage(self):
        self.site.note(f"platform down for {OUTAGE_S} s")
        self.site.platform("PUT", "/fault?mode=down")
        time.sleep(OUTAGE_S)
        self.site.platform("PUT", "/fault?mode=none")
        self.site.note("platform up")
        time.sleep(0.5)
        self.apply_and_measure(71)

    def platform_lost_answer(self):
        self.site.note("platform loses the answer of the next write")
        self.site.platform("PUT", "/fault?mode=lose-answer&count=1")
        self.apply_and_measure(72)

    def config_race(self):
        self.site.note("two operators apply at once")
        paths = [edited_text(self.site, f"race-{n}", 80 + n)
                 for n in range(2)]
        codes = [None, None]

        def run(n):
            codes[n] = self.site.apply(paths[n]).returncode

        threads = [threading.Thread(target=run, args=(n,)) for n in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if 0 not in codes or not set(codes) <= {0, 3}:
            self.failures.append(f"race of operators ended with {codes}")
        self.apply_and_measure(73)

    def update_skew(self):
        host = self.pick([b for b in self.site.topology.balancers
                          if b.running])
        self.site.note(f"{host.name} misses a join and a drain")
        self.site.signal(host, signal.SIGSTOP)
        self.upstream_join()
        self.upstream_drain()
        time.sleep(1.5)
        self.site.signal(host, signal.SIGCONT)

    def service_moves(self):
        """Move the first service twice, remove it, bring it back."""
        self.apply_edit("moved", lambda t: move_first(t, "10.20.0.77"))
        self.apply_edit("moved-again", lambda t: move_first(t, "10.20.0.78"))
        self.apply_edit("removed", remove_first)
        self.apply_edit("back", lambda t: None)

    def apply_edit(self, name, change):
        """Apply the site's text with a change and wait until it is in
        force everywhere, then a little longer."""
        text = json.loads(self.site.topology.text_path.read_text())
        change(text)
        path = self.site.folder / f"{name}.json"
        path.write_text(json.dumps(text, indent=2) + "\n")
        self.apply_path(path)
        time.sleep(1.0)

    def chaos(self):
        names = ["balancer_kill", "agent_kill", "agent_freeze",
                 "upstream_drain", "upstream_join", "platform_outage",
                 "balancer_join"]
        threads = []
        for name in self.random.sample(names, 4):
            threads.append(threading.Thread(target=getattr(self, name)))
            threads[-1].start()
            time.sleep(self.random.uniform(0.2, 1.5))
        for thread in threads:
            thread.join()

    def apply_and_measure(self, queue):
        """Apply an edit of a limit; see apply_path()."""
        self.apply_path(edited_text(self.site, f"edit-{queue}", queue))

    def apply_path(self, path):
        """Apply a text and measure until it is in force everywhere."""
        hosts = self.site.topology.balancers + self.site.topology.agents
        names = [h.name for h in hosts if h.running]
        start = time.monotonic()
        before = max((v or 0 for v in self.site.versions().values()),
                     default=0)
        reply = self.site.apply(path)
        if reply.returncode != 0:
            self.failures.append(
                f"apply ended with {reply.returncode}: {reply.stderr}")
            return
        applied = time.monotonic()
        took = self.site.wait_in_force(before + 1, names, 10)
        if took is None:
            self.failures.append("a configuration was not in force after "
                                 "10 s")
            return
        self.config_ms.append((time.monotonic() - applied) * 1000.0)
        self.site.note(f"configuration in force, {took:.0f} ms after apply "
                       f"({(applied - start) * 1000.0:.0f} ms)")


NAMES = ["none", "balancer-kill", "balancer-join", "balancer-stop",
         "agent-kill", "agent-stop", "agent-freeze", "upstream-drain", "upstream-join",
         "platform-outage", "platform-lost-answer", "config-race",
         "update-skew", "service-moves", "chaos"]
