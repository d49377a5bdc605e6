# Runs the case of the folder that is named, in a temporary folder:
#   . review/standin-3/run.sh FOLDER
# The case ends with this script and the entry hosts with the case, also if they
# are interrupted or killed.
set -u
folder=$1
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
number=$(basename "$folder")
program=target/review-3/case-$number
if [ ! -x "$program" ] || [ ! -x target/src/monsoonstand/monsoonstand ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
work=$(mktemp -d)
case_pid=
finish() {
  [ -z "$case_pid" ] || kill -9 "$case_pid" 2>/dev/null
  wait
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP QUIT
SCRIPT_PID=$$ "$program" "$work" "${TROUBLE:-1}" "review/$number/record.txt" &
case_pid=$!
wait "$case_pid"
code=$?
case_pid=
tail -n 2 "review/$number/record.txt"
[ "$code" -le 1 ] || code=2
exit "$code"
