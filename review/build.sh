#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. The programs under test
# come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
Jobs=()
for Source in review/[1-5]/case.cc; do
  Number=$(basename "$(dirname "$Source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$Source" \
    -o "target/review/case-$Number" &
  Jobs+=($!)
done
for Job in "${Jobs[@]}"; do wait "$Job"; done
ls target/review/case-*
