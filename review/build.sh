#!/usr/bin/env bash
# The stand-ins of the cases are Python with the standard library alone: nothing is compiled. Checks that they can be read
# by the environment that the build of the deploy file has made.
set -euo pipefail
cd "$(dirname "$(readlink -f "$0")")"
../.venv/bin/python - rig.py bad_clients.py ./*/case.py <<'CHECK'
import ast
import sys

for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
