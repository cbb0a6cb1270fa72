#!/usr/bin/env bash
# Runs the driver of a case: run-case.sh DRIVER RECORD. The driver appends to the record and ends all that it started;
# its instances end with it.
driver="$1"
record="$2"
cd "$(dirname "$0")/.." || exit 2
if [ ! -x "review/bin/$driver" ] || [ ! -x target/jayhold-entry ]; then
  echo "build first: the build of deploy/system.toml and review/build.sh" | tee -a "$record"
  exit 2
fi
temporary="$(mktemp -d)" || exit 2
timeout --kill-after=2 115 "review/bin/$driver" "$record" "$temporary"
result=$?
[ -z "${KEEP_LOGS:-}" ] || cp -r "$temporary"/. "$KEEP_LOGS"/
rm -rf "$temporary"
[ "$result" -le 1 ] || result=2
exit "$result"
