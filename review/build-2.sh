#!/bin/sh
# The stand-ins of the cases 4 to 8 are Python 3 programs, these and the
# project's own store: nothing has to be built. Check that they can be read.
set -eu
cd "$(dirname "$0")/.."
for file in review/standin2/*.py review/[5-8]/*.py scripts/relaybed/store.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
