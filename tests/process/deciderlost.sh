#!/usr/bin/env bash
# Under load, the decider is killed; then the next decider is paused (SIGSTOP)
# and resumed after another host has taken over.
. "$(dirname "$0")/common.sh"
start_cluster

start_load 14000
sleep 1
old=$(decider)
stop "entry-$old" KILL
check "another host takes over from the killed decider" await 15 decider_changed_from "$old"
start_entry "$old"
check "all ranges are owned with five electors again" await 30 all_ranges_owned

paused=$(decider)
kill -STOP "${pids[entry-$paused]}"
check "another host takes over from the paused decider" await 15 decider_changed_from "$paused"
term=$(status "$(decider)" | jq '.groups[0].term')
kill -CONT "${pids[entry-$paused]}"
sleep 2
check "the resumed host does not change the term" equals "$(status "$(decider)" | jq '.groups[0].term')" "$term"
end_load
check "all ranges are owned at the end" await 30 all_ranges_owned
exit $failed
