#!/usr/bin/env bash
# All tests of a build: run_tests.sh BUILD [KNOWN-RED.txt]. Tests of real faults that could not be mended yet are
# listed there, a line each: test, cause, issue (three lines at most). They are run and printed and don't count;
# a line that names no test, or a listed test that passes, does. Without the file every test counts.
set -euo pipefail
build=$1
list=${2:-KNOWN-RED.txt}
jobs=$(nproc)
if [ ! -e "$list" ]; then
  exec ctest --test-dir "$build" --output-on-failure -j"$jobs"
fi

red() {
  echo "KNOWN-RED: $1" >&2
  exit 1
}

mapfile -t lines < <(grep -v '^[[:space:]]*$' "$list")
[ "${#lines[@]}" -le 3 ] || red "${#lines[@]} lines, three at most"
known=$(ctest --test-dir "$build" -N | sed -n 's/^ *Test *#[0-9]*: //p')
names=()
for line in "${lines[@]}"; do
  [[ "$line" =~ ^([^,]+),(.+),([^,]+)$ ]] || red "not 'test, cause, issue': $line"
  name=$(sed 's/^ *//; s/ *$//' <<<"${BASH_REMATCH[1]}")
  grep -qxF -- "$name" <<<"$known" || red "names no test: $name"
  names+=("$name")
done

# A regular expression that matches these names alone.
only() {
  local all="" name
  for name in "$@"; do
    all+="${all:+|}$(sed 's/[][\.*^$()+?{}|/]/\\&/g' <<<"$name")"
  done
  echo "^($all)\$"
}

if [ "${#names[@]}" -eq 0 ]; then
  exec ctest --test-dir "$build" --output-on-failure -j"$jobs"
fi
ctest --test-dir "$build" --output-on-failure -j"$jobs" -E "$(only "${names[@]}")"
for i in "${!names[@]}"; do
  echo "KNOWN-RED: ${lines[$i]}"
  if ctest --test-dir "$build" --output-on-failure -R "$(only "${names[$i]}")"; then
    red "passes, so it is not red any more: ${names[$i]}"
  fi
  echo "KNOWN-RED: failed as listed: ${names[$i]}"
done
