#!/usr/bin/env bash
# The platform's log is unavailable; later it stores records but loses the
# replies.
. "$(dirname "$0")/common.sh"
start_cluster
log_mode() { curl -sf -X POST -d "{\"mode\": \"$1\"}" "$platform/control" >/dev/null; }

log_mode down
start_load 4000
end_load
check "requests are served while the log is unavailable" equals "$(jq -r '.outcomes | keys | join(",")' "$run/load.log")" 2xx
check "the status shows the log as unreadable" await 10 grep -q UNREADABLE <(ctl status)
sed 's/"deadline_ms": 2000/"deadline_ms": 2500/' "$example/routes.json" >"$run/routes-a.json"
publish "$run/routes-a.json" >"$run/publish.out" 2>&1
check "publishing fails while the log is unavailable" equals $? 1
check "the error names the kind log_unavailable" grep -q log_unavailable "$run/publish.out"
stop entry-4 KILL
start_entry 4
check "a host that starts meanwhile gets its tables from a peer" await 20 config_version_is 4 1
check "that host serves orders" await 20 post_succeeds /orders 4

log_mode lose_replies
check "publishing succeeds by reading the log after a lost reply" publish "$run/routes-a.json"
for number in 1 2 3 4 5; do
  check "entry-$number runs version 2" await 10 config_version_is "$number" 2
done
log_mode up
check "all ranges are owned with five electors again" await 30 all_ranges_owned
check "no version was published twice" equals "$(ctl history | wc -l)" 2
exit $failed
