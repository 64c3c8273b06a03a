"""A SIGHUP before a process has read its settings doesn't end it.

python3 -m scripts.relaybed.early_reload [--binary FILE]

The settings file is a FIFO, so that the process is known to wait for it when
the signal comes. Exits 1 if the signal ended a process.
"""

import argparse
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

from scripts.relaybed.__main__ import ROOT

# Exit code for invalid settings.
SETTINGS_INVALID = 2


def exit_code(binary, role, folder):
    """Exit code of a process that gets a SIGHUP and then empty settings."""
    path = pathlib.Path(folder) / f"{role}.json"
    os.mkfifo(path)
    with subprocess.Popen([binary, role, "--settings", str(path)],
                          stderr=subprocess.DEVNULL) as process:
        # Opens when the process opens the other end.
        with path.open("w") as settings:
            process.send_signal(signal.SIGHUP)
            settings.write("{}")
        return process.wait(timeout=30)


def main():
    """Try both roles; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary",
                        default=str(ROOT / "build/src/cli/swiftarch"))
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="early-reload-") as folder:
        codes = {role: exit_code(args.binary, role, folder)
                 for role in ("relay-balancer", "relay-agent")}
    print(codes)
    return 1 if set(codes.values()) != {SETTINGS_INVALID} else 0


if __name__ == "__main__":
    sys.exit(main())
