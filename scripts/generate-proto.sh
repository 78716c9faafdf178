#!/usr/bin/env bash
# Generates the committed protobuf sources of packages/peer; the build runs no generator.
set -euo pipefail
cd "$(dirname "$0")/../packages/peer"
protoc --proto_path=proto --cpp_out=generated proto/PeerMessage.proto
