#!/usr/bin/env bash
# Lays the program out under target/: its dependencies, and a copy of itself compiled once.
set -euo pipefail
digest() { cat "$@" | sha256sum | cut -c1-16; }

deps=target/.deps-$(digest constraints.txt deploy/requirements.txt deploy/build.sh)
if [ ! -e "$deps" ]; then
  rm -rf target/deps target/.deps-*
  python3 -m pip install -q -c constraints.txt -r deploy/requirements.txt --target target/deps
  python3 -m compileall -q -o 2 target/deps
  touch "$deps"
fi

mapfile -t sources < <(find packages/lanedock/lanedock packages/lanedock-daemon/lanedock_daemon platform \
  -type f -not -path '*/tests/*' -not -path '*/__pycache__/*' | LC_ALL=C sort)
app=target/.app-$(digest "${sources[@]}")
[ -e "$app" ] && [ -d target/app ] && exit 0
rm -rf target/app target/.app-* target/app.new
mkdir -p target/app.new
for source in "${sources[@]}"; do
  case $source in
    platform/*) kept=${source#platform/} ;;
    packages/lanedock/*) kept=${source#packages/lanedock/} ;;
    *) kept=${source#packages/lanedock-daemon/} ;;
  esac
  mkdir -p "target/app.new/$(dirname "$kept")"
  cp "$source" "target/app.new/$kept"
done
python3 -m compileall -q -o 2 target/app.new
mv target/app.new target/app
touch "$app"
