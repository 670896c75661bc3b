#!/usr/bin/env bash
# Runs the case of the folder given as the only argument: exit 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
number=$(basename "$folder")
cd "$folder/../.."
program=target/radishwing-node
world=target/review-2/case-$number
if [ ! -x "$program" ] || [ ! -x "$world" ]; then
  echo "build the deploy file's program and run review/build-2.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 118 "$world" "$program" "$temporary" "$folder/record.txt"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp -r "$temporary" "$KEEP_LOGS"
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
