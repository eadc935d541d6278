#!/usr/bin/env bash
# Builds once with AddressSanitizer and UBSan and once with ThreadSanitizer, and runs the tests under each.
set -euo pipefail
cd "$(dirname "$0")/.."
# libcurl, libmicrohttpd and log4cplus are Debian's builds, whose own locks ThreadSanitizer cannot see; conditions of
# Abseil's mutexes are evaluated inside its library by whichever thread unlocks.
suppressions="$(mktemp)"
trap 'rm -f "$suppressions"' EXIT
printf '%s\n' called_from_lib:libcurl.so called_from_lib:libmicrohttpd.so called_from_lib:liblog4cplus \
  race:libcurl.so race:libmicrohttpd.so race:liblog4cplus race:absl::debian3::Condition race:CastAndCallMethod >"$suppressions"
export TSAN_OPTIONS="suppressions=$suppressions"
for kind in address,undefined thread; do
  folder="build-${kind%%,*}"
  scripts/build.sh "$folder" -DZINNIA_SANITIZE="$kind" >"$folder.log" 2>&1 || { tail -n 40 "$folder.log"; exit 1; }
  echo "== $kind"
  ctest --test-dir "$folder" --output-on-failure -j "$(nproc)" --timeout 600 | tail -n 12
done
