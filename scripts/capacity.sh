#!/bin/sh
# Runs every benchmark RUNS times (default 5) and prints the tables of
# docs/CAPACITY.md. Needs a finished build in build/. Usage:
#   scripts/capacity.sh [RUNS]
# build/capacity.json keeps the JSON lines that the benchmarks print. A
# benchmark that fails or takes over 300 s is reported, and the others run on.
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
    timeout 300 "build/bin/$name" --json >>build/capacity.json \
      || echo "$name failed with status $? (124: stopped after 300 s)" >&2
  done
done
build/bin/cactus-capacity <build/capacity.json
