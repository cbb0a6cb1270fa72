#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/bin, with the packages of .ci/run alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
common=(standin/*.cc)
for source in */case.cc; do
  number="${source%/case.cc}"
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "bin/case-$number" "$source" "${common[@]}" -lboost_json &
done
for job in $(jobs -p); do wait "$job"; done
