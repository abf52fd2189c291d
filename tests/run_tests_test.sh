#!/usr/bin/env bash
# run_tests.sh on a build of three tests of its own, one of which fails: what is listed is passed over, and
# nothing else is.
set -euo pipefail
script=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/build"
cat >"$work/build/CTestTestfile.cmake" <<'T'
add_test(good true)
add_test(bad.one false)
add_test(badxone true)
T
list=$work/KNOWN-RED.txt
out=$work/out

expect() { # expect STATUS WORDS: what the script says of the list, and whether it passes
  local status=0
  bash "$script" "$work/build" "$list" >"$out" 2>&1 || status=$?
  if [ "$1" = passes ] && [ "$status" -ne 0 ] || [ "$1" = fails ] && [ "$status" -eq 0 ]; then
    echo "wanted: $1, with '$2'; exit $status:" && cat "$out" && exit 1
  fi
  grep -qF -- "$2" "$out" || { echo "no '$2' in:" && cat "$out" && exit 1; }
}

expect fails 'bad.one'
echo 'bad.one, it is false, with a comma, issue 36' >"$list"
expect passes 'KNOWN-RED: failed as listed: bad.one'
grep -qF 'badxone' "$out" || { echo 'a test of another name was passed over' && exit 1; }
echo 'badxone, it is true, issue 36' >>"$list"
expect fails 'passes, so it is not red any more: badxone'
echo 'missing, nobody wrote it, issue 36' >"$list"
expect fails 'names no test: missing'
echo 'bad.one' >"$list"
expect fails "not 'test, cause, issue'"
for _ in 1 2 3 4; do echo 'bad.one, it is false, issue 36'; done >"$list"
expect fails '4 lines, three at most'
: >"$list"
expect fails 'bad.one'
echo "run_tests.sh: all as it should be"
