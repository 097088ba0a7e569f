#!/bin/sh
# Builds what the cases from 6 on start beside the router. Their stand-ins are Python of the standard library alone
# (stand2.py and the case.py of each folder), run by the environment of the deploy file's build: nothing is downloaded.
cd "$(dirname "$0")" || exit 1
test -x ../.venv/bin/python || { echo "run the build of the deploy file first" >&2; exit 1; }
for file in stand2.py [0-9]*/case.py; do
    case $file in [1-5]/*) continue ;; esac
    ../.venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
