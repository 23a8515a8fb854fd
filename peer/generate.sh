#!/usr/bin/env bash
# Generates the Go code of peer/peerv1 from its .proto files. The generated code is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --go_out=. --go_opt=module=bergamotcroft.example/bergamot \
  --connect-go_out=. --connect-go_opt=module=bergamotcroft.example/bergamot \
  peer/peerv1/heartbeat.proto peer/peerv1/peer.proto
