#!/usr/bin/env bash
# Builds the program of the script cases in review/11 to review/15, with the
# project's stand-ins in it. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/review-3/ ./review/standin-3
# review/15 plays a case of the second review's program.
go build -tags review -ldflags=-linkmode=external -o target/rwreview2 ./review/standin-2
