#!/usr/bin/env python3
"""Checks that no global symbol of the binary is exported by its libraries.

The dynamic linker would make the library call our function, not its own.

usage: symbols.py BINARY OBJECT_FOLDER...
"""

import pathlib
import subprocess
import sys


def names(command):
    """Returns the global names that nm prints, without versions."""
    out = subprocess.run(command, check=True, capture_output=True, text=True)
    lines = [line.split() for line in out.stdout.splitlines()]
    return {parts[2].split("@")[0] for parts in lines if len(parts) == 3}


def main():
    """Returns 1 if a symbol is defined on both sides."""
    binary, folders = sys.argv[1], sys.argv[2:]
    objects = [str(path) for folder in folders
               for path in pathlib.Path(folder).rglob("*.o")]
    ours = names(["nm", "-g", "--defined-only", *objects])
    ldd = subprocess.run(["ldd", binary], check=True, capture_output=True,
                         text=True)
    both = set()
    for line in ldd.stdout.splitlines():
        parts = line.split()
        if len(parts) > 2 and parts[2].startswith("/"):
            both |= ours & names(["nm", "-D", "--defined-only", parts[2]])
    for name in sorted(both):
        print(f"{name} is also exported by a library")
    if not ours:
        print("no object file found")
    return 1 if both or not ours else 0


if __name__ == "__main__":
    sys.exit(main())
