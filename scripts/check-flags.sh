#!/usr/bin/env bash
# Checks that zinniad, zinniactl and the stand-ins refuse every bad value with its name, value and range and exit code 2,
# that a flag goes before the environment, and that --help names every option. Usage: scripts/check-flags.sh BUILD_FOLDER
set -uo pipefail
build="$1"
good=(--node n1 --region klang --domain klang-a --store 127.0.0.1:1)
failures=0

refused_by() {  # refused_by PROGRAM EXPECTED ARGUMENTS...
  local program="$1" expected="$2"; shift 2
  local text code=0
  text=$(timeout 10 "$build/$program" "$@" 2>&1) || code=$?
  if [ "$code" -ne 2 ] || [[ "$text" != *"$expected"* ]]; then
    echo "$program $*: exit $code, '$text'; expected 2 and '$expected'"; failures=$((failures + 1))
  fi
}
refused() { refused_by zinniad "$@"; }  # refused EXPECTED ARGUMENTS...

refused "node: '' is not allowed" --region klang --domain klang-a --store 127.0.0.1:1
refused "region: 'a b' is not allowed" --node n1 --domain d --store 127.0.0.1:1 --region "a b"
refused "store: '' is not allowed; allowed: ip:port" --node n --region r --domain d
refused "store: 'http://x' is not allowed; allowed: ip:port" --node n --region r --domain d --store http://x
refused "listen-callers: '1.2.3.4' is not allowed; allowed: ip:port" "${good[@]}" --listen-callers 1.2.3.4
refused "listen-operators: '127.0.0.1:70000' is not allowed" "${good[@]}" --listen-operators 127.0.0.1:70000
refused "stop-limit-ms: '10' is not allowed; allowed: 3000 to 3600000" "${good[@]}" --stop-limit-ms 10
refused "stop-limit-ms: '4s' is not allowed" "${good[@]}" --stop-limit-ms 4s
refused "retry-percent: '101' is not allowed; allowed: 0 to 100" "${good[@]}" --retry-percent 101
refused "log-level: 'loud' is not allowed; allowed: debug, info, warn, error" "${good[@]}" --log-level loud
refused "tree: cannot be read" "${good[@]}" --tree /no/such/file
refused "unrecognised option" "${good[@]}" --no-such-flag
ZINNIA_RETRY_PERCENT=101 refused "retry-percent: '101' is not allowed" "${good[@]}"
ZINNIA_RETRY_PERCENT=0 refused "retry-percent: '999' is not allowed" "${good[@]}" --retry-percent 999
ZINNIA_RETYR_PERCENT=1 refused "ZINNIA_RETYR_PERCENT" "${good[@]}"
ZINNIAFIELD_CONFIG=/no/such/file refused "/no/such/file: cannot be read"
store=(--store 127.0.0.1:1)
refused_by zinniactl "--output: 'xml' is not allowed; allowed: text, json" "${store[@]}" --output xml servers
refused_by zinniactl "servers: 'b-1' is not allowed; allowed: 0 arguments" "${store[@]}" servers b-1
refused_by zinniactl "unknown command 'server'; did you mean 'servers'?" "${store[@]}" server
refused_by zinniactl "fate: an argument is missing" "${store[@]}" fate
address="allowed: ip:port with a port of 0 to 65535"
refused_by standin_store "port: 'x' is not allowed; allowed: 0 to 65535" --port x
refused_by standin_store "port: '70000' is not allowed; allowed: 0 to 65535" --port 70000
refused_by standin_store "unrecognised option '--prot'" --prot 7080
refused_by standin_store "too many positional options" 7080
refused_by standin_backend "slots: '0' is not allowed; allowed: 1 to 10000" --slots 0
refused_by standin_backend "count: '0' is not allowed; allowed: 1 to 1000" --count 0
refused_by standin_backend "work-ms: '4s' is not allowed; allowed: 0 to 3600000" --work-ms 4s
refused_by standin_backend "port: '65535' is not allowed; allowed: 0 to 64535" --port 65535
refused_by standin_backend "store: 'http://x' is not allowed; $address" --store http://x
refused_by standin_backend "zone: 'a b' is not allowed; allowed: 1 to 64 letters" --zone "a b"
refused_by standin_caller "directory: '' is not allowed; $address"
refused_by standin_caller "objects: '0' is not allowed; allowed: 1 to 1000000" --directory 127.0.0.1:1 --objects 0
refused_by standin_caller "threads: '0' is not allowed; allowed: 1 to 1000" --directory 127.0.0.1:1 --threads 0
refused_by standin_caller "seconds: '-1' is not allowed; allowed: 1 to 86400" --directory 127.0.0.1:1 --seconds -1
refused_by standin_caller "method: 'PUT' is not allowed; allowed: GET, POST" --directory 127.0.0.1:1 --method PUT
refused_by standin_caller "path: 'slots' is not allowed; allowed: a path that begins with '/'" --directory 127.0.0.1:1 --path slots
for program in standin_store standin_backend standin_caller; do
  timeout 10 "$build/$program" --help | grep -q -- "--help" || { echo "$program --help fails"; failures=$((failures + 1)); }
done
for option in node region domain store tree listen-callers listen-ready listen-directory listen-operators log-level \
  peer-port notice-port forward-port stop-limit-ms drain-limit-ms retry-percent max-descriptors fate-records; do
  "$build/zinniad" --help | grep -q -- "--$option" || { echo "--help lacks --$option"; failures=$((failures + 1)); }
done
exit "$failures"
