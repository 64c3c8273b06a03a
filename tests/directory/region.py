"""Runs two cells of a region as real processes behind one fabric.

Cell dar-a serves lots, cell dar-b albums; the fabric spreads all packets over
the balancers of both. Kills one gateway during the load. Prints TAP.
Usage: region.py BUILD_DIR
"""

import json
import pathlib
import shutil
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from scripts.sitebed import report, run  # noqa: E402
from scripts.sitebed.topology import Host, Topology  # noqa: E402

CELLS = {"dar-a": "lots", "dar-b": "albums"}
SECONDS = 18
DISCOVERY_S = 14
SEED = 5
LOAD = 0.3


def cell_of(host):
    """Return the cell of a host; balancers 1 and 2 belong to dar-a."""
    if host.program == "balancer":
        return "dar-a" if host.name in ("balancer-1", "balancer-2") \
            else "dar-b"
    return next(c for c, service in CELLS.items() if service == host.service)


def split(topology):
    """Split a topology of one cell into two cells."""
    hosts = topology.balancers + topology.agents
    first = {cell: next(h for h in hosts if cell_of(h) == cell)
             for cell in CELLS}
    for host in hosts:
        cell = cell_of(host)
        host.settings["cell"] = cell
        host.settings["object"] = f"config-{cell}"
        seed = first[cell].settings["control"]
        host.settings["seeds"] = \
            [] if host is first[cell] else [seed]
        host.settings["region_seeds"] = [
            h.settings["control"] for c, h in first.items() if c != cell]
    for cell, service in CELLS.items():
        services = [s for s in topology.text["services"]
                    if s["name"] == service]
        (topology.folder / f"config-{cell}.json").write_text(
            json.dumps({"services": services}))
        operator = {
            "platform": f"http://{topology.platform_address}",
            "seeds": [first[cell].settings["control"]],
            "site_key_file": "site.key",
            "object": f"config-{cell}",
        }
        (topology.folder / f"operator-{cell}.json").write_text(
            json.dumps(operator))


def start(site, build):
    """Start all processes but the caller, the fabric and the spares."""
    topology = site.topology
    platform = Host("platform", "platform",
                    {"listen": topology.platform_address})
    site.spawn(platform, [
        str(build / "standin" / "platform" / "standin-platform"),
        "--listen", topology.platform_address])
    deadline = time.monotonic() + 5
    while site.platform("GET", "/stats") is None:
        if time.monotonic() > deadline:
            raise run.RunError("the platform did not respond within 5 s")
        time.sleep(0.05)
    for cell in CELLS:
        done = site.cli("apply", f"config-{cell}.json", "--operator",
                        f"operator-{cell}.json")
        if done.returncode != 0:
            raise run.RunError(f"apply: {done.stdout}{done.stderr}")
    spare_agent, spare_upstream = topology.spare_agent()
    agents = [a for a in topology.agents if a is not spare_agent]
    for host in topology.balancers + agents:
        site.start(host)
    for host in topology.upstreams:
        if host is not spare_upstream:
            site.start(host)
    site.wait_ready(topology.balancers + agents, "process")


def metric(site, host, name):
    return site.metrics(host).get(f"swiftarch_{name}", 0)


def wait_discovery(site):
    """Wait until each balancer has the other cell's address.

    Returns the time in seconds.
    """
    begin = time.monotonic()
    while time.monotonic() - begin < DISCOVERY_S:
        if all(metric(site, b, "directory_addresses") == 1
               for b in site.topology.balancers):
            return time.monotonic() - begin
        time.sleep(0.1)
    raise run.RunError(
        f"the cells did not discover each other in {DISCOVERY_S} s")


def run_load(site):
    caller = site.topology.caller()
    site.start(caller)
    time.sleep(SECONDS / 3)
    site.kill(site.topology.balancers[3])
    caller.process.wait(timeout=SECONDS + 30)
    if caller.process.returncode != 0:
        raise run.RunError("the caller failed; see caller.log")


def forwarded_packets(site):
    """Return the packets to and from other cells at running balancers."""
    alive = [b for b in site.topology.balancers if b.running]
    return [sum(metric(site, b, f"packets_{way}_other_cells_total")
                for b in alive) for way in ("to", "from")]


def evaluate(values, discovery_s, packets, remaining):
    checks = {
        "cells discover each other": discovery_s <= DISCOVERY_S,
        "packets are forwarded": packets[0] > 0 and packets[1] > 0,
        "requests are answered": values["answered"] > 0,
        "no flow breaks": values["broken"] == 0,
        "all processes stop when asked": not remaining,
    }
    for key in report.MUST_BE_ZERO:
        checks[f"{key} is 0"] = not values[key]
    return checks


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="swiftarch-region-"))
    # Run the programs of the given build folder.
    run.ROOT = folder / "root"
    run.ROOT.mkdir()
    (run.ROOT / "build").symlink_to(build)
    topology = Topology("dar", folder, SEED, SECONDS, LOAD)
    split(topology)
    site = run.Site(topology)
    remaining = []
    try:
        start(site, build)
        discovery_s = wait_discovery(site)
        site.start(topology.fabric())
        time.sleep(4)
        run_load(site)
        packets = forwarded_packets(site)
    finally:
        remaining = site.stop_all()
    steady = [u.settings["name"] for u in topology.upstreams
              if u.service == "lots" and u.process]
    values = report.summarise(folder, steady, "lots", [])
    checks = evaluate(values, discovery_s, packets, remaining)
    print(f"1..{len(checks)}")
    print(f"# discovered after {discovery_s:.1f} s; packets to and from other "
          f"cells {packets}; logs in {folder}")
    print(f"# {json.dumps(values)}")
    for i, (name, passed) in enumerate(checks.items(), 1):
        print(f"{'ok' if passed else 'not ok'} {i} {name}")
    if not all(checks.values()):
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
