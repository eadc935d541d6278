#!/usr/bin/env bash
# Functions that start and stop a whole system on this machine; sourced by demo.sh and by the measurements.
# Everything started is noted by process id and ended by it.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
bin="$root/build"
work="$(mktemp -d)"
store_port=${ZINNIA_STORE_PORT:-7080}
store="http://127.0.0.1:$store_port"
pids=()
declare -A node_pid
declare -A caller_of

start() {  # start NAME PROGRAM ARGUMENTS...: runs a program in the background; its output goes to a file
  local name="$1"; shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  last_pid=$!
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

ctl() { "$bin/zinniactl" --store "$store" --author demo "$@"; }

start_node() {  # start_node NAME REGION DOMAIN ADDRESS [FLAGS...]
  local name="$1" region="$2" domain="$3" ip="$4"; shift 4
  start "$name" "$bin/zinniad" --node "$name" --region "$region" --domain "$domain" --store-url "$store" \
    --listen-caller "$ip:7300" --listen-peer "$ip:7200" --advertise-peer "$ip:7100" "$@"
  node_pid[$name]=$last_pid
  caller_of[$name]="$ip:7300"
}

# start_system TREE REGION...: store, backend servers, links and three entry VMs in two domains of each region.
start_system() {
  local tree="$1"; shift
  start store "$bin/standin_store" --port "$store_port"
  start crew_backends "$bin/standin_backend" --port 9101 --count 24 --slots 3 --service-ms "${SERVICE_MS:-20}"
  start docs_backends "$bin/standin_backend" --port 9201 --count 12 --slots 3 --service-ms "${SERVICE_MS:-20}"
  wait_for 10 curl -sf "$store/calls"
  ctl apply --file "$tree" >/dev/null
  local pairs=() r=0 region n
  for region in "$@"; do
    r=$((r + 1))
    for n in 1 2 3; do pairs+=(--pair "127.0.$r.$n:7100=127.0.$r.$n:7200"); done
  done
  start link "$bin/standin_link" "${pairs[@]}" --domain-ms "${DOMAIN_MS:-1}" --region-ms "${REGION_MS:-55}"
  r=0
  for region in "$@"; do
    r=$((r + 1))
    start_node "$region-1" "$region" "$region-a" "127.0.$r.1" ${NODE_FLAGS:-}
    start_node "$region-2" "$region" "$region-b" "127.0.$r.2" ${NODE_FLAGS:-}
    start_node "$region-3" "$region" "$region-a" "127.0.$r.3" ${NODE_FLAGS:-}
  done
  for name in "${!caller_of[@]}"; do wait_for 20 curl -sf "http://${caller_of[$name]}/readyz"; done
  wait_for 20 all_held
}

all_held() {  # every upstream and every bucket has a holder
  [ "$(ctl --output json status | jq '[.[].upstreams | length] | add')" -eq 36 ] &&
    [ "$(ctl --output json status | jq '[.[].buckets | length] | add')" -eq 18 ]
}

backend_sum() {  # backend_sum FIELD: over all backend servers
  local port
  for port in $(seq 9101 9124) $(seq 9201 9212); do curl -s "http://127.0.0.1:$port/counts"; echo; done |
    jq -s "map(.$1) | add"
}
