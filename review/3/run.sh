#!/usr/bin/env bash
# Plays this case; with TROUBLE=0 without its disruption. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case couldn't run. Needs the build of the deploy file and review/build.sh.
set -u
cd "$(dirname "$0")" || exit 2
case=../build/case3
[ -x "$case" ] && [ -x ../../build/orchidgw ] || { echo "not built" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
timeout -k 1 115 "$case" "$(cd ../.. && pwd)" record.txt
code=$?
tail -n 12 record.txt
[ "$code" -le 1 ] || exit 2
exit "$code"
