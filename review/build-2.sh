#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
folder=target/review-2
mkdir -p "$folder"
for name in pipeline head handover; do
  g++ -std=c++17 -O2 -Wall -Wextra -o "$folder/$name" \
    "review/standin2/$name.cpp" review/standin2/scene.cpp \
    review/standin2/standins.cpp \
    $(pkg-config --cflags --libs jsoncpp) -lpthread
done
