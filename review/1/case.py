"""An endpoint is added, and the node beside it is restarted a moment later.
Exits 1 if a requester gets a reset of the system's own on a flow that its
living endpoint holds, 0 if not, 2 if the case couldn't run."""

import asyncio
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))

from review.standin.deployment import (  # pylint: disable=wrong-import-position
    SERVICE, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTES = [(443, "lots", "unsafe"), (8080, "albums", "download")]
FLOWS_S = 25
REQUESTS = 5
PAUSE_S = 1.5
WARM_S = 6.0
# From the start of the added machine's node to that of its endpoint.
ENDPOINT_S = 1.5
# From then to the stop of the node, and from its end to its next start.
STOP_S = 0.3
RESTART_S = 0.4
AFTER_S = 8.0


async def load(deployment, until):
    """Requesters: flows that are kept open for several requests."""
    tasks = []
    while not until.is_set():
        caller = random.choice(deployment.callers)
        tasks.append(asyncio.create_task(caller.flow(
            (SERVICE, 443), "unsafe", requests=REQUESTS,
            pause_s=random.uniform(0.7, 1.3) * PAUSE_S)))
        await asyncio.sleep(random.expovariate(FLOWS_S))
    await asyncio.gather(*tasks)


async def run(deployment, record):
    """Play the case; returns the resets of flows that are held."""
    cut = []
    original = record.request

    def on_request(kind, attempt, src, dst, sent_at, outcome, node):
        original(kind, attempt, src, dst, sent_at, outcome, node)
        holder = deployment.held_by(src, dst)
        if outcome == "reset_by_system" and holder is not None:
            cut.append(attempt)
            record.write("held_by", endpoint=holder.name, id=holder.id,
                         caller=src[1], attempt=attempt)
    record.request = on_request
    added = deployment.sides[0]
    await deployment.start(ROUTES, callers=6, later={added}, first_sequence=0)
    until = asyncio.Event()
    loads = asyncio.create_task(load(deployment, until))
    await asyncio.sleep(WARM_S)
    deployment.start_process(added)
    await asyncio.sleep(ENDPOINT_S)
    endpoint = deployment.endpoints[added]
    await endpoint.start()
    if TROUBLE:
        await asyncio.sleep(STOP_S)
        await deployment.stop_process(added, signal.SIGTERM)
        await asyncio.sleep(RESTART_S)
        deployment.start_process(added)
    record.write("node_back", flows_held=len(endpoint.flows),
                 sequence=endpoint.sequence)
    await asyncio.sleep(AFTER_S)
    until.set()
    await loads
    answered = sum(request[3] == "answered" for request in record.requests)
    never = sum(attempt not in record.runs for attempt in cut)
    record.write("summary", requests=len(record.requests), answered=answered,
                 cut=len(cut), cut_and_never_run=never)
    if answered < 0.8 * len(record.requests):
        raise RuntimeError(f"{answered} of {len(record.requests)} requests "
                           "answered")
    return cut


sys.exit(run_case(
    HERE, run, "evidence=|host=side-1 event=(started|stopping|stopped|endpoint) ",
    "flows reset by the system though their endpoint lives and holds them"))
