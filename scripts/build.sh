#!/usr/bin/env bash
# Installs what is missing and builds everything into build/ (or $1, with the CMake arguments that follow).
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
folder="${1:-build}"; shift || true
cmake -G Ninja -S . -B "$folder" "$@" >"/tmp/zinnia-cmake.$$" 2>&1 || { cat "/tmp/zinnia-cmake.$$"; exit 1; }
rm -f "/tmp/zinnia-cmake.$$"
cmake --build "$folder"
