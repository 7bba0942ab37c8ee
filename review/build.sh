#!/bin/sh
# Builds the stand-ins of the cases into target/review.  Needs the build of the
# deploy file in target/bin, and the packages that it needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -Ireview/common"
for main in review/[1-5]/case.c; do
  [ -e "$main" ] || continue
  number=$(basename "$(dirname "$main")")
  # shellcheck disable=SC2046,SC2086
  cc $flags -o "target/review/case-$number" "$main" review/common/rig.c \
    $(pkg-config --cflags --libs glib-2.0) -lpthread
done
