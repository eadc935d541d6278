#!/usr/bin/env bash
# Installs what the build, the tests and the checks need on a fresh Debian machine. Does nothing if it is there.
set -euo pipefail
packages=(
  g++ cmake ninja-build clang-format clang-tidy git curl jq
  libabsl-dev libflatbuffers-dev libboost-dev libboost-program-options-dev libmicrohttpd-dev
  libcurl4-openssl-dev liblog4cplus-dev libyaml-cpp-dev nlohmann-json3-dev libxxhash-dev
  libtomlplusplus-dev libgtest-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
run=(); [ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -q
for package in "${missing[@]}"; do
  DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -q --no-install-recommends "$package"
done
