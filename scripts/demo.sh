#!/bin/sh
# Builds cactusspool, starts a fleet of three availability zones on loopback
# addresses, rolls out Krua Khao's bundle, tops up, sends requests of each
# kind, prints answers, bills and what is left, and stops everything.
set -eu
cd "$(dirname "$0")/.."
sh scripts/install.sh curl
cmake --preset release >/dev/null
cmake --build build >build/demo-build.log 2>&1 || {
  tail -n 30 build/demo-build.log
  exit 1
}
bin=$PWD/build/bin
work=$(mktemp -d)
fleet=$work/fleet
failed=0

finish() {
  sh scripts/fleet.sh down "$fleet"
  if [ "$failed" -eq 0 ]; then
    rm -rf "$work"
  else
    echo "logs are kept in $fleet" >&2
  fi
}
trap 'finish' EXIT
trap 'failed=1; exit 1' INT TERM

say() {
  printf '\n== %s\n' "$1"
}

fail() {
  echo "demo failed: $1" >&2
  failed=1
  exit 1
}

# Puts operator $2's public key $3 into document $1.
put_key() {
  awk -v name="\"$2\":" -v key="$3" '
    index($0, name) { found = 1 }
    found && /public_key/ { sub(/"0{64}"/, "\"" key "\""); sub(/"0+"/, "\"" key "\""); found = 0 }
    { print }' "$1" >"$1.new"
  mv "$1.new" "$1"
}

# Waits until command "$@" succeeds, for at most 20 s.
wait_for() {
  tries=200
  until "$@"; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.1
  done
}

live_processes() {
  [ "$($ctl bundle status --json 2>/dev/null | grep -c '"kind"')" -ge 9 ]
}

seen_targets() {
  [ "$($ctl target list --json 2>/dev/null | grep -c '"target"')" -ge 12 ]
}

ready() {
  curl -s -f --max-time 2 -o "$work/ready" "http://$1/readyz"
}

# Prints the body; of a stream the first two and the last four lines.
show_body() {
  grep . "$work/body" | cut -c 1-200 | sed 's/^/  /' >"$work/shown"
  if [ "$(wc -l <"$work/shown")" -le 6 ]; then
    cat "$work/shown"
  else
    head -n 2 "$work/shown"
    echo "  ... $(($(wc -l <"$work/shown") - 6)) more chunks ..."
    tail -n 4 "$work/shown"
  fi
}

# call ROUTER KEY PATH BODY [HEADER...]: prints status, Cactus headers, body.
call() {
  router=$1
  key=$2
  path=$3
  body=$4
  shift 4
  for header in "$@"; do set -- "$@" -H "$header"; shift; done
  curl -sS --max-time 30 -D "$work/head" -o "$work/body" \
    -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
    "$@" --data "$body" "http://$router$path" || fail "no answer from $router"
  head -n 1 "$work/head" | tr -d '\r'
  grep -iE '^(cactus-|retry-after)' "$work/head" | tr -d '\r' | sed 's/^/  /' || true
  show_body
}

expect() {
  head -n 1 "$work/head" | grep -q " $1" || fail "expected status $1"
}

say "operators make their keys and put them into the bundle"
cp examples/krua-khao.json "$work/bundle.json"
for operator in nok somchai; do
  key=$("$bin/cactusctl" bundle keygen $operator --output "$work/$operator.key")
  put_key "$work/bundle.json" $operator "$key"
  echo "$operator $key"
done
root=$("$bin/cactusctl" bundle keygen root --output "$work/root.key")
"$bin/cactusctl" bundle check "$work/bundle.json"

say "three availability zones start: 3 control, 3 ledgers, 6 routers, 12 targets"
sh scripts/fleet.sh up "$fleet" "$root" || fail "the fleet did not start"
. "$fleet/env"
ctl="$bin/cactusctl"
near=$(echo "$CACTUS_ROUTERS" | cut -d , -f 1)
far=$(echo "$CACTUS_ROUTERS" | cut -d , -f 5)

wait_for live_processes || fail "not all processes have a session"

say "the bundle is signed, pushed and in force everywhere"
$ctl bundle push "$work/bundle.json" --wait --timeout-ms 30000 \
  --operator root --key-file "$work/root.key" 2>/dev/null || fail "bundle push"
$ctl bundle status

say "two accounts are topped up; the second time under the same id adds nothing"
$ctl budget top-up nimman 20000 --id demo-1 --operator nok || fail "top-up"
$ctl budget top-up nimman 20000 --id demo-1 --operator nok || fail "top-up again"
$ctl budget top-up lamphun 40 --id demo-2 --operator nok || fail "top-up"

wait_for seen_targets || fail "not all targets were seen"
wait_for ready "$near" || fail "router $near is not ready"
wait_for ready "$far" || fail "router $far is not ready"
say "targets as the routers see them"
$ctl target list

say "a quick answer, whole"
question='{"model":"kitchen-brain","max_tokens":40,"messages":[{"role":"user","content":"How long may sai ua be held hot?"}]}'
call "$near" demo-key-nimman /v1/chat/completions "$question" 'Cactus-Class: quick'
expect 200

say "a weekly review, streamed, by a router of the other region"
review='{"model":"kitchen-brain","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"Review the menu plan of week 49"}]}'
call "$far" demo-key-nimman /v1/chat/completions "$review" 'Cactus-Class: review'
expect 200
grep -q '\[DONE\]' "$work/body" || fail "the stream did not end"

say "a stock look-up"
call "$near" demo-key-nimman /services/shop-ledger/stock '{"item":"chilled chicken"}' 'Idempotency-Key: look-1'
expect 200

say "an order, and the same order again after a lost answer: it ran once"
call "$near" demo-key-nimman /services/shop-ledger/orders '{"item":"chilled chicken","boxes":4}' 'Idempotency-Key: order-1'
expect 200
cp "$work/body" "$work/first"
call "$far" demo-key-nimman /services/shop-ledger/orders '{"item":"chilled chicken","boxes":4}' 'Idempotency-Key: order-1'
expect 200
cmp -s "$work/first" "$work/body" || fail "the second answer differs from the first"

say "an account with too few tokens is refused, and told that nothing ran"
call "$near" demo-key-lamphun /v1/chat/completions "$question"
grep -qi '^cactus-run: not-run' "$work/head" || fail "expected a refusal that says not-run"

say "bills and budgets"
sleep 1
$ctl bills || fail "bills"
$ctl budget show nimman || fail "budget show"
$ctl budget show lamphun || fail "budget show"

say "everything stops"
sh scripts/fleet.sh down "$fleet"
echo "demo done"
