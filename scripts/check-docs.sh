#!/usr/bin/env bash
# Runs the commands of the pages that are marked with "<!-- run -->", against a stand-in store.
# Usage: scripts/check-docs.sh BUILD_FOLDER
set -euo pipefail
build="$(cd "$1" && pwd)"
cd "$(dirname "$0")/.."
work="$(mktemp -d)"
"$build/standin_store" --port 0 >"$work/store" &
store=$!
trap 'kill "$store"; rm -rf "$work"' EXIT
until grep -q listening "$work/store"; do sleep 0.05; done
export ZINNIA_STORE="127.0.0.1:$(cut -d' ' -f2 "$work/store")"
export PATH="$build:$PATH"
count=0
for page in README.md docs/*.md docs/operating/*.md; do
  awk '/^<!-- run -->/ {mark=1; next} mark && /^```sh/ {on=1; mark=0; next} /^```/ {if (on) print ""; on=0} on' "$page" >"$work/script"
  [ -s "$work/script" ] || continue
  bash -euo pipefail "$work/script" >"$work/output" 2>&1 || { echo "$page: a command failed"; cat "$work/script" "$work/output"; exit 1; }
  count=$((count + 1))
done
echo "$count pages' commands ran"
[ "$count" -ge 2 ]
