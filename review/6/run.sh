#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption; case.py reads it.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/src/cli/swiftarch ] || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD" exec python3 "$here/case.py"
