#!/bin/sh
# Prepares the stand-ins of cases 4 to 8. They are Python and use the standard library only, so this checks that each compiles.
set -eu
cd "$(dirname "$0")"
for source in fleet2.py [4-8]/case.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source"
done
