#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: one program, without dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -trimpath -buildvcs=false -o ../bin/standin .
