#!/usr/bin/env bash
# Format of all sources, clang-tidy on the program's own.
set -euo pipefail
cd "$(dirname "$0")/.."
find src tests bench -name '*.cpp' -o -name '*.h' | xargs clang-format --dry-run --Werror
# Spans are of the monotonic clock: the wall clock is read in net/clock.h alone, and asked for in these two files.
if grep -rnE 'system_clock|CLOCK_REALTIME|gettimeofday|Poco::Timestamp|[^_]time\((nullptr|NULL|0)\)' src | grep -v '^src/net/clock.h:'; then
  echo "lint: the wall clock is read outside src/net/clock.h" >&2
  exit 1
fi
if grep -rln 'wall_now()' src | grep -vE '^src/net/(clock.h|change_log.cpp|controller.cpp|controller_reload.cpp)$'; then
  echo "lint: wall_now() is for published times alone" >&2
  exit 1
fi
cmake -S . -B build-lint -DCMAKE_BUILD_TYPE=Release -DORCHIDGW_TESTS=OFF -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
find src -name '*.cpp' -print0 | xargs -0 -n 2 -P "$(nproc)" clang-tidy --quiet -p build-lint
