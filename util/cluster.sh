# Functions that start and stop the stand-ins and five entry hosts of an
# example. Sourced by the quick start, measure-relay.sh and the tests with real
# processes, which set $build, $example and $run (the folder for logs) first.

platform=127.0.0.1:7400
control="$build/src/monsoonctl/monsoonctl"
declare -A pids=()

# start NAME COMMAND...: runs a program in the background, which logs to
# $run/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$run/$name.log" 2>&1 &
  pids[$name]=$!
}

# stop NAME [SIGNAL]: signals a program, waits for it and returns its exit code.
stop() {
  local pid=${pids[$1]}
  unset "pids[$1]"
  kill -"${2:-TERM}" "$pid" 2>/dev/null || true
  local code=0
  wait "$pid" 2>/dev/null || code=$?
  return "$code"
}

# stop_all: terminates all programs, also paused ones, and waits for them.
stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    wait "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}

# await SECONDS COMMAND...: repeats a command until it succeeds; fails after
# SECONDS.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

start_platform() { start platform "$build/tests/standin/standinserver" --platform 7400; }

# start_targets NAME [OPTION...]: starts one process with stand-ins for targets.
start_targets() {
  local name=$1
  shift
  start "$name" "$build/tests/standin/standinserver" --pools "$example/pools.json" "$@"
}

start_entry() { start "entry-$1" "$build/src/monsoonstand/monsoonstand" --settings "$example/entry-$1.json"; }

start_entries() {
  local number
  for number in 1 2 3 4 5; do start_entry "$number"; done
}

ctl() { "$control" --config "$example/monsoonctl.json" "$@"; }

# publish [ROUTES [POOLS]]: publishes the tables of the example or other files.
publish() { ctl --routes "${1:-$example/routes.json}" --pools "${2:-$example/pools.json}" publish; }

# status NUMBER: prints the status of an entry host as JSON.
status() { curl -sf -m 2 "127.0.0.1:$((7200 + $1))/status"; }

# get PATH [NUMBER]: prints the status code of a GET through an entry host.
get() { curl -s -m 5 -o /dev/null -w '%{http_code}' "127.0.0.1:$((7100 + ${2:-1}))$1"; }

# all_ready: succeeds if the five entry hosts report that they are ready.
all_ready() {
  local number
  for number in 1 2 3 4 5; do curl -sf -m 1 "127.0.0.1:$((7200 + number))/readyz" || return 1; done
}

# decider: prints the number of the entry host that holds the lease and may act.
decider() {
  local number
  for number in 1 2 3 4 5; do
    if [ "$(status "$number" | jq 'any(.groups[]; .acting)')" = true ]; then
      echo "$number"
      return 0
    fi
  done
  return 1
}

# all_ranges_owned: succeeds if a decider is acting, has no pending ranges and
# all five entry hosts are electors.
all_ranges_owned() {
  local number
  number=$(decider) || return 1
  [ "$(status "$number" |
    jq '.groups[] | select(.acting) | .pending_ranges == 0 and (.electors | length) == 5')" = true ]
}
