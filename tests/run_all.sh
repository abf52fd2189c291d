#!/usr/bin/env bash
# Every check of the project: format, lint, the tests in Release, the same under ASan and UBSan, the reader
# of the operators' file fuzzed for a fixed number of inputs, the build as deployed (without tests).
set -euo pipefail
cd "$(dirname "$0")/.."
bash tests/lint.sh
cmake -S . -B build-ci -DCMAKE_BUILD_TYPE=Release
cmake --build build-ci -j"$(nproc)"
bash tests/run_tests.sh build-ci
cmake -S . -B build-ci-asan -DCMAKE_BUILD_TYPE=Debug -DORCHIDGW_SANITIZE=ON
cmake --build build-ci-asan -j"$(nproc)"
bash tests/run_tests.sh build-ci-asan
bash tests/fuzz.sh 20000
cmake -S . -B build-ci-deploy -DCMAKE_BUILD_TYPE=Release -DORCHIDGW_TESTS=OFF
cmake --build build-ci-deploy -j"$(nproc)"
