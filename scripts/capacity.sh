#!/bin/sh
# Measures every slope several times and prints the tables of docs/CAPACITY.md.
# Usage: scripts/capacity.sh [RUNS]; the lines go to build/capacity.json.
set -eu
cd "$(dirname "$0")/.."
runs=${1:-5}
CACTUS_BIN=$PWD/build/bin
CACTUS_SOURCE=$PWD
export CACTUS_BIN CACTUS_SOURCE
: >build/capacity.json
run=0
while [ "$run" -lt "$runs" ]; do
  run=$((run + 1))
  for source in bench/bench_*.c; do
    name=$(basename "$source" .c)
    echo "run $run of $runs: $name" >&2
    timeout 300 "build/bin/$name" --json >>build/capacity.json || echo "$name failed" >&2
  done
done
build/bin/cactus-capacity <build/capacity.json
