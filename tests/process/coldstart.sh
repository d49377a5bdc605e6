#!/usr/bin/env bash
# All targets start cold under load; then one is killed and restarts cold. The
# entry hosts together must not send a cold target more concurrent requests than
# its cold limit.
. "$(dirname "$0")/common.sh"
start_platform
start_targets targets --except orders-03 --warm-after 40
start_targets orders-03 --only orders-03 --warm-after 40
start_entries
require "platform responds" await 20 curl -sf "$platform/log_stats"
require "entry host 5 responds" await 20 status 5
require "tables are published" publish
require "all ranges are owned" await 30 all_ranges_owned

# overruns: requests that exceeded a cold limit, summed over all targets.
overruns() {
  local port sum=0
  for port in $(seq 7500 7529) $(seq 7540 7545); do
    sum=$((sum + $(curl -sf "127.0.0.1:$port/stats" | jq .cold_overruns)))
  done
  echo "$sum"
}
restarted_target_warmed_up() { [ "$(executed 7522)" -gt 40 ]; }

start_load 14000 --killed orders-03
sleep 4
check "no cold limit is exceeded when all targets start cold" equals "$(overruns)" 0
stop orders-03 KILL
sleep 2
start_targets orders-03 --only orders-03 --warm-after 40
check "the restarted target receives requests and warms up" await 10 restarted_target_warmed_up
check "the restart exceeds no cold limit" equals "$(overruns)" 0
end_load
exit $failed
