#!/usr/bin/env bash
# Measures the overhead of an entry host: compares the rate and latency of calls
# sent directly to a stand-in with those relayed by one entry host, in the same
# run. Prints a table with the ratio of the rates and the added latency.
set -eu
cd "$(dirname "$0")/.."
util/build.sh build >/dev/null
build=build example=$(mktemp -d) run=$(mktemp -d)
. util/cluster.sh
trap 'stop_all; rm -rf "$run" "$example"' EXIT

# One target with so many slots that they do not limit the rate.
cat >"$example/pools.json" <<'J'
{"pools": [{"name": "p", "policy": {"cold_limit": 500},
  "targets": [{"name": "t", "host": "127.0.0.1", "port": 7500, "failure_domain": "d", "slots": 500, "connections": 500}]}]}
J
cat >"$example/routes.json" <<'J'
{"routes": [{"name": "r", "methods": ["GET"], "path": "/work", "class": "confirmation", "idempotent": true, "pool": "p"}]}
J
sed '/"peers"/,/\]/d; s/"host_list": \(.*\),/"host_list": \1/' examples/karadere/entry-1.json >"$example/entry-1.json"
cat >"$example/monsoonctl.json" <<'J'
{"log": {"port": 7400}, "hosts": [{"name": "entry-1", "admin": {"port": 7201}}]}
J
start_platform
start_targets targets --service-us 0 --workers 128
start_entry 1
await 10 status 1
publish >/dev/null
sleep 2

load() { "$build/tests/load/loadtool" --hosts "$1" --mix /work --callers "$2" --ms 3000; }
echo "machine: $(nproc) cores, $(grep -m1 'model name' /proc/cpuinfo | cut -d: -f2 | xargs)"
printf '%8s %12s %12s %7s %11s %11s %11s\n' callers direct/s relayed/s ratio 'p50 +ms' 'p99 +ms' errors
for callers in 1 16 64; do
  direct=$(load 127.0.0.1:7500 "$callers")
  relayed=$(load 127.0.0.1:7101 "$callers")
  jq -rn --argjson d "$direct" --argjson r "$relayed" --arg c "$callers" \
    '[$c, ($d.per_second|floor), ($r.per_second|floor), ($r.per_second/$d.per_second*100|floor/100),
      (($r.p50_ms-$d.p50_ms)*1000|floor/1000), (($r.p99_ms-$d.p99_ms)*1000|floor/1000),
      ($r.requests - ($r.outcomes["2xx"] // 0))] | @tsv' |
    awk -F'\t' '{printf "%8s %12s %12s %7s %11s %11s %11s\n", $1, $2, $3, $4, $5, $6, $7}'
done
