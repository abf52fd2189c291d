#!/usr/bin/env bash
# Every check of the project: format, lint, the deployed build, the tests, the tests under ASan and UBSan.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=$(find src tests -name '*.cpp' -o -name '*.h')
# shellcheck disable=SC2086
clang-format --dry-run --Werror $sources
cmake -S . -B build-ci -DCMAKE_BUILD_TYPE=Release -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
cmake --build build-ci -j4
clang-tidy --quiet -p build-ci src/decision/*.cpp src/sim/*.cpp
ctest --test-dir build-ci --output-on-failure -j4
cmake -S . -B build-ci-asan -DCMAKE_BUILD_TYPE=Debug -DORCHIDGW_SANITIZE=ON
cmake --build build-ci-asan -j4
ctest --test-dir build-ci-asan --output-on-failure -j4
cmake -S . -B build-ci-deploy -DCMAKE_BUILD_TYPE=Release -DORCHIDGW_TESTS=OFF
cmake --build build-ci-deploy -j4
