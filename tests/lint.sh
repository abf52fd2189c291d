#!/usr/bin/env bash
# Format of all sources, clang-tidy on the program's own.
set -euo pipefail
cd "$(dirname "$0")/.."
find src tests bench -name '*.cpp' -o -name '*.h' | xargs clang-format --dry-run --Werror
cmake -S . -B build-lint -DCMAKE_BUILD_TYPE=Release -DORCHIDGW_TESTS=OFF -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
find src -name '*.cpp' -print0 | xargs -0 -n 2 -P "$(nproc)" clang-tidy --quiet -p build-lint
