#!/usr/bin/env bash
# Publishing of tables: concurrent publishers, hosts that start after a
# publication, and errors of monsoonctl.
. "$(dirname "$0")/common.sh"
start_cluster

version() { status "$1" | jq .config_version; }

sed 's/"deadline_ms": 2000/"deadline_ms": 2500/' "$example/routes.json" >"$run/routes-a.json"
sed 's/"deadline_ms": 2000/"deadline_ms": 1500/' "$example/routes.json" >"$run/routes-b.json"
ctl -r "$run/routes-a.json" -p "$example/pools.json" --base 1 --author ayse publish >"$run/a.out" 2>&1 &
first=$!
ctl -r "$run/routes-b.json" -p "$example/pools.json" --base 1 --author mehmet publish >"$run/b.out" 2>&1 &
second=$!
code_a=0; wait $first || code_a=$?
code_b=0; wait $second || code_b=$?
check "exactly one of two concurrent publications succeeds" equals $((code_a + code_b)) 1
check "the refused operator sees what changed" grep -q 'route "ledger-read" changed' <(cat "$run"/[ab].out)
check "the refusal names the error kind version_lost" grep -q version_lost <(cat "$run"/[ab].out)
for number in 1 2 3 4 5; do
  check "entry-$number runs version 2" await 10 config_version_is "$number" 2
done
check "the history names the author" grep -qE 'version 2 .* by (ayse|mehmet)' <(ctl history)

stop entry-3 KILL
sed 's/"deadline_ms": 2000/"deadline_ms": 1700/' "$example/routes.json" >"$run/routes-c.json"
check "publishing succeeds while a host is down" ctl -r "$run/routes-c.json" -p "$example/pools.json" publish
start_entry 3
check "a restarted host runs the newest version" await 15 config_version_is 3 3

sed 's/"pool": "orders"/"pool": "nowhere"/' "$example/routes.json" >"$run/routes-bad.json"
ctl -r "$run/routes-bad.json" -p "$example/pools.json" publish >"$run/bad.out" 2>&1
check "inconsistent tables are refused" equals $? 1
check "the error names the pool" grep -q 'pool "nowhere" does not exist in table "pools"' "$run/bad.out"
check "the refused tables are not published" equals "$(version 1)" 3
"$control" frobnicate >/dev/null 2>&1
check "an unknown command is a usage error" equals $? 2
exit $failed
