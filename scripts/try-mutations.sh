#!/usr/bin/env bash
# Mutation testing: applies each change of testing/mutations.txt to a copy of
# the sources, one at a time, and runs the tests that must fail because of it.
# Prints one line per change, and fails if a change is not detected, cannot be
# applied or does not build. Not part of CI, because it builds the complete
# project once and again, incrementally, for each change.
#   scripts/try-mutations.sh [COPY [NAMES]]   folder of the copy; kept for the
#                   next run if given, otherwise temporary. Only the changes
#                   whose names match the regular expression NAMES, if given.
set -euo pipefail
cd "$(dirname "$0")/.."
Copy=${1:-$(mktemp -d)}
[ $# -gt 0 ] || trap 'rm -rf "$Copy"' EXIT
mkdir -p "$Copy"
git ls-files -z | grep -zv '^journal/' | xargs -0 cp --parents -t "$Copy"
cmake -S "$Copy" -B "$Copy/build" -G Ninja >/dev/null
cmake --build "$Copy/build" -j "${JOBS:-4}" >/dev/null
Unnoticed=0
while IFS='@' read -r Name File Change Tests; do
  [[ -z "$Name" || "$Name" == \#* ]] && continue
  [[ "$Name" =~ ${2:-} ]] || continue
  File=${File// /}
  Tests=${Tests// /}
  cp "$File" "$Copy/$File.whole"
  perl -0pi -e "${Change# }" "$Copy/$File"
  if cmp -s "$Copy/$File" "$Copy/$File.whole"; then
    Verdict="NOT APPLIED"
  elif ! cmake --build "$Copy/build" -j "${JOBS:-4}" --target "$Tests" >/dev/null 2>&1; then
    Verdict="DOES NOT BUILD"
  elif (cd "$Copy/build" && timeout 600 "./$Tests" >/dev/null 2>&1); then
    Verdict="UNNOTICED"
  else
    Verdict="red"
  fi
  [ "$Verdict" = red ] || Unnoticed=1
  printf '%-40s %-24s %s\n' "$Name" "$Tests" "$Verdict"
  mv "$Copy/$File.whole" "$Copy/$File"
  touch "$Copy/$File"
done < <(sed 's/ @ /@/g' testing/mutations.txt)
exit $Unnoticed
