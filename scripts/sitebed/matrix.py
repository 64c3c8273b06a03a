"""Runs every fault at both sites and prints one Markdown row for each.

python3 -m scripts.sitebed.matrix [--seconds N] [--seed N] [--parallel N]
"""

import argparse
import concurrent.futures
import json
import pathlib
import subprocess
import sys

from .faults import NAMES
from .topology import ROOT, SITES

COLUMNS = ("flows broken broken_on_dead_host requests answered refused "
           "unknown refused_but_ran doubled crossed truncated wrong_service "
           "late_urgent urgent_p99_ms ordinary_p99_ms").split()


def run(site, fault, arguments):
    """Exit status and last line of one demo."""
    command = [sys.executable, "-m", "scripts.sitebed", "--site", site,
               "--fault", fault, "--seconds", str(arguments.seconds),
               "--seed", str(arguments.seed)]
    done = subprocess.run(command, capture_output=True, text=True,
                          cwd=ROOT, check=False)
    lines = done.stdout.splitlines()
    try:
        return done.returncode, json.loads(lines[-1])
    except (IndexError, ValueError):
        print(done.stderr, file=sys.stderr)
        return done.returncode or 1, {}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--parallel", type=int, default=2)
    parser.add_argument("--output", type=pathlib.Path)
    arguments = parser.parse_args()
    jobs = [(site, fault) for site in SITES for fault in NAMES]
    with concurrent.futures.ThreadPoolExecutor(arguments.parallel) as pool:
        ends = list(pool.map(lambda job: run(*job, arguments), jobs))
    rows = ["| site | fault | exit | " + " | ".join(COLUMNS) + " |",
            "| --- | --- | --- |" + " --- |" * len(COLUMNS)]
    for (site, fault), (status, values) in zip(jobs, ends):
        cells = [str(values.get(key, "-")) for key in COLUMNS]
        rows.append(f"| {site} | {fault} | {status} | " +
                    " | ".join(cells) + " |")
    text = "\n".join(rows) + "\n"
    if arguments.output:
        arguments.output.write_text(text)
    print(text, end="")
    return 1 if any(status for status, _ in ends) else 0


if __name__ == "__main__":
    sys.exit(main())
