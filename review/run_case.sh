#!/usr/bin/env bash
# run_case.sh N: runs the program of a case in the root of the repository. Its status is that of the case.
set -uo pipefail
cd "$(dirname "$0")/.."
[ -x target/zinniad ] && [ -x "review/bin/case_$1" ] || { echo "build target/ and review/build.sh first" >&2; exit 2; }
exec "review/bin/case_$1" "review/$1/record.txt"
