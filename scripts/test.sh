#!/usr/bin/env bash
# Installs the packages, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install-packages.sh
cmake -S . -B build -G Ninja
cmake --build build
bash scripts/run-tests.sh
