#!/usr/bin/env bash
# Sets up a fresh machine, builds, and runs a whole deployment on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install-packages.sh
cmake -S . -B build -G Ninja
cmake --build build
build/demo --programs build --work build/demo-run
