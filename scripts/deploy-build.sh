#!/bin/sh
# Builds what deploy/system.toml names from a clean checkout of the last commit,
# with its own command, and asks both programs for their version and for the
# findings on a wrong settings file.
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
    echo "$program --check did not name a wrong setting" >&2
    cat findings.txt
    exit 1
  fi
done
echo "deploy build good"
