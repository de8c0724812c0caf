#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Run it in the
# repository, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/rwreview2 ./review/standin-2
