#!/usr/bin/env bash
# Measures the real binaries on this machine: requests and added latency beside the same callers going straight to the
# same backend servers, look-ups a second, and an idle node's processor time and memory. Usage: bench/path.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:-5}"
export SERVICE_MS=5 REGION_MS=0 DOMAIN_MS=0
source scripts/system.sh
trap stop_all EXIT
start_system examples/kapur-jaya.yaml klang penang kuching
entry="${caller_of[klang-1]}"
pid="${node_pid[klang-1]}"

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
row() { jq -r --arg name "$1" '"| \($name) | \(.per_second | floor) | \(.p50_ms * 100 | floor / 100) | \(.p99_ms * 100 | floor / 100) | \(.p999_ms * 100 | floor / 100) |"'; }

echo "| callers | requests/s | p50 ms | p99 ms | p99.9 ms |"
echo "|---|---|---|---|---|"
for threads in 1 3 12; do
  direct=$("$bin/standin_caller" --direct 127.0.0.1:9101 --threads "$(( threads < 3 ? threads : 3 ))" --seconds "$seconds")
  through=$("$bin/standin_caller" --entry "$entry" --threads "$threads" --seconds "$seconds")
  row "$threads straight to a backend server (3 at most)" <<<"$direct"
  row "$threads through an entry" <<<"$through"
  jq -nr --argjson a "$through" --argjson b "$direct" \
    '"| ratio | \($a.per_second / $b.per_second * 100 | floor / 100) | \($a.p50_ms / $b.p50_ms * 100 | floor / 100) | \($a.p99_ms / $b.p99_ms * 100 | floor / 100) | \($a.p999_ms / $b.p999_ms * 100 | floor / 100) |"'
done
before=$(cpu_ticks "$pid")
lookups=$("$bin/standin_caller" --entry "$entry" --lookups --threads 4 --seconds "$seconds")
spent=$(( $(cpu_ticks "$pid") - before ))
echo
jq -nr --argjson l "$lookups" --argjson ticks "$spent" --argjson s "$seconds" \
  '"look-ups: \($l.per_second | floor)/s with \($ticks / 100 / $s * 100 | floor)% of a core: \($l.requests / ($ticks / 100) | floor) a second per core"'
sleep 2
before=$(cpu_ticks "$pid"); calls=$(curl -s "$store/calls")
sleep 10
echo "idle node: $(jq -n "$(cpu_ticks "$pid") - $before")0 ms of processor time in 10 s, $(rss_kb "$pid") KB resident"
echo "idle system of 9 nodes: $(jq -n "($(curl -s "$store/calls") - $calls) / 10") store calls a second"
