#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2/. Needs the packages of .ci/run only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  echo "case $number"
  g++ -std=c++20 -O1 -Wall -I review/standin-2 "$source" -o "target/review-2/case-$number" -lboost_json -lpthread
done
