#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0: without the disruption. Build first: review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/goldcrestlinkd ] && [ -x target/review-2/case-8 ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
Case=
trap 'rm -rf "$TMPDIR"' EXIT
# The processes of the case end with it.
trap 'kill -KILL "$Case" 2>/dev/null; wait "$Case" 2>/dev/null; exit 2' INT TERM HUP
target/review-2/case-8 &
Case=$!
wait "$Case"
Code=$?
[ $Code -le 2 ] || Code=2
exit $Code
