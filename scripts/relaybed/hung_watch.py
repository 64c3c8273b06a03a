"""Balancers apply changes in time after a silence of the store.

python3 -m scripts.relaybed.hung_watch [--binary FILE]

The store's responses are lost for a while, during which the configuration
changes: the balancers' watches are never answered. Later, with the store at
work, it changes again. Exits 1 if a balancer goes by an older version later
than APPLY_S after that change.
"""

import argparse
import asyncio
import re
import subprocess
import sys
import tempfile

from scripts.relaybed.__main__ import BALANCERS, ROOT, RelayFixture
from scripts.relaybed.proxy import Proxy

# Until the balancers' watches wait long.
WARM_S = 7.0
SILENT_S = 1.5
# From the end of the silence to the last change: the store counts as stable.
STABLE_S = 4.0
# A change is in force by then.
APPLY_S = 3.0


def versions(fixture):
    """Versions that are in force, by relay-show."""
    balancers = fixture.addresses()[:BALANCERS]
    done = subprocess.run([fixture.binary, "relay-show", *balancers],
                          check=False, capture_output=True, text=True)
    return [int(text) for text in re.findall(r"version (\d+)", done.stdout)]


async def run(fixture):
    """Play the silence; returns the versions in force at the end."""
    proxy = Proxy(fixture.store_port)
    fixture.store_port = await proxy.start()
    await fixture.start_all()
    await asyncio.sleep(WARM_S)
    proxy.set_mode("one-way")
    await asyncio.sleep(SILENT_S / 2)
    fixture.config(2)
    await asyncio.sleep(SILENT_S / 2)
    proxy.set_mode("pass")
    await asyncio.sleep(STABLE_S)
    fixture.config(3)
    await asyncio.sleep(APPLY_S)
    found = await asyncio.to_thread(versions, fixture)
    fixture.stop_endpoints()
    proxy.close()
    return found


def main():
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary",
                        default=str(ROOT / "build/src/cli/swiftarch"))
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="hung-watch-") as folder:
        fixture = RelayFixture(args.binary, folder)
        try:
            found = asyncio.run(run(fixture))
        finally:
            fixture.stop_processes()
        logs = fixture.logs()
    print("versions in force:", found)
    if found != [3] * BALANCERS:
        print(logs)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
