#!/usr/bin/env bash
# Builds the tests of the dispatch package with AddressSanitizer and UndefinedBehaviorSanitizer, and runs them.
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake --preset asan >/dev/null
mapfile -t tests < <(basename -s .cpp -a tests/unit/unit-dispatch-*.cpp)
ninja -C build-asan "${tests[@]}"
exec ctest --test-dir build-asan --output-on-failure -j 4 -R '^unit-dispatch-'
