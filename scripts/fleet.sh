#!/bin/sh
# Starts, shows or stops a small fleet on loopback addresses: the three
# availability zones, in two regions, of the example Krua Khao. Its targets
# serve the services of the bundle examples/krua-khao.json.
#   fleet.sh up FOLDER ROOT_KEY   starts 3 control members, 3 ledgers, 6 routers
#                                 and 12 targets
#   fleet.sh status FOLDER        prints for each process whether it runs
#   fleet.sh down FOLDER          stops the processes by their ids
# FOLDER holds data, logs, ready files and process ids. Shells that use the
# fleet source FOLDER/env, which sets CACTUS_CONTROL, CACTUS_CLUSTER and
# CACTUS_ROUTERS.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
bin=${CACTUS_BIN:-$root/build/bin}
ready_limit_s=20
stop_limit_s=15

usage() {
  echo "usage: fleet.sh up FOLDER ROOT_KEY | status FOLDER | down FOLDER" >&2
  exit 2
}

# Availability zone and region of zone number $1.
zone_of() {
  case "$1" in 1) echo cnx-a ;; 2) echo cnx-b ;; *) echo bkk-a ;; esac
}
region_of() {
  case "$1" in 3) echo th-central ;; *) echo th-north ;; esac
}

# Succeeds when the process whose id is in file $1 runs and its name begins
# with cactus-; a zombie or another program under a reused id doesn't count.
runs() {
  read -r id <"$1" || return 1
  state=$(sed -n 's/^State:[[:space:]]*\(.\).*/\1/p' "/proc/$id/status" 2>/dev/null) || return 1
  name=$(cat "/proc/$id/comm" 2>/dev/null) || return 1
  case "$state$name" in Z* | X*) return 1 ;; ?cactus-*) return 0 ;; esac
  return 1
}

# start NAME PROGRAM ARGUMENT...: starts a process in the background.
start() {
  name=$1
  program=$2
  shift 2
  rm -f "$folder/$name.ready"
  "$bin/$program" "$@" --ready-file "$folder/$name.ready" \
    </dev/null >>"$folder/$name.log" 2>&1 &
  echo $! >"$folder/$name.pid"
}

# port_of NAME KIND: waits for the process's ready file and prints its port of
# KIND (rpc or http).
port_of() {
  tries=$((ready_limit_s * 20))
  while [ ! -s "$folder/$1.ready" ]; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ] || ! runs "$folder/$1.pid"; then
      echo "$1 exited or was not ready within ${ready_limit_s} s; the end of its log:" >&2
      tail -n 5 "$folder/$1.log" >&2
      return 1
    fi
    sleep 0.05
  done
  sed "s/.*\"$2_port\":\([0-9]*\).*/\1/" "$folder/$1.ready"
}

# common HOST ZONE: prints the arguments that all processes of the fleet take.
common() {
  echo "--cluster demo --host $1 --availability-zone $(zone_of "$2") --region $(region_of "$2")"
}

start_control() {
  port=$((20000 + $$ % 20000))
  members="1@127.1.0.1:$port,2@127.2.0.1:$port,3@127.3.0.1:$port"
  control="127.1.0.1:$port,127.2.0.1:$port,127.3.0.1:$port"
  for zone in 1 2 3; do
    # shellcheck disable=SC2046
    start control-$zone cactus-control $(common control-$zone $zone) \
      --member-id $zone --members "$members" --rpc "127.$zone.0.1:$port" \
      --http "127.$zone.0.1:0" --root-key "$1" \
      --data-dir "$folder/control-$zone"
  done
  for zone in 1 2 3; do port_of control-$zone rpc >/dev/null; done
}

start_ledgers() {
  for zone in 1 2 3; do
    # shellcheck disable=SC2046
    start ledger-$zone cactus-ledger $(common ledger-$zone $zone) \
      --rpc "127.$zone.0.2:0" --http "127.$zone.0.2:0" \
      --control "$control" --data-dir "$folder/ledger-$zone"
  done
  for zone in 1 2 3; do port_of ledger-$zone rpc >/dev/null; done
}

start_routers() {
  routers=
  for zone in 1 2 3; do
    for number in 1 2; do
      # shellcheck disable=SC2046
      start router-$zone-$number cactus-router \
        $(common router-$zone-$number $zone) --rpc "127.$zone.1.$number:0" \
        --http "127.$zone.1.$number:0" --control "$control"
    done
  done
  for zone in 1 2 3; do
    for number in 1 2; do
      port=$(port_of router-$zone-$number http)
      routers="$routers,127.$zone.1.$number:$port"
    done
  done
  routers=${routers#,}
}

# Prints the HTTP addresses of the routers of zone number $1.
routers_of() {
  echo "$routers" | tr , '\n' | grep "^127\.$1\." | paste -s -d , -
}

start_targets() {
  for zone in 1 2 3; do
    for number in 1 2 3; do
      start kitchen-brain-$zone-$number cactus-target \
        --target kitchen-brain-$zone-$number --service kitchen-brain \
        --availability-zone "$(zone_of $zone)" --region "$(region_of $zone)" \
        --http "127.$zone.2.$number:0" --routers "$(routers_of $zone)"
    done
    start shop-ledger-$zone cactus-target --target shop-ledger-$zone \
      --service shop-ledger --availability-zone "$(zone_of $zone)" \
      --region "$(region_of $zone)" --http "127.$zone.2.9:0" \
      --routers "$(routers_of $zone)"
  done
}

up() {
  mkdir -p "$folder"
  start_control "$1"
  start_ledgers
  start_routers
  start_targets
  cat >"$folder/env" <<EOF
CACTUS_CONTROL=$control
CACTUS_CLUSTER=demo
CACTUS_ROUTERS=$routers
export CACTUS_CONTROL CACTUS_CLUSTER CACTUS_ROUTERS
EOF
  echo "started $(find "$folder" -name '*.pid' | wc -l) processes in $folder"
}

status() {
  for file in "$folder"/*.pid; do
    [ -e "$file" ] || continue
    name=$(basename "$file" .pid)
    if runs "$file"; then echo "$name runs"; else echo "$name does not run"; fi
  done
}

# Stops the targets first and control last.
down() {
  for kind in kitchen-brain shop-ledger router ledger control; do
    for file in "$folder/$kind"-*.pid; do
      [ -e "$file" ] && runs "$file" && kill -TERM "$(cat "$file")" || true
    done
    for file in "$folder/$kind"-*.pid; do
      [ -e "$file" ] || continue
      tries=$((stop_limit_s * 20))
      while runs "$file" && [ "$tries" -gt 0 ]; do
        tries=$((tries - 1))
        sleep 0.05
      done
      if runs "$file"; then
        echo "$(basename "$file" .pid) did not stop within ${stop_limit_s} s of SIGTERM; sending SIGKILL" >&2
        kill -KILL "$(cat "$file")" || true
      fi
      rm -f "$file"
    done
  done
}

[ $# -ge 2 ] || usage
folder=$2
case "$1" in
up)
  [ $# -eq 3 ] || usage
  up "$3"
  ;;
status) status ;;
down) down ;;
*) usage ;;
esac
