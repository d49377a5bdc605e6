#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build/.
set -eu
cd "$(dirname "$0")"
cmake -S standin -B build -DCMAKE_BUILD_TYPE=Release >build.log 2>&1 &&
  cmake --build build -j6 --target reviewcase >>build.log 2>&1 || {
  tail -n 40 build.log
  exit 1
}
