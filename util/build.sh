#!/usr/bin/env bash
# Installs missing Debian packages and builds the project into a folder.
# Usage: util/build.sh [FOLDER [CMAKE OPTION...]]
set -eu
cd "$(dirname "$0")/.."
folder=${1:-build}
[ $# -gt 0 ] && shift

missing=()
for package in $(cat util/packages.txt); do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  as_root=()
  [ "$(id -u)" = 0 ] || as_root=(sudo)
  "${as_root[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
fi

cmake -G Ninja -S . -B "$folder" "$@" >"$folder.cmake.log" 2>&1 || {
  cat "$folder.cmake.log"
  exit 1
}
rm -f "$folder.cmake.log"
# Prints the compiler errors if the build fails, else only the last line.
if ! ninja -C "$folder" >"$folder.ninja.log" 2>&1; then
  grep -E -A8 'error:|FAILED:' "$folder.ninja.log" | head -n 60
  rm -f "$folder.ninja.log"
  exit 1
fi
tail -n 1 "$folder.ninja.log"
rm -f "$folder.ninja.log"
