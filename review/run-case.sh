#!/usr/bin/env bash
# Runs the case of the given number. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. Ends everything that it started and removes
# its folder, also when it is interrupted.
cd "$(dirname "$0")/.." || exit 2
Program=target/review/case-$1
[[ -x $Program && -x target/goldcrestlinkd ]] || exit 2
Folder=$(mktemp -d) || exit 2
Case=
stop() {
  if [[ -n $Case ]]; then
    kill -KILL "$Case" 2>/dev/null
    wait "$Case" 2>/dev/null
  fi
  rm -rf "$Folder"
}
trap stop EXIT
trap 'exit 2' HUP INT TERM
REVIEW_FOLDER=$Folder "$Program" "review/$1" &
Case=$!
wait "$Case"
Code=$?
Case=
[[ $Code -le 1 ]] && exit "$Code"
exit 2
