#!/usr/bin/env bash
# run_case.sh PROGRAM FOLDER: runs a case and writes FOLDER/record.txt. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
program=target/review-3/$1
if [ ! -x "$program" ] || [ ! -x target/radishwing-node ]; then
  echo "build the deploy file and run review/build-3.sh first"
  exit 2
fi
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
rm -f "$folder/record.txt"
timeout --kill-after=2 118 "$program" "$dir" "$folder/record.txt"
status=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$dir"/*.log "$KEEP_LOGS"
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
