#!/bin/sh
# Builds cactusspool, starts a fleet of three availability zones on loopback
# addresses, pushes the bundle examples/krua-khao.json, tops up budgets, sends
# requests of each kind, prints the responses, bills and remaining budgets, and
# stops the fleet.
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

# put_key DOCUMENT OPERATOR KEY: replaces the operator's public key of zeros in
# the bundle document by KEY.
put_key() {
  awk -v name="\"$2\":" -v key="$3" '
    index($0, name) { found = 1 }
    found && /public_key/ { sub(/"0{64}"/, "\"" key "\""); sub(/"0+"/, "\"" key "\""); found = 0 }
    { print }' "$1" >"$1.new"
  mv "$1.new" "$1"
}

# Runs command "$@" until it succeeds; fails after 200 tries, 0.1 s apart.
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

# Prints the response body; of one with more than six lines only the first two
# and the last four.
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

# call ROUTER KEY PATH BODY [HEADER...]: sends a POST request and prints the
# status line, the Cactus and Retry-After headers and the body.
call() {
  router=$1
  key=$2
  path=$3
  body=$4
  shift 4
  for header in "$@"; do set -- "$@" -H "$header"; shift; done
  curl -sS --max-time 30 -D "$work/head" -o "$work/body" \
    -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
    "$@" --data "$body" "http://$router$path" || fail "no complete response from router $router"
  head -n 1 "$work/head" | tr -d '\r'
  grep -iE '^(cactus-|retry-after)' "$work/head" | tr -d '\r' | sed 's/^/  /' || true
  show_body
}

expect() {
  head -n 1 "$work/head" | grep -q " $1" || fail "expected status $1, got: $(head -n 1 "$work/head" | tr -d '\r')"
}

say "operators generate key pairs; the public keys go into the bundle"
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

wait_for live_processes || fail "fewer than 9 processes have a session with control"

say "the bundle is signed, pushed and applied by every process"
$ctl bundle push "$work/bundle.json" --wait --timeout-ms 30000 \
  --operator root --key-file "$work/root.key" 2>/dev/null || fail "cactusctl bundle push failed"
$ctl bundle status

say "two accounts are topped up; repeating a top-up under the same id adds nothing"
$ctl budget top-up nimman 20000 --id demo-1 --operator nok || fail "cactusctl budget top-up nimman failed"
$ctl budget top-up nimman 20000 --id demo-1 --operator nok || fail "the repeated top-up of nimman failed"
$ctl budget top-up lamphun 40 --id demo-2 --operator nok || fail "cactusctl budget top-up lamphun failed"

wait_for seen_targets || fail "the routers list fewer than 12 targets"
wait_for ready "$near" || fail "router $near is not ready"
wait_for ready "$far" || fail "router $far is not ready"
say "targets that the routers know"
$ctl target list

say "a chat request of class quick, not streamed"
question='{"model":"kitchen-brain","max_tokens":40,"messages":[{"role":"user","content":"How long may sai ua be held hot?"}]}'
call "$near" demo-key-nimman /v1/chat/completions "$question" 'Cactus-Class: quick'
expect 200

say "a chat request of class review, streamed, through a router of the other region"
review='{"model":"kitchen-brain","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"Review the menu plan of week 49"}]}'
call "$far" demo-key-nimman /v1/chat/completions "$review" 'Cactus-Class: review'
expect 200
grep -q '\[DONE\]' "$work/body" || fail "the stream ended without [DONE]"

say "an idempotent call of a plain service: a stock look-up"
call "$near" demo-key-nimman /services/shop-ledger/stock '{"item":"chilled chicken"}' 'Idempotency-Key: look-1'
expect 200

say "a non-idempotent order and its retry through another router, as after a lost response: it runs once"
call "$near" demo-key-nimman /services/shop-ledger/orders '{"item":"chilled chicken","boxes":4}' 'Idempotency-Key: order-1'
expect 200
cp "$work/body" "$work/first"
call "$far" demo-key-nimman /services/shop-ledger/orders '{"item":"chilled chicken","boxes":4}' 'Idempotency-Key: order-1'
expect 200
cmp -s "$work/first" "$work/body" || fail "the response to the repeated order differs from the first"

say "a request of an account with too few tokens is refused without being run"
call "$near" demo-key-lamphun /v1/chat/completions "$question"
grep -qi '^cactus-run: not-run' "$work/head" || fail "the refusal has no header Cactus-Run: not-run"

say "bills and budgets"
sleep 1
$ctl bills || fail "cactusctl bills failed"
$ctl budget show nimman || fail "cactusctl budget show nimman failed"
$ctl budget show lamphun || fail "cactusctl budget show lamphun failed"

say "the fleet stops"
sh scripts/fleet.sh down "$fleet"
echo "demo done"
