#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
  number=$(dirname "$source")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "bin/case$number" "$source" &
done
wait
for source in [1-5]/case.cpp; do
  test -x "bin/case$(dirname "$source")"
done
