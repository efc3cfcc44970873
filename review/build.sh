#!/usr/bin/env bash
# Compiles the stand-ins of the cases; they need Python 3.11 and nothing else.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
for scenario in [0-9]*/scenario.py; do
  [ -e "$scenario" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$scenario"
done
