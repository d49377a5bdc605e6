#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases 11 to 14 into target/review-3.
# Needs only g++; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++17 -O2 -Wall -Wextra -pthread"
g++ $flags -c review/standin-3/world.cpp -o "$out/world.o"
g++ $flags -c review/standin-3/deployment.cpp -o "$out/deployment.o"
for number in 11 12 13 14; do
  [ -f "review/$number/case.cpp" ] || continue
  g++ $flags "review/$number/case.cpp" "$out/world.o" "$out/deployment.o" -o "$out/case-$number"
done
