#!/usr/bin/env bash
# Runs the fuzz target for so many inputs from its corpus, with a fixed seed: the same verdict every time.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:?how many inputs}
cmake -S . -B build-fuzz -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Release -DORCHIDGW_TESTS=OFF \
  -DORCHIDGW_FUZZ=ON -DORCHIDGW_SANITIZE=ON >/dev/null
cmake --build build-fuzz -j4 --target orchidgw_fuzz_operator_file
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp tests/fuzz/corpus/* "$work"
build-fuzz/orchidgw_fuzz_operator_file -runs="$runs" -seed=1 -max_len=4096 -print_final_stats=1 "$work" 2>&1 | tail -n 12
