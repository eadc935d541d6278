#!/usr/bin/env bash
# Builds once with AddressSanitizer and UBSan and once with ThreadSanitizer, and runs the tests under each.
set -euo pipefail
cd "$(dirname "$0")/.."
for kind in address,undefined thread; do
  folder="build-${kind%%,*}"
  scripts/build.sh "$folder" -DZINNIA_SANITIZE="$kind" >"$folder.log" 2>&1 || { tail -n 40 "$folder.log"; exit 1; }
  echo "== $kind"
  ctest --test-dir "$folder" --output-on-failure -j "$(nproc)" --timeout 600 | tail -n 12
done
