#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# Builds the stand-ins that the scripts in review/ start: they are plain Python without dependencies, so this only
# compiles them, to show that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for source in ./*.py ./*/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
