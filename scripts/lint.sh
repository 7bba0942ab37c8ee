#!/bin/sh
# Checks platform names, format (clang-format), clang-tidy and cppcheck. With
# --fix, only formats the files.
# Needs build/compile_commands.json (cmake --preset release).
set -eu
cd "$(dirname "$0")/.."
generated='^src/wire_(common|ledger|control|consensus|gossip|loan)(_xdr)?\.[ch]$'
files=$(git ls-files -co --exclude-standard '*.c' '*.h' | grep -Ev "$generated" || true)
sources=$(echo "$files" | grep '\.c$' || true)
if [ "${1:-}" = --fix ]; then
  echo "$files" | xargs clang-format -i
  exit 0
fi
echo "platform names"
# Names of the platform's protocol may not occur in src/, tools/, bench/ and
# fuzz/, except in files named platform_* and fuzz_platform*.
words=$(sed -n 's/^#define PLATFORM_[A-Z_]* "\(.*\)"$/\1/p' platform/platform_words.h \
  | grep -v '^Last-Event-Id$')
words=$(printf '%s\ntenant\nreplica\napiKeys\npathPrefix\nkvCapacityTokens' "$words")
if git ls-files -co --exclude-standard 'src/*' 'tools/*' 'bench/*' 'fuzz/*' \
  | grep -v '/platform_\|/fuzz_platform' | xargs grep -nwiF -e "$words"; then
  echo "the lines above use names of the platform outside of its adapter (platform/)" >&2
  exit 1
fi
echo "clang-format"
echo "$files" | xargs clang-format --dry-run -Werror
echo "clang-tidy"
echo "$sources" | grep -v '^fuzz/replay' | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>&1 \
  | grep -v -E 'warnings? generated|^Suppressed|^Use -header-filter' >build/tidy.log || true
if grep -qE '(error|warning):' build/tidy.log; then
  cat build/tidy.log
  exit 1
fi
echo "cppcheck"
echo "$sources" | cppcheck --file-list=- --quiet --std=c11 -j "$(nproc)" -I src -I tools -I tests \
  -D'g_assert_cmpint(a,op,b)=((void)(a),(void)(b))' \
  -D'g_assert_cmpuint(a,op,b)=((void)(a),(void)(b))' \
  -D'g_assert_cmpfloat(a,op,b)=((void)(a),(void)(b))' \
  -D'g_assert_cmpstr(a,op,b)=((void)(a),(void)(b))' \
  --enable=warning,performance,portability --inline-suppr \
  --suppress=missingIncludeSystem --suppress=unknownMacro \
  --error-exitcode=1
echo "lint clean"
