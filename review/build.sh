#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/bin/. Needs g++ and nlohmann-json3-dev, as the
# build of the deploy file does.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf bin
mkdir bin
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
pids=()
for source in standins/*.cpp [1-5]/case.cpp; do
  object="bin/$(echo "${source%.cpp}" | tr / -).o"
  g++ "${flags[@]}" -c "$source" -o "$object" & pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for object in bin/[1-5]-case.o; do
  name="$(basename "$object" -case.o)"
  g++ "${flags[@]}" "$object" bin/standins-*.o -o "bin/case_$name"
done
