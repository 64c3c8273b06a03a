"""A liveness report of another writer, without an address, while an endpoint
drains."""

import asyncio
import os
import sys
import time

from review.standin2 import bed as bed_module
from review.standin2 import drain
from review.standin2.endpoint import Endpoint

# TROUBLE=0 plays the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = bed_module.NET
BALANCERS = [f"{NET}.1.{i}" for i in (1, 2)]
AGENTS = [f"{NET}.2.{i}" for i in (1, 2, 3)]
SERVICE = "desk"
# drainMs of the site.
DRAIN_S = 5.0
ROUTE = (bed_module.Bed.number(f"{NET}.9.1"), 8443)


def foreign_report():
    """A report that names no endpoint to use: its address is missing."""
    return {"service": SERVICE, "zone": "here", "version": "v1", "slots": 2,
            "state": "ready", "warmupLeftMs": 0, "sequence": 3,
            "born": int(time.time() * 1000) - 3600}


async def case(bed):
    """Drain an endpoint; in between another writer reports."""
    bed.put_config(1, [{"name": "lookup", "host": f"{NET}.9.1",
                        "pathPrefix": "/8443/", "routeKind": "safe",
                        "timeoutMs": 1500, "targetLatencyMs": 300,
                        "priority": 2, "service": SERVICE}])
    await bed.start_balancers(BALANCERS)
    endpoints = []
    for host in AGENTS:
        bed.start("relay-agent", host, SERVICE)
        endpoint = Endpoint(bed, host, SERVICE)
        await endpoint.start()
        endpoints.append(endpoint)
    await bed.until_ready(len(BALANCERS))
    await asyncio.sleep(5)
    load = drain.Load(bed, [f"{NET}.3.1", f"{NET}.3.2"], ROUTE)
    await load.start()
    await asyncio.sleep(4)

    leaving = endpoints[0]
    leaving.drain()
    await asyncio.sleep(3)
    if TROUBLE:
        status = await bed.call(leaving.host, "PUT", "/instances/i-other",
                                foreign_report())
        bed.note(f"another writer's report without an address: {status}")
    await asyncio.sleep(8)
    before = len(leaving.accepted)
    await bed.call(leaving.host, "DELETE", f"/instances/{leaving.id}")
    leaving.crash()
    await load.stop()

    late = drain.count_after_drain(leaving, DRAIN_S, bed.note)
    bed.note(f"{load.sent} requests sent, {load.answered} answered, "
             f"{len(bed.ran)} run; {before} flows accepted by {leaving.id}, "
             f"{late} of them too late")
    if late is None or bed.garbled or load.answered < load.sent / 2:
        return bed_module.NOT_RUN
    return bed_module.BROKEN if late else bed_module.HELD


if __name__ == "__main__":
    sys.exit(bed_module.main(case))
