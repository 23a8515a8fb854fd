#!/usr/bin/env bash
# Generates the Go code of admin/adminv1 from its .proto file. The generated code is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --go_out=. --go_opt=module=bergamotcroft.example/bergamot \
  --connect-go_out=. --connect-go_opt=module=bergamotcroft.example/bergamot \
  admin/adminv1/admin.proto
