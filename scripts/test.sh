#!/usr/bin/env bash
# Installs the dependencies, builds, checks formatting and naming, and runs all tests, those of the
# dispatch package also with sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
scripts/check-packages.py
scripts/lint.sh
scripts/sanitize.sh
exec ctest --test-dir build --output-on-failure -j 4
