#!/usr/bin/env bash
# Regenerates the committed protobuf code. Run it after a change of
# messages.proto. Needs Debian's package protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --cpp_out=wire/generated -Iwire wire/messages.proto
