#!/usr/bin/env bash
# Plays the case "other-kind" of review/standin-2: exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/rwnode ] && [ -x target/rwreview2 ] || exit 2
work=$(mktemp -d) || exit 2
target/rwreview2 -case other-kind -dir "$work" -rwnode target/rwnode &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
code=$?
cp "$work/record.txt" "$here/record.txt" || code=2
rm -rf "$work"
exit "$code"
