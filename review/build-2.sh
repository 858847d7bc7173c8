#!/usr/bin/env bash
# Builds the stand-ins and checks of the scripts of the second review, into
# target/. The programs under test are those that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for Case in review/{6,7,8,9,10}/case.cc; do
  [ -f "$Case" ] || continue
  Number=$(basename "$(dirname "$Case")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$Case" \
    -o "target/review-2/case-$Number"
done
