#!/usr/bin/env bash
# Checks that zinniad refuses every bad value with its name, value and range and exit code 2, that a flag goes before
# the environment, and that --help names every option. Usage: scripts/check-flags.sh BUILD_FOLDER
set -uo pipefail
build="$1"
good=(--node n1 --region klang --domain klang-a --store 127.0.0.1:1)
failures=0

refused() {  # refused EXPECTED ARGUMENTS...
  local expected="$1"; shift
  local text code=0
  text=$("$build/zinniad" "$@" 2>&1) || code=$?
  if [ "$code" -ne 2 ] || [[ "$text" != *"$expected"* ]]; then
    echo "zinniad $*: exit $code, '$text'; expected 2 and '$expected'"; failures=$((failures + 1))
  fi
}

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
for option in node region domain store tree listen-callers listen-ready listen-directory listen-operators log-level \
  peer-port notice-port forward-port stop-limit-ms drain-limit-ms retry-percent max-descriptors fate-records; do
  "$build/zinniad" --help | grep -q -- "--$option" || { echo "--help lacks --$option"; failures=$((failures + 1)); }
done
exit "$failures"
