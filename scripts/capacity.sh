#!/usr/bin/env bash
# Starts three instances and the stand-ins as processes, for several numbers of
# workers, and prints what one idle rwsched and one idle rwentry spend: share of
# a core, resident memory, and bytes read and written per second (all sockets).
# Usage: scripts/capacity.sh [workers ...]
set -euo pipefail
cd "$(dirname "$0")/.."
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(48 96 192 384)
seconds=10
dir=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do
    kill -9 "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}
trap 'stop; rm -rf "$dir"' EXIT
go build -o "$dir/" ./cmd/rwstandin ./cmd/rwsched ./cmd/rwentry

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
bytes() { awk '/^rchar|^wchar/ {sum += $2} END {print sum}' "/proc/$1/io"; }
rss() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

measure() { # name pid workers
  local t0 b0 t1 b1
  t0=$(ticks "$2") b0=$(bytes "$2")
  sleep "$seconds"
  t1=$(ticks "$2") b1=$(bytes "$2")
  awk -v name="$1" -v w="$3" -v t=$((t1 - t0)) -v b=$((b1 - b0)) -v s="$seconds" -v m="$(rss "$2")" \
    'BEGIN {printf "role=%s workers=%d core_percent=%.2f rss_mib=%.1f bytes_per_s=%.0f\n", name, w, t / s, m / 1024, b / s}'
}

for workers in "${sizes[@]}"; do
  sed -e "s/^workers = .*/workers = $workers/" -e "s/^workers_per_rack = .*/workers_per_rack = 8/" \
    -e "s/^first_target_port = .*/first_target_port = 0/" examples/local/standin.toml > "$dir/standin.toml"
  "$dir/rwstandin" run -config "$dir/standin.toml" 2> "$dir/standin.log" & pids+=($!)
  for i in 1 2 3; do
    "$dir/rwsched" run -config "examples/local/sched$i.toml" 2> "$dir/sched$i.log" & pids+=($!)
    "$dir/rwentry" run -config "examples/local/entry$i.toml" 2> "$dir/entry$i.log" & pids+=($!)
  done
  sleep 15
  measure rwsched "${pids[1]}" "$workers" &
  first=$!
  measure rwentry "${pids[2]}" "$workers"
  wait "$first"
  stop
  sleep 1
done
