#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf bin
mkdir bin
pids=()
for source in [1-5]/case.cpp; do
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "bin/case$(dirname "$source")" "$source" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
