#!/usr/bin/env bash
# Configures and builds everything into ./build.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build
