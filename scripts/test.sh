#!/usr/bin/env bash
# Installs the dependencies, builds, checks formatting and naming, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
scripts/lint.sh
exec ctest --test-dir build --output-on-failure -j 4
