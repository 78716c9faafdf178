#!/usr/bin/env bash
# Configures and builds everything into ./build.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
# Another checkout on the same machine finds what this one has compiled.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja >/dev/null
ninja -C build
