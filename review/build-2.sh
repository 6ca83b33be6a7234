#!/bin/sh
# Builds the stand-ins of the second review: Python without dependencies, so each is only compiled,
# in memory, with the interpreter that runs the cases.
cd "$(dirname "$0")" || exit 2
exec python3 - stand_ins_2/fleet.py 4/case.py 5/case.py 6/case.py <<'PYTHON'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
print("the stand-ins compile")
PYTHON
