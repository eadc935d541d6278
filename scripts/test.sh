#!/usr/bin/env bash
# Builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build >build.log 2>&1 || { tail -n 60 build.log; exit 1; }
ctest --test-dir build --output-on-failure -j "$(nproc)" --timeout 300 "$@"
