#!/usr/bin/env bash
# Installs what is missing, builds, runs a whole system on this machine and checks what it promises.
# Ends with a table and exit code 0; anything untrue ends it non-zero.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build >build.log 2>&1 || { tail -n 60 build.log; exit 1; }
source scripts/system.sh
trap stop_all EXIT
rows=()
failures=0

check() {  # check WHAT SEEN COMMAND...: a row of the table
  local what="$1" seen="$2"; shift 2
  if "$@"; then rows+=("ok    | $what | $seen"); else rows+=("FALSE | $what | $seen"); failures=$((failures + 1)); fi
}

equal() { [ "$1" = "$2" ]; }

echo "starting a store, 12 backend servers and 6 entry VMs in 3 regions"
start_system
ctl apply --file deploy/tree.yaml >/dev/null

named=$(curl -s "http://127.0.2.1:7302/zinniafield/resolve?name=demo.example&region=klang&zone=klang-a")
check "callers in klang-a, asking in penang, are sent to klang-a" "$(jq -c .addresses <<<"$named")" \
  equal "$(jq -r '.addresses[0]' <<<"$named")" 127.0.1.1:7300

ask() {  # ask ENTRY METHOD PATH ID: status and body
  curl -s -w '%{http_code}' -X "$2" -H 'Host: demo.example' -H "Request-Id: $4" -H 'Deadline-Ms: 1000' \
    -H 'Affinity-Key: crew-7' "http://$1:7300$3"
}
answer=$(ask 127.0.1.1 GET /slots/render look-1)
check "a look-up is answered whole" "${answer: -3}" equal "$answer" "GET /slots/render look-1
200"
answer=$(ask 127.0.1.1 POST /bookings/reset book-1)
check "a booking whose answer is lost is not called refused" "HTTP ${answer: -3}" equal "${answer: -3}" 502
answer=$(ask 127.0.1.1 GET /slots/reset look-2)
check "a look-up whose answer is lost is tried at a second server" "$(ctl --output json fate look-2 | jq -r .attempts)" \
  equal "$(ctl --output json fate look-2 | jq -r '.attempts | split(" ") | length')" 2
check "the booking's fate can be told" "$(ctl --output json fate book-1 | jq -r '.verdict + ", " + .reason')" \
  equal "$(ctl --output json fate book-1 | jq -r .verdict)" may-have-run

echo "load from 24 callers for 16 s under a new configuration, drains, a stop, a store outage and a lost VM"
load() {  # load NAME REGION DOMAIN IP METHOD PATH
  start "$1" "$bin/standin_caller" --directory "$4:7302" --region "$2" --zone "$3" --method "$5" --path "$6" \
    --threads 8 --seconds 16
}
load looks klang klang-a 127.0.2.1 GET /slots/
load books penang penang-a 127.0.2.1 POST /bookings/
load far kuching kuching-b 127.0.3.2 GET /slots/
sleep 2
write_config 00000007
first_backend=$(backend_ports | head -n 1)
curl -s -X POST "http://127.0.0.1:$first_backend/control?state=draining" >/dev/null
ctl drain domain penang-b >/dev/null
kill -TERM "${pid_of[kuching-a]}"
sleep 4
after_leaving=$(curl -s "http://127.0.0.1:$first_backend/counts" | jq .runs)
curl -s -X POST "http://$store/faults?refuse=503" >/dev/null
sleep 3
check "a backend server that leaves gets nothing more, 4 s later" \
  "$(($(curl -s "http://127.0.0.1:$first_backend/counts" | jq .runs) - after_leaving)) runs" \
  equal "$(curl -s "http://127.0.0.1:$first_backend/counts" | jq .runs)" "$after_leaving"
curl -s -X POST "http://$store/faults?refuse=0" >/dev/null
kill -KILL "${pid_of[klang-b]}"
code=0; wait "${pid_of[kuching-a]}" || code=$?
check "a stopped entry VM ends by itself" "exit code $code" equal "$code" 0
for name in looks books far; do
  code=0; wait "${pid_of[$name]}" || code=$?
  report=$(tail -n 1 "$work/$name.log")
  check "$name: no answer went to another request" "$(jq -c .endings <<<"$report"), p99 $(jq .p99_ms <<<"$report") ms" \
    equal "$(jq .mixed_up <<<"$report")" 0
done
cut_off=$(jq -s '[.[].endings["0"] // 0] | add' <(tail -qn 1 "$work"/{looks,books,far}.log))
check "no request was cut off" "$cut_off" equal "$cut_off" 0
twice=$(backend_sum twice)
check "no booking ran twice" "$twice twice" equal "$twice" 0
nodes_named() { curl -s "http://127.0.1.1:7303/v1/status" | jq '.nodes_alive | length'; }
check "the lost and the stopped VM are no longer named" "$(nodes_named) nodes" equal "$(nodes_named)" 4
check "the operator's drain is complete" "$(ctl --output json status | jq -c '[.[].shifts[0].percent // empty] | unique')" \
  test "$(ctl --output json status | jq '[.[].shifts[0].percent // empty] | min')" -ge 25
check "metrics are served" "$(curl -s http://127.0.1.1:7303/metrics | grep -c '^zinnia_') lines" \
  test "$(curl -s http://127.0.1.1:7303/metrics | grep -c '^zinnia_requests_total [1-9]')" -eq 1

echo
printf '%s\n' "${rows[@]}"
[ "$failures" -eq 0 ] || { echo "$failures untrue"; exit 1; }
