#!/usr/bin/env bash
# Builds everything, starts stand-ins and five entry hosts with the example
# "karadere", publishes the tables, sends requests of each kind and prints which
# target served them. With --keep, everything runs until Ctrl-C.
set -eu
cd "$(dirname "$0")/.."
keep=no
for argument in "$@"; do
  case $argument in
  --keep) keep=yes ;;
  *)
    echo "usage: util/quickstart.sh [--keep]" >&2
    exit 2
    ;;
  esac
done

echo "Building ..."
util/build.sh build
build=build example=examples/karadere run=$(mktemp -d)
. util/cluster.sh
trap 'stop_all; rm -rf "$run"' EXIT

start_platform
start_targets targets
start_entries
await 10 curl -sf "$platform/log_stats"
await 10 curl -sf 127.0.0.1:7201/healthz
publish
await 10 all_ready
await 15 all_ranges_owned || { ctl status; exit 1; }

# send_request METHOD PATH NUMBER [BODY]: sends one request through an entry
# host and prints which target served it.
send_request() {
  local body served
  body=$(curl -s -m 5 -X "$1" -H 'X-Tenant: ovacik-coop' ${4:+-d "$4"} "127.0.0.1:$((7100 + $3))$2")
  served=$(jq -r '.served_by // .error' <<<"$body")
  printf '  %-5s %-26s through entry-%s  served by %s\n' "$1" "$2" "$3" "$served"
}

echo
echo "Ledger reads, by key (the same shop is served by the same server):"
for number in 1 2 3; do send_request GET /ledger/shop-17 "$number"; done
send_request GET /ledger/shop-42 4
echo "Restocking orders:"
for number in 1 2 3; do send_request POST /orders "$number" '{"flour": 20}'; done
echo "Delivery confirmations:"
for number in 4 5; do send_request POST /deliveries/d-100$number "$number" '{}'; done
echo "Price list, streamed:"
printf '  GET   /prices/week-49.csv        through entry-5  %s bytes\n' \
  "$(curl -s -m 20 '127.0.0.1:7105/prices/week-49.csv?size=2000000' | wc -c)"
echo
ctl status

if [ "$keep" = yes ]; then
  echo
  echo "Callers: 127.0.0.1:7101 to 7105. Admin: 127.0.0.1:7201 to 7205."
  echo "Try:  curl 127.0.0.1:7101/ledger/shop-17"
  echo "      $control --config $example/monsoonctl.json top"
  echo "Press Ctrl-C to stop."
  trap 'exit 0' INT
  sleep infinity &
  pids[sleep]=$!
  wait "${pids[sleep]}"
fi
echo "Stopping ..."
stop_all
echo "All processes have stopped."
