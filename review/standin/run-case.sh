#!/usr/bin/env bash
# Runs one case. Usage: run-case.sh CASE FOLDER
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
program=$top/target/src/monsoonstand/monsoonstand
standin=$top/review/build/reviewcase
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
  echo "build with the build line of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
child=
finish() {
  [ -n "$child" ] && kill -TERM "$child" 2>/dev/null && wait "$child"
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
"$standin" "$1" "$program" "$folder" "$2/record.txt" &
child=$!
wait "$child"
result=$?
child=
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"/
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
