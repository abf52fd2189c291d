#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/build; each is one program with no library but the system's.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for n in 1 2 3; do
  [ -f "$n/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread -o "build/case$n" "$n/case.cpp"
done
