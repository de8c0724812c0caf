#!/usr/bin/env bash
# Plays the case "pending". Exit code: 1 the rule was broken, 0 it held, 2 the case
# couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/rwnode" ] && [ -x ../bin/standin ] || { echo "build first: the deploy file's build line, then review/build.sh"; exit 2; }
exec ../bin/standin pending "$root" "$PWD"
