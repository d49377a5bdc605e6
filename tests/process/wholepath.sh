#!/usr/bin/env bash
# Requests of each kind pass from callers through all entry hosts to targets.
. "$(dirname "$0")/common.sh"
start_cluster

start_load 3000
end_load
check "all requests succeed" equals "$(jq -r '.outcomes | keys | join(",")' "$run/load.log")" 2xx
check "a streamed price list arrives complete" equals "$(curl -s -m 20 '127.0.0.1:7103/prices/w.csv?size=3000000' | wc -c)" 3000000
check "an unknown route returns 404" equals "$(get /nowhere)" 404
owner=$(curl -s 127.0.0.1:7101/ledger/shop-17 | jq -r .served_by)
for number in 2 3 4 5; do
  check "entry-$number knows the same owner" equals "$(curl -s "127.0.0.1:710$number/ledger/shop-17" | jq -r .served_by)" "$owner"
done
check "metrics are labelled by tenant" grep -q 'tenant="t1"' <(curl -s 127.0.0.1:7201/metrics)
exit $failed
