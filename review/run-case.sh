#!/usr/bin/env bash
# Runs the driver of a case: run-case.sh FOLDER. The driver ends all that it started; so does the end of this script.
folder="$(cd "$1" && pwd)"
cd "$folder/../.." || exit 2
driver="review/bin/case-$(basename "$folder")"
[ -x "$driver" ] && [ -x "${REVIEW_ENTRY:-target/jayhold-entry}" ] || { echo "build first: target/jayhold-entry and review/build.sh"; exit 2; }
temporary="$(mktemp -d)" || exit 2
timeout --kill-after=2 115 "$driver" "$folder" "$temporary"
result=$?
[ "${KEEP_LOGS:-}" ] && cp -r "$temporary"/. "$KEEP_LOGS"/
rm -rf "$temporary"
tail -n 2 "$folder/record.txt"
[ "$result" -le 1 ] || exit 2
exit "$result"
