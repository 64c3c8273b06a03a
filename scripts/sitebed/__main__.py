"""One run of a site: start, load, fault, stop, report."""

import argparse
import json
import pathlib
import shutil
import sys
import tempfile
import threading
import time

from . import faults, report
from .run import RunError, Site
from .topology import Host, SITES, Topology

WARM_UP_S = 4.0


def parse_arguments():
    parser = argparse.ArgumentParser(
        prog="scripts/demo", description="Run one site under load; exit 0 "
        "when nothing was broken that the fault does not explain.")
    parser.add_argument("--site", choices=sorted(SITES), default="dar")
    parser.add_argument("--fault", choices=faults.NAMES, default="none")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--load", type=float, default=0.5,
                        help="share of the upstreams' capacity (0.5)")
    parser.add_argument("--keep", metavar="DIR",
                        help="keep logs and records in DIR")
    parser.add_argument("--udp", action="store_true",
                        help="add a datagram service and its load")
    parser.add_argument("--trace", action="store_true",
                        help="write traces beside the logs")
    return parser.parse_args()


def start_site(site):
    """Start every process but the spares and the caller."""
    topology = site.topology
    platform = Host("platform", "platform",
                    {"listen": topology.platform_address})
    command = [str(pathlib.Path("build/standin/platform/standin-platform")
                   .resolve()), "--listen", topology.platform_address]
    site.spawn(platform, command)
    deadline = time.monotonic() + 5
    while site.platform("GET", "/stats") is None:
        if time.monotonic() > deadline:
            raise RunError("the platform did not answer; see platform.log")
        time.sleep(0.05)
    applied = site.apply(topology.text_path)
    if applied.returncode != 0:
        raise RunError(f"apply: {applied.stdout}{applied.stderr}")
    spare_agent, spare_upstream = topology.spare_agent()
    agents = [a for a in topology.agents if a is not spare_agent]
    upstreams = [u for u in topology.upstreams if u is not spare_upstream]
    for host in topology.balancers[:3] + agents:
        site.start(host)
    for host in upstreams:
        site.start(host)
    site.wait_ready(topology.balancers[:3] + agents, "process")
    site.start(topology.fabric())


def control_bytes(site, before, elapsed):
    """Control bytes a second of the mean node, both directions."""
    rates = []
    for host, old in before:
        if not host.running:
            continue
        new = site.metrics(host)
        names = [n for n in new if n.startswith("swiftarch_control_bytes")]
        if names:
            rates.append(sum(new[n] - old.get(n, 0) for n in names) / elapsed)
    return round(sum(rates) / len(rates), 1) if rates else None



def run_load(site, maker, seconds, fault):
    """Run the caller and make the fault a third into it."""
    caller = site.topology.caller()
    nodes = [h for h in site.topology.balancers + site.topology.agents
             if h.running]
    before = [(host, site.metrics(host)) for host in nodes]
    start = time.monotonic()
    site.start(caller)
    time.sleep(seconds / 3.0)
    act = getattr(maker, fault.replace("-", "_"))
    thread = threading.Thread(target=act)
    thread.start()
    caller.process.wait(timeout=seconds + 30)
    thread.join(timeout=30)
    control = control_bytes(site, before, time.monotonic() - start)
    if caller.process.returncode != 0:
        raise RunError(f"the caller ended with {caller.process.returncode}; "
                       "see caller.log")
    return control


def judge(values, maker, left):
    """What the run did not meet, as sentences."""
    results = list(maker.failures)
    for key in report.MUST_BE_ZERO:
        if values[key]:
            results.append(f"{key} is {values[key]}, not 0")
    if values["broken"] != values["broken_on_dead_host"]:
        results.append("flows broke that no dead host owned")
    if not values["answered"]:
        results.append("no request was answered")
    results += [f"{name} did not stop by itself" for name in left]
    return results


def write_settings(topology, arguments):
    """Write what all processes share; turn traces on when asked."""
    topology.trace = arguments.trace
    if arguments.trace:
        for host in topology.balancers + topology.agents:
            host.settings["trace_file"] = str(
                topology.folder / f"trace-{host.name}.jsonl")
            host.settings["trace_sample"] = 1
    (topology.folder / "operator.json").write_text(
        json.dumps(topology.operator, indent=2) + "\n")


def main():
    arguments = parse_arguments()
    folder = pathlib.Path(arguments.keep or
                          tempfile.mkdtemp(prefix="swiftarch-demo-"))
    folder = folder.resolve()
    folder.mkdir(parents=True, exist_ok=True)
    if arguments.keep and any(folder.iterdir()):
        print(f"demo: {folder} is not empty; records of an earlier run "
              "would be counted again", file=sys.stderr)
        return 2
    topology = Topology(arguments.site, folder, arguments.seed,
                        arguments.seconds, arguments.load, arguments.udp)
    write_settings(topology, arguments)
    site = Site(topology)
    maker = faults.Faults(site, arguments.seed)
    left = []
    try:
        start_site(site)
        time.sleep(WARM_UP_S)
        control = run_load(site, maker, arguments.seconds, arguments.fault)
    except RunError as error:
        print(f"demo: {error}", file=sys.stderr)
        print(f"demo: logs are in {folder}", file=sys.stderr)
        return 1
    finally:
        left = site.stop_all()
    steady = [u.settings["name"] for u in topology.upstreams
              if u.service == topology.first_service and u.process and
              not u.ended]
    values = report.summarise(folder, steady, topology.first_service,
                              maker.dead_agents)
    values |= {"site": arguments.site, "fault": arguments.fault,
               "seed": arguments.seed, "seconds": arguments.seconds,
               "control_bytes_per_node_s": control,
               "config_in_force_ms": round(max(maker.config_ms), 1)
               if maker.config_ms else None}
    results = judge(values, maker, left)
    results += report.judge_datagrams(folder, arguments.udp)
    if results:
        print(f"demo: logs are in {folder}", file=sys.stderr)
    report.print_table(values, site.events, results)
    if results:
        return 1
    if not arguments.keep:
        shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
