#!/usr/bin/env bash
# Installs the dependencies, builds, and runs the session: Karoo's installation under real traffic,
# a zone that is taken out of service and returned, then the report. Records are kept in
# build/session.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
exec build/bin/endivedoor-session --folder=build/session "$@"
