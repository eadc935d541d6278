#!/usr/bin/env bash
# clang-format and clang-tidy over everything that the project wrote; generated code is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
files() { git ls-files -co --exclude-standard -- "$@" | grep -v '/generated/'; }
files '*.cpp' '*.hpp' | xargs clang-format --dry-run --Werror
[ -f build/compile_commands.json ] || scripts/build.sh build
files '*.cpp' | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/tmp/zinnia-tidy.$$ ||
  { grep -v 'warnings generated' /tmp/zinnia-tidy.$$; rm -f /tmp/zinnia-tidy.$$; exit 1; }
rm -f /tmp/zinnia-tidy.$$
echo "style: clean"
