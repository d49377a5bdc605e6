# Shared by the tests with real processes: starts an example, runs a load in the
# background and reports failed checks.

set -u
build=$1
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
example=$root/examples/karadere
run=$(mktemp -d)
. "$root/util/cluster.sh"
failed=0

finish() {
  stop_all
  if [ "$failed" != 0 ]; then
    for log in "$run"/*.log; do
      echo "--- $(basename "$log")"
      tail -n 15 "$log"
    done
  fi
  rm -rf "$run"
}
trap finish EXIT

# check TEXT COMMAND...: reports whether a command succeeds; the test goes on.
check() {
  local text=$1
  shift
  if "$@"; then
    echo "ok: $text"
  else
    echo "FAILED: $text"
    failed=1
  fi
}

# require TEXT COMMAND...: the same, but ends the test after a failure.
require() {
  check "$@"
  [ "$failed" = 0 ] || exit 1
}

equals() { [ "$1" = "$2" ]; }

# get_succeeds PATH [NUMBER]: a GET through an entry host returns status 200.
get_succeeds() { equals "$(get "$1" "${2:-1}")" 200; }

# start_cluster [OPTION...]: starts the platform, all targets in one process and
# five entry hosts, and waits until all ranges are owned.
start_cluster() {
  start_platform
  start_targets targets "$@"
  start_entries
  require "platform responds" await 20 curl -sf "$platform/log_stats"
  require "entry host 5 responds" await 20 status 5
  require "tables are published" publish
  require "all hosts are ready" await 20 all_ready
  require "all ranges are owned" await 30 all_ranges_owned
}

all_hosts=127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103,127.0.0.1:7104,127.0.0.1:7105

# start_load MILLISECONDS [OPTION...]: starts a mixed load on all entry hosts.
start_load() {
  local length=$1
  shift
  start load "$build/tests/load/loadtool" --hosts "$all_hosts" --mix karadere \
    --callers 10 --pause-us 3000 --ms "$length" --verify "$example/pools.json" "$@"
}

# end_load: waits for the load; fails if an answer to a caller does not match
# what the targets executed.
end_load() {
  local code=0
  wait "${pids[load]}" || code=$?
  unset "pids[load]"
  cat "$run/load.log"
  check "answers match the executions, no request ran twice" equals "$code" 0
}

# outcome NAME: number of requests with this outcome, as the load counted them.
outcome() { jq -r ".outcomes[\"$1\"] // 0" "$run/load.log"; }

# executed PORT: number of requests that a target has executed.
executed() { curl -sf "127.0.0.1:$1/stats" | jq .executed; }

# config_version_is HOST VERSION: an entry host runs this configuration.
config_version_is() { [ "$(status "$1" | jq .config_version)" = "$2" ]; }

# decider_changed_from NUMBER: an entry host other than NUMBER is the decider.
decider_changed_from() {
  local number
  number=$(decider) && [ "$number" != "$1" ]
}

# post_succeeds PATH [NUMBER]: a POST through an entry host returns status 200.
post_succeeds() {
  equals "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -X POST -d '{}' "127.0.0.1:$((7100 + ${2:-1}))$1")" 200
}

# no_cold_claim: the status lists no cold claim that waits for confirmation.
no_cold_claim() { ! ctl status | grep -q confirm-cold; }
