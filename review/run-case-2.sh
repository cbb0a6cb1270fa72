#!/usr/bin/env bash
# Runs the program of a case: run-case-2.sh NUMBER. Exit codes: 1 rule broken, 0 rule kept, 2 not run.
cd "$(dirname "$0")/.." || exit 2
program="target/review-2/case-$1"
if [ ! -x "$program" ] || [ ! -x target/jayhold-entry ]; then
  echo "build target/jayhold-entry with the deploy file and the cases with review/build-2.sh first" >&2
  exit 2
fi
timeout --kill-after=5 115 "$program" target/jayhold-entry "review/$1"
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
