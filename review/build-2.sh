#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into build-review-2/: g++ and the C++ standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/stand_ins_2/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "build-review-2/$(basename "$source" .cpp)" "$source"
done
