#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code; needs the package flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp -o packages/membership/src/generated packages/membership/beat.fbs
flatc --cpp -o packages/membership/src/generated packages/membership/notices.fbs
flatc --cpp -o packages/store/src/generated packages/store/news.fbs
flatc --cpp -o packages/store/src/generated packages/store/retained.fbs
