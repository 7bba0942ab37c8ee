#!/bin/sh
# Builds a clean checkout of the last commit with the build command of
# deploy/system.toml. Then checks that each program named there prints its
# version, and that --check names the misspelled key of a settings file.
set -eu
cd "$(dirname "$0")/.."
checkout=build/checkout
rm -rf "$checkout"
mkdir -p "$checkout"
git archive HEAD | tar -x -C "$checkout"
cd "$checkout"
command=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
sh -c "$command" >build.log 2>&1 || {
  tail -n 30 build.log
  exit 1
}
printf '[process]\nhost=h\nfirst-prt=1\n' >wrong.settings
for program in $(sed -n 's/^run = "\([^ "]*\).*"$/\1/p' deploy/system.toml); do
  "$program" --version
  status=0
  "$program" --check wrong.settings 2>findings.txt || status=$?
  if [ "$status" -ne 2 ] || ! grep -q 'first-prt' findings.txt; then
    echo "$program --check: expected status 2 and the key first-prt, got status $status and:" >&2
    cat findings.txt
    exit 1
  fi
done
echo "deployment build passed"
