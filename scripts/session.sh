#!/usr/bin/env bash
# Installs, builds and runs the session: Karoo's installation with real traffic, a zone that leaves and
# returns, then the report. Records are kept in build/session.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
exec build/bin/endivedoor-session --folder=build/session "$@"
