#!/usr/bin/env bash
# Checks that zinniad refuses every bad value with its name, value and range and exit code 2, that a flag goes before
# the environment, and that --help names every option. Usage: scripts/check-flags.sh BUILD_FOLDER
set -uo pipefail
build="$1"
good=(--node n1 --region klang --domain klang-a --store-url http://127.0.0.1:1)
failures=0

refused() {  # refused EXPECTED ARGUMENTS...
  local expected="$1"; shift
  local text code=0
  text=$("$build/zinniad" "$@" 2>&1) || code=$?
  if [ "$code" -ne 2 ] || [[ "$text" != *"$expected"* ]]; then
    echo "zinniad $*: exit $code, '$text'; expected 2 and '$expected'"; failures=$((failures + 1))
  fi
}

refused "node: '' is not allowed" --region klang --domain klang-a --store-url http://x:1
refused "region: 'a b' is not allowed" --node n1 --domain d --store-url http://x:1 --region "a b"
refused "store-url: 'ftp://x' is not allowed; allowed: http://ip:port" --node n --region r --domain d --store-url ftp://x
refused "listen-caller: '1.2.3.4' is not allowed; allowed: ip:port" "${good[@]}" --listen-caller 1.2.3.4
refused "listen-peer: '127.0.0.1:70000' is not allowed" "${good[@]}" --listen-peer 127.0.0.1:70000
refused "term-ms: '10' is not allowed; allowed: 200 to 60000" "${good[@]}" --term-ms 10
refused "term-ms: '4s' is not allowed" "${good[@]}" --term-ms 4s
refused "heartbeat-ms: '3000' is not allowed; allowed: less than half of term-ms 4000" "${good[@]}" --heartbeat-ms 3000
refused "workers: '0' is not allowed; allowed: 1 to 4096" "${good[@]}" --workers 0
refused "log-level: 'loud' is not allowed; allowed: debug, info, warn, error" "${good[@]}" --log-level loud
refused "unrecognised option" "${good[@]}" --no-such-flag
ZINNIA_WORKERS=0 refused "workers: '0' is not allowed" "${good[@]}"
ZINNIA_WORKERS=0 refused "workers: '9999' is not allowed" "${good[@]}" --workers 9999
ZINNIA_WORKRES=1 refused "ZINNIA_WORKRES" "${good[@]}"
for option in node region domain store-url listen-caller listen-peer advertise-peer log-level term-ms workers fate-records; do
  "$build/zinniad" --help | grep -q -- "--$option" || { echo "--help lacks --$option"; failures=$((failures + 1)); }
done
exit "$failures"
