#!/bin/sh
# Installs missing packages, builds with warnings as errors, runs every test
# program and prints "N passed, N failed" last. Failures listed in
# KNOWN-RED.txt are printed but don't fail the run; a listed case that passes
# counts as passed.
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

# Runs $program with --tap and the given arguments; sets status.
run_tests() {
  status=0
  timeout -k 10 900 "$program" --tap "$@" >"$logs/$name.log" 2>"$logs/$name.err" </dev/null || status=$?
}

# Prints the case during which the test program ended early: the first one that
# the log holds no result line for.
aborted_case() {
  "$program" -l 2>/dev/null | grep '^/' | while read -r path; do
    if ! grep -qE "^(not )?ok [0-9]+ $path( |\$)" "$logs/$name.log"; then
      echo "$path"
      break
    fi
  done
}

is_known_red() {
  grep -qxF "test: $name $1" KNOWN-RED.txt 2>/dev/null
}

for source in tests/test_*.c; do
  name=$(basename "$source" .c)
  program=build/bin/$name
  run_tests
  if [ "$status" -ne 0 ] && ! grep -q '^not ok ' "$logs/$name.log"; then
    aborted=$(aborted_case)
    if [ -n "$aborted" ] && is_known_red "$aborted"; then
      red=$((red + 1))
      echo "known red: $name $aborted"
      tail -n 5 "$logs/$name.err"
      # The crash also kept the cases after it from running; run all others.
      run_tests -s "$aborted"
    fi
  fi
  ok=$(grep '^ok ' "$logs/$name.log" | grep -vc '# SKIP' || true)
  bad=$(grep '^not ok ' "$logs/$name.log" | sed 's/^not ok [0-9]* //' || true)
  passed=$((passed + ok))
  unexpected=0
  for case_path in $bad; do
    case "$case_path" in
    /*)
      if is_known_red "$case_path"; then
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
  # A program that crashes or times out prints no "not ok" line.
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
