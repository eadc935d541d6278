#!/usr/bin/env bash
# Functions that start and stop a whole system on this machine; sourced by demo.sh.
# Everything started is noted by process id and ended by it.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
bin="$root/build"
work="$(mktemp -d)"
pids=()
declare -A pid_of

start() {  # start NAME PROGRAM ARGUMENTS...: runs a program in the background; its output goes to a file
  local name="$1"; shift
  "$@" >"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=($!)
}

stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}

wait_for() {  # wait_for SECONDS COMMAND...: until the command succeeds
  local limit=$(( $(date +%s) + $1 )); shift
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s)" -lt "$limit" ] || { echo "timed out: $*" >&2; return 1; }
    sleep 0.1
  done
}

port_of() {  # port_of NAME: the port that a stand-in printed
  wait_for 10 grep -q listening "$work/$1.log"
  sed -n 's/^listening //p' "$work/$1.log" | head -n 1
}

ctl() { "$bin/zinniactl" --store "$store" --author demo "$@"; }

# The platform's configuration as its operator would write it: one host, a safe and an unsafe route.
write_config() {  # write_config VERSION
  local spec
  spec=$(jq -nc --arg version "$1" '{version: $version,
    limits: {maxHeaderBytes: 16384, maxBodyBytes: 1048576, headerTimeoutMs: 3000, idleTimeoutMs: 15000},
    listeners: [{host: "demo.example", rules: [
      {name: "slots", kind: "safe", targetLatencyMs: 300, priority: 2, sticky: true, match: {pathPrefix: "/slots/"},
       action: {service: "crewdesk", timeoutMs: 1000, maxAttempts: 2}},
      {name: "bookings", kind: "unsafe", targetLatencyMs: 300, priority: 1, sticky: true,
       match: {pathPrefix: "/bookings/"}, action: {service: "crewdesk", timeoutMs: 1000, maxAttempts: 2}}]}],
    clusters: [{name: "crewdesk", healthPath: "/health", maxConnections: 330, coldStartS: 3, coldPerS: 10}]}')
  curl -sf -o /dev/null -X POST "http://$store/zinniafield/objects/config" \
    -d "{\"metadata\":{\"name\":\"main\"},\"spec\":$spec}" ||
    curl -sf -o /dev/null -X PUT "http://$store/zinniafield/objects/config/main" \
      -d "{\"metadata\":{\"name\":\"main\"},\"spec\":$spec}"
}

start_node() {  # start_node NAME REGION DOMAIN IP
  start "$1" "$bin/zinniad" --node "$1" --region "$2" --domain "$3" --store "$store" --tree "$root/deploy/tree.yaml" \
    --listen-callers "$4:7300" --listen-ready "$4:7301" --listen-directory "$4:7302" --listen-operators "$4:7303"
}

is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1:7301/")" = 200 ]; }

# Store, backend servers of one service in six failure domains, and an entry VM in each of them.
start_system() {
  start store "$bin/standin_store" --port 0
  store="127.0.0.1:$(port_of store)"
  write_config 00000001
  local r=0 region domain
  for region in klang penang kuching; do
    r=$((r + 1))
    for domain in a b; do
      start "backends-$region-$domain" "$bin/standin_backend" --store "$store" --service crewdesk \
        --zone "$region-$domain" --count 2 --slots 3 --work-ms 40
      start_node "$region-$domain" "$region" "$region-$domain" "127.0.$r.$([ "$domain" = a ] && echo 1 || echo 2)"
    done
  done
  for r in 1 2 3; do
    wait_for 20 is_ready "127.0.$r.1"
    wait_for 20 is_ready "127.0.$r.2"
  done
  wait_for 20 all_known
}

all_known() {  # every node knows 12 backend servers and 6 nodes
  [ "$(ctl --output json status | jq '[.[] | select(.backends == 12 and (.nodes_alive | length) == 6)] | length')" -eq 6 ]
}

backend_ports() { sed -n 's/^listening //p' "$work"/backends-*.log; }

backend_sum() {  # backend_sum FIELD: over all backend servers
  local port
  for port in $(backend_ports); do curl -s "http://127.0.0.1:$port/counts"; echo; done | jq -s "map(.$1) | add"
}
