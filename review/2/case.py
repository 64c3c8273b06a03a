"""The store turns both front nodes away by silence for some seconds while the
operator changes the configuration; later, while all is well, it changes again.
Exits 1 if requests are then handled by an older version, 0 if not, 2 if the
case couldn't run."""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))

from review.standin.deployment import (  # pylint: disable=wrong-import-position
    PARAMS, SERVICE, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEPT = [(443, "lots", "unsafe"), (8080, "albums", "download")]
REMOVED, ADDED, SHORT = (1001, "lots", "safe"), \
    (1002, "lots", "safe"), (1003, "lots", "safe")
RATE_S = 40
# Requests a second to each ready node on routes just added or removed.
TESTS_S = 5
# The deployment runs undisturbed.
WARM_S = 25.0
# From a change of the configuration to the silence, and its length.
CALM_S = 4.0
SILENT_S = 3.0
# From the end of the silence to the last change: more than stableMs.
STABLE_S = 4.4
AFTER_S = 9.0


async def load(deployment, until):
    """Requesters: a flow for each request."""
    tasks = []
    i = 0
    while not until.is_set():
        caller = random.choice(deployment.callers)
        port, _, kind = KEPT[i % 5 == 4]
        tasks.append(asyncio.create_task(caller.flow((SERVICE, port),
                                                     kind)))
        i += 1
        await asyncio.sleep(random.expovariate(RATE_S))
    await asyncio.gather(*tasks)


async def tests(deployment, until):
    """Flows to each ready node on routes that were added or removed."""
    tasks = []
    while not until.is_set():
        for node in deployment.fronts:
            if deployment.router.misses[node]:
                continue
            for port, _, _ in (REMOVED, ADDED):
                caller = random.choice(deployment.callers)
                tasks.append(asyncio.create_task(caller.flow(
                    (SERVICE, port), f"test{port}", node=node)))
        await asyncio.sleep(1 / TESTS_S)
    await asyncio.gather(*tasks)


async def run(deployment, record):
    """Play the case; returns the requests handled by an older version."""
    store = deployment.store
    await deployment.start(KEPT + [REMOVED])
    until = asyncio.Event()
    loads = [asyncio.create_task(load(deployment, until))]
    await asyncio.sleep(WARM_S)
    await deployment.configure(KEPT + [REMOVED], timeout_ms=1900)
    await asyncio.sleep(CALM_S)
    if TROUBLE:
        store.silent = set(deployment.fronts)
    record.write("silence_begins", trouble=int(TROUBLE),
                 machines=len(store.silent),
                 watches=[(machine, round(time.monotonic() - at, 1), wait_s,
                           stale) for (machine, kind), (at, wait_s, stale)
                          in store.open_watches.items() if kind == "config"])
    await asyncio.sleep(SILENT_S / 3)
    await deployment.configure(KEPT + [REMOVED, SHORT], step=2)
    await asyncio.sleep(SILENT_S * 2 / 3)
    store.silent = set()
    record.write("silence_ends", responses_lost=store.lost)
    await asyncio.sleep(STABLE_S)
    confirmed_at = await deployment.configure(KEPT + [ADDED], step=3)
    loads.append(asyncio.create_task(tests(deployment, until)))
    await asyncio.sleep(AFTER_S)
    until.set()
    await asyncio.gather(*loads)
    due = confirmed_at + PARAMS["configApplyMs"] / 1000
    old = [(kind, sent_at - confirmed_at, outcome)
           for kind, _, sent_at, outcome, _ in record.requests
           if sent_at > due and outcome != "deadline" and
           (kind, outcome == "answered") in
           (("test1001", True), ("test1002", False))]
    tested = sum(kind.startswith("test") and sent_at > due
                 for kind, _, sent_at, _, _ in record.requests)
    outcomes = {}
    for kind, _, outcome in old:
        outcomes[kind, outcome] = outcomes.get((kind, outcome), 0) + 1
    record.write("summary", tested_after_bound=tested, by_old_version=len(old),
                 outcomes=outcomes,
                 last=round(max((at for _, at, _ in old), default=0), 3))
    usual = [outcome for kind, _, _, outcome, _ in record.requests
             if not kind.startswith("test")]
    if tested == 0 or usual.count("answered") < 0.9 * len(usual):
        raise RuntimeError(f"{usual.count('answered')} of {len(usual)} "
                           f"requests answered, {tested} tests")
    return old


sys.exit(run_case(
    HERE, run, "event=(config|store_lost|store_reached|reader_started|"
    "reader_stopped|peer_asked) ",
    "requests handled by an older version, later than configApplyMs after the "
    "confirmation"))
