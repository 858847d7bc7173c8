#!/usr/bin/env bash
# Checks format and lint of all sources but the generated ones. Needs a
# configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t Sources < <(git ls-files '*.cc' '*.h' | grep -v '^wire/generated/')
clang-format --dry-run --Werror "${Sources[@]}"
printf '%s\n' "${Sources[@]}" | grep '\.cc$' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2> >(grep -v 'generated\.$\|Suppressed\|Use -header-filter' >&2)
echo "style: clean"
