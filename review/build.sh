#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Run after the build of
# the deploy file, whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/build/libradishwing_node_core.a ]; then
  echo "run the build of deploy/system.toml first" >&2
  exit 2
fi
mkdir -p target/review
objects=()
pids=()
for source in review/*.cc; do
  object=target/review/$(basename "$source" .cc).o
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -I. -DBOOST_ASIO_SEPARATE_COMPILATION \
    -DBOOST_BEAST_SEPARATE_COMPILATION -DBOOST_ASIO_NO_DEPRECATED \
    -DBOOST_ASIO_DISABLE_CONCEPTS -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ -o target/review/stand_in "${objects[@]}" \
  target/build/libradishwing_node_core.a target/build/libthird_party_asio.a \
  target/build/libthird_party_json.a -lpthread
echo "built target/review/stand_in"
