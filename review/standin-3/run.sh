# Runs the case of the folder that is named, in a temporary folder:
#   . review/standin-3/run.sh FOLDER [ARGUMENT ...]
# Ends whatever the case started and left running, by its process id.
set -u
folder=$1
shift
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
number=$(basename "$folder")
program=target/review-3/case-$number
if [ ! -x "$program" ] || [ ! -x target/src/monsoonstand/monsoonstand ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
work=$(mktemp -d)
finish() {
  if [ -f "$work/pids" ]; then
    while read -r pid; do
      if grep -q "$work" "/proc/$pid/cmdline" 2>/dev/null; then
        kill -9 "$pid"
      fi
    done <"$work/pids"
  fi
  rm -rf "$work"
}
trap finish EXIT
timeout -k 2 115 "$program" "$work" "${TROUBLE:-1}" "review/$number/record.txt" "$@"
code=$?
tail -n 2 "review/$number/record.txt"
[ "$code" -le 1 ] || code=2
exit "$code"
