#!/usr/bin/env python3
"""Run the tests of a build folder and judge them against KNOWN-RED.txt.

A test named in KNOWN-RED.txt may fail (it is printed); any other failure
fails the run. The last line reads "N passed, N failed, N skipped".
"""

import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def known_red():
    """Names of the tests that KNOWN-RED.txt lists."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return {}
    lines = path.read_text().splitlines()
    rows = [line for line in lines if line.strip() and line[0] != "#"]
    return {row.split(":")[0].split(",")[0].strip(): row for row in rows}


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build")
    command = ["meson", "test", "-C", str(build), "--no-rebuild",
               "--print-errorlogs"]
    status = subprocess.run(command, check=False).returncode
    log = ROOT / build / "meson-logs" / "testlog.json"
    rows = [json.loads(line) for line in log.read_text().splitlines()]
    red = known_red()
    passed = failed = skipped = allowed = 0
    for row in rows:
        name = row["name"].split(" / ")[-1].strip()
        if row["result"] == "OK":
            passed += 1
        elif row["result"] == "SKIP":
            skipped += 1
        elif name in red:
            allowed += 1
            print(f"known red: {red[name]}")
        else:
            failed += 1
            print(f"failed: {name}: {row['result']}")
    if status != 0 and failed == 0 and allowed == 0:
        print(f"meson test ended with {status} without a failed test")
        failed += 1
    if passed == 0:
        print("no test passed")
        failed = max(failed, 1)
    print(f"{passed} passed, {failed} failed, {skipped + allowed} skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
