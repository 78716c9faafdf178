#!/usr/bin/env bash
# Installs the dependencies, then configures and builds all targets in ./build.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
# Lets other checkouts on the same machine share the compiler cache.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja >/dev/null
ninja -C build
