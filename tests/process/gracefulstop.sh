#!/usr/bin/env bash
# Entry hosts are stopped and restarted one after the other under load; no
# request in flight may be cut off.
. "$(dirname "$0")/common.sh"
start_cluster

start_load 12000
sleep 1
for number in $(decider) 2 4; do
  code=0
  stop "entry-$number" TERM || code=$?
  check "entry-$number exits with 0" equals "$code" 0
  check "entry-$number logs that no request was cut off" grep -q '"requests_cut":0' "$run/entry-$number.log"
  start_entry "$number"
  check "entry-$number runs version 1 after its restart" await 20 config_version_is "$number" 1
done
end_load
# Refused connections while a host is down are not counted: the load balancer
# handles them.
check "no response was cut off" equals "$(outcome transport_Failed\ to\ read\ connection)" 0
check "every answered request succeeded" equals "$(jq -r '.outcomes | keys | map(select(. != "2xx" and (startswith("transport_") | not))) | length' "$run/load.log")" 0
exit $failed
