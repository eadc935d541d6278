#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into target/review-2/.
# Needs the packages that deploy/system.toml names, and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  scene="review/$number/scene.cpp"
  [ -f "$scene" ] || continue
  g++ -std=c++20 -O1 -pthread "$scene" -o "target/review-2/scene-$number"
done
