#!/bin/sh
# Installs what is missing, builds with warnings as errors, runs every test
# program and ends with "N passed, N failed". Entries of KNOWN-RED.txt are run
# and printed, and don't fail the run.
set -eu
cd "$(dirname "$0")/.."
sh scripts/install.sh
cmake --preset release >/dev/null
cmake --build build
passed=0
failed=0
red=0
CACTUS_BIN=$PWD/build/bin
CACTUS_SOURCE=$PWD
export CACTUS_BIN CACTUS_SOURCE
logs=build/test-logs
mkdir -p "$logs"
for source in tests/test_*.c; do
  name=$(basename "$source" .c)
  program=build/bin/$name
  status=0
  timeout -k 10 900 "$program" --tap >"$logs/$name.log" 2>"$logs/$name.err" </dev/null || status=$?
  ok=$(grep -c '^ok ' "$logs/$name.log" || true)
  bad=$(grep '^not ok ' "$logs/$name.log" | sed 's/^not ok [0-9]* //' || true)
  passed=$((passed + ok))
  unexpected=0
  for case_path in $bad; do
    case "$case_path" in
    /*)
      if grep -qF "test: $name $case_path" KNOWN-RED.txt 2>/dev/null; then
        red=$((red + 1))
        echo "known red: $name $case_path"
      else
        failed=$((failed + 1))
        unexpected=1
        echo "FAILED: $name $case_path"
      fi
      ;;
    esac
  done
  # A crash ends the program before the failing case prints its line.
  if [ "$status" -ne 0 ] && [ -z "$bad" ]; then
    failed=$((failed + 1))
    unexpected=1
    echo "FAILED: $name ended with status $status"
  fi
  if [ "$unexpected" -ne 0 ]; then
    tail -n 30 "$logs/$name.log" "$logs/$name.err"
  else
    echo "$name: $ok ok"
  fi
done
if [ "$red" -gt 0 ]; then
  echo "known red cases: $red (see KNOWN-RED.txt)"
  cat KNOWN-RED.txt
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
