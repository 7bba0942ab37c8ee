#!/bin/sh
# Runs one scenario on a fleet of real processes on loopback and prints its
# result as one JSON line. Usage:
#   scripts/trial.sh SCENARIO [SEED]   the scenario "list" prints the names
# Logs and data are kept if the run fails or CACTUS_KEEP is set.
set -eu
cd "$(dirname "$0")/.."
scenario=${1:?usage: scripts/trial.sh SCENARIO [SEED]}
seed=${2:-1}
[ -x build/bin/cactus-trial ] || { cmake --preset release && cmake --build build; } >/dev/null
folder=$(mktemp -d "${TMPDIR:-/tmp}/cactus-trial.XXXXXX")
status=0
CACTUS_BIN=$PWD/build/bin build/bin/cactus-trial --scenario "$scenario" \
  --seed "$seed" --folder "$folder/run" || status=$?
if [ "$status" -eq 0 ] && [ -z "${CACTUS_KEEP:-}" ]; then
  rm -rf "$folder"
else
  echo "logs and data: $folder" >&2
fi
exit "$status"
