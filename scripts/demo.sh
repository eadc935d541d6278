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

echo "starting 9 entry VMs in 3 regions, 36 backend servers, links and a store"
start_system examples/kapur-jaya.yaml klang penang kuching
first="${caller_of[klang-1]}"

lookup=$(curl -s "http://${caller_of[kuching-1]}/v1/entries?service=crewdesk&client=10.1.9.9")
entry=$(jq -r '.entries[0].address' <<<"$lookup")
key=$(jq -r .idempotency_key <<<"$lookup")
check "a look-up from Klang's clients, asked in Kuching, names an entry in Klang" "$entry" \
  equal "$(jq -r '.entries[0].region' <<<"$lookup")" klang

crews=$(curl -s -o /dev/null -w '%{http_code}' "http://$entry/v1/services/crewdesk/crews?kind=render")
check "a look-up of crews is answered" "HTTP $crews" equal "$crews" 200

book() {  # book ENTRY KEY: answer's body
  curl -s -X POST -H "Idempotency-Key: $2" -d '{"crew":7}' -D "$work/head" "http://$1/v1/services/crewdesk/bookings"
}
answer=$(book "$entry" "$key")
booking=$(grep -i '^x-request-id' "$work/head" | tr -d '\r' | cut -d' ' -f2)
repeat=$(book "${caller_of[penang-2]}" "$key")
check "a booking repeated with its key at an entry in Penang gets the same answer" "$(jq -r .request <<<"$repeat")" \
  equal "$answer" "$repeat"
runs=$(backend_sum keys | jq ".[\"$key\"]")
check "and ran once" "$runs run" equal "$runs" 1

size=$(curl -s "http://$entry/v1/services/sitedocs/bytes/4000000?seed=d" | tr -d d | wc -c)
check "a download of 4 MB comes whole" "$size foreign bytes" equal "$size" 0

echo "load from 16 callers for 20 s while backend servers and an entry are drained and the store fails"
"$bin/standin_caller" --entry "$first" --method POST --path /bookings --threads 16 --seconds 20 >"$work/load.json" &
load=$!
sleep 2
ctl drain upstream 127.0.0.1:9101 >/dev/null
sleep 2
before=$(curl -s http://127.0.0.1:9101/counts | jq .runs)
curl -s -X POST 'http://127.0.0.1:9105/control?state=leaving' >/dev/null
sleep 2
refused=$(curl -s http://127.0.0.1:9105/counts | jq .after_leaving)
sleep 1
after=$(curl -s http://127.0.0.1:9101/counts | jq .runs)
check "a drained backend server gets no new work after 2 s" "$((after - before)) runs" equal "$before" "$after"
check "nor does one that says itself that it is leaving" \
  "$(($(curl -s http://127.0.0.1:9105/counts | jq .after_leaving) - refused)) after 2 s" \
  equal "$refused" "$(curl -s http://127.0.0.1:9105/counts | jq .after_leaving)"
ctl drain entry klang-2 >/dev/null
curl -s -X POST "$store/faults?down=0&lost_answers=2" >/dev/null
sleep 6
code=0; wait "${node_pid[klang-2]}" || code=$?
check "a drained entry ends by itself with exit code 0" "exit code $code" equal "$code" 0
curl -s -X POST "$store/faults?down=1" >/dev/null
sleep 5
curl -s -X POST "$store/faults?down=0" >/dev/null
wait "$load"
cut_off=$(jq '[.endings | to_entries[] | select(.key | startswith("0")) | .value] | add // 0' "$work/load.json")
unsure=$(jq '[.endings | to_entries[] | select(.key | startswith("502")) | .value] | add // 0' "$work/load.json")
served=$(jq '.endings["200"]' "$work/load.json")
check "of the requests under drains and a store outage, none was cut off" "$served served, $cut_off cut, $unsure unsure" \
  equal "$cut_off$unsure" 00
check "no answer went to another caller" "$(jq .mixed_up "$work/load.json") mixed up" \
  equal "$(jq .mixed_up "$work/load.json")" 0
most=$(backend_sum over_slots)
check "no backend server was offered a fourth request" "$most offered" equal "$most" 0

fate=$(ctl --output json fate "$booking")
check "the booking's fate can be told" "$(jq -r '.state + ", by " + .attempts[0].node' <<<"$fate")" \
  equal "$(jq -r .state <<<"$fate")" ran
ctl fate "$booking"

kill -KILL "${node_pid[klang-1]}"
gone() { ctl --output json status | jq -e 'all(.node != "klang-1")' >/dev/null; }
wait_for 30 gone
check "a killed entry's holdings are taken over" "$(ctl --output json status | jq -r \
  '[.[] | select(.region == "klang") | .node] | join(", ")') hold Klang" gone
fate=$(ctl --output json fate "$booking")
check "and the booking's fate is still told, from the batches" "$(jq -r '.state + " (" + .source + ")"' <<<"$fate")" \
  equal "$(jq -r .state <<<"$fate")" ran

echo "an entry in Penang is frozen past its term while bookings come in, then wakes; every key is repeated"
keys=()
for _ in $(seq 30); do
  keys+=("$(curl -s "http://${caller_of[penang-2]}/v1/entries?service=crewdesk&client=10.2.1.1" | jq -r .idempotency_key)")
done
book_all() {  # book_all ENTRY: all keys, some at once
  printf '%s\n' "${keys[@]}" | xargs -P 6 -I{} curl -s -o /dev/null -m 15 -X POST -H "Idempotency-Key: {}" \
    -H "X-Deadline-Ms: 3000" -d '{"crew":8}' "http://${caller_of[$1]}/v1/services/crewdesk/bookings"
}
kill -STOP "${node_pid[penang-1]}"
book_all penang-2
sleep 5
kill -CONT "${node_pid[penang-1]}"
book_all penang-3
sleep 1
book_all penang-1
twice=$(for port in $(seq 9101 9124); do curl -s "http://127.0.0.1:$port/counts"; echo; done |
  jq -s '[.[].keys | to_entries[]] | group_by(.key) | map(map(.value) | add) | map(select(. > 1)) | length')
ran=$(for port in $(seq 9101 9124); do curl -s "http://127.0.0.1:$port/counts"; echo; done |
  jq -s --argjson mine "$(printf '%s\n' "${keys[@]}" | jq -R . | jq -s .)" \
    '[.[].keys | keys[]] | map(select(. as $k | $mine | index($k))) | length')
check "no key ran twice" "$ran of 30 keys ran, $twice twice" equal "$twice" 0
most=$(backend_sum over_slots)
check "still no backend server was offered a fourth request" "$most offered" equal "$most" 0

echo
printf '%s\n' "${rows[@]}"
[ "$failures" -eq 0 ] || { echo "$failures untrue"; exit 1; }
