#!/bin/sh
# With TROUBLE=0 the disruption is left out.
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
timeout -k 4 115 python3 run.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
