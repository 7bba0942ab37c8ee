#!/bin/sh
# Installs the missing Debian packages of packages.txt and of the arguments.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
missing=
for package in $(cat "$here/packages.txt") "$@"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok' \
    || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
apt-get update -q >/dev/null
DEBIAN_FRONTEND=noninteractive apt-get install -y -q $missing >/dev/null
