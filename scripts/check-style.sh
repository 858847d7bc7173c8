#!/usr/bin/env bash
# Checks all sources except generated ones with clang-format and clang-tidy.
# Needs a configured build folder, because clang-tidy reads its compile
# commands.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t Sources < <(git ls-files '*.cc' '*.h' | grep -v '^wire/generated/')
clang-format --dry-run --Werror "${Sources[@]}"
printf '%s\n' "${Sources[@]}" | grep '\.cc$' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2> >(grep -v 'generated\.$\|Suppressed\|Use -header-filter' >&2)
echo "style: clean"
