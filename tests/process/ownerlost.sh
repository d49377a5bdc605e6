#!/usr/bin/env bash
# Under load, one server that owns ranges is killed and another one is paused
# (SIGSTOP) and resumed.
. "$(dirname "$0")/common.sh"
start_platform
start_targets targets --except ledger-03,ledger-07
start_targets ledger-03 --only ledger-03
start_targets ledger-07 --only ledger-07
start_entries
require "platform responds" await 20 curl -sf "$platform/log_stats"
require "entry host 5 responds" await 20 status 5
require "tables are published" publish
require "all ranges are owned" await 30 all_ranges_owned

ranges() { curl -s -m 2 "127.0.0.1:$1/stats" | jq .ranges; }
owns_no_ranges() { equals "$(ranges "$1")" 0; }
owns_ranges() { [ "$(ranges "$1")" -gt 0 ]; }
# all_keys_served: succeeds if each of 60 keys is served.
all_keys_served() {
  local key
  for key in $(seq 60); do get_succeeds "/ledger/k$key" $((key % 5 + 1)) || return 1; done
}

start_load 12000 --killed ledger-03
sleep 1
check "ledger-03 owns ranges" owns_ranges 7502
stop ledger-03 KILL
check "all keys are served after ledger-03 is killed" await 20 all_keys_served
kill -STOP "${pids[ledger-07]}"
check "all keys are served while ledger-07 is paused" await 20 all_keys_served
kill -CONT "${pids[ledger-07]}"
check "all keys are served after ledger-07 is resumed" await 20 all_keys_served
start_targets ledger-03 --only ledger-03
end_load
check "the restarted server owns ranges again" await 30 owns_ranges 7502
exit $failed
