#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. Run it after
# the build of the deploy file, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
lib=target/build
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -I. -DBOOST_ASIO_SEPARATE_COMPILATION
  -DBOOST_BEAST_SEPARATE_COMPILATION -DBOOST_ASIO_NO_DEPRECATED
  -DBOOST_ASIO_DISABLE_CONCEPTS)
common=(store book runner world)
cases=()
for source in review/world-3/case_*.cc; do
  cases+=("$(basename "$source" .cc)")
done
pids=()
for name in "${common[@]}" "${cases[@]}"; do
  g++ "${flags[@]}" -c "review/world-3/$name.cc" -o "$out/$name.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
objects=()
for name in "${common[@]}"; do objects+=("$out/$name.o"); done
for name in "${cases[@]}"; do
  g++ "$out/$name.o" "${objects[@]}" -o "$out/$name" \
    "$lib/libradishwing_node_core.a" "$lib/libthird_party_json.a" \
    "$lib/libthird_party_asio.a" "$lib/libthird_party_log.a" -lpthread
done
