#!/usr/bin/env bash
# Installs the packages, builds, and runs a complete deployment on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install-packages.sh
cmake -S . -B build -G Ninja
cmake --build build
build/demo --programs build --work build/demo-run
