#!/usr/bin/env bash
# All five entry hosts are restarted at once: first by a graceful stop, then by
# SIGKILL.
. "$(dirname "$0")/common.sh"
start_cluster
served_by() { curl -s -m 5 "127.0.0.1:7101/ledger/$1" | jq -r .served_by; }
same_owner() { equals "$(served_by shop-1)" "$before"; }
before=$(served_by shop-1)

for number in 1 2 3 4 5; do kill -TERM "${pids[entry-$number]}"; done
for number in 1 2 3 4 5; do
  code=0
  wait "${pids[entry-$number]}" || code=$?
  unset "pids[entry-$number]"
  check "entry-$number exits with 0" equals "$code" 0
done
start_entries
check "all ranges are owned after a graceful restart" await 40 all_ranges_owned
check "the owner of shop-1 is unchanged" await 20 same_owner
check "the configuration is still in force" config_version_is 3 1

for number in 1 2 3 4 5; do stop "entry-$number" KILL; done
start_entries
check "all ranges are owned after a kill" await 60 all_ranges_owned
check "the owner of shop-1 is unchanged" await 20 same_owner
check "the status asks operators to confirm the cold claim" grep -q confirm-cold <(ctl status)
check "an operator confirms the cold claim" ctl confirm-cold ledger
check "the status asks for no confirmation any more" await 20 no_cold_claim
exit $failed
