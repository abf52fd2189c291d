#!/usr/bin/env bash
# Plays a case: run_case.sh PROGRAM FOLDER-OF-THE-CASE. Exit codes: 1 the rule was broken, 0 it held, 2 it could not run.
set -u
program=$1
case_folder=$2
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
record=$case_folder/record.txt
could_not_run() {
  echo "could not run: $1" | tee "$record" >&2
  exit 2
}
[ -x "$root/build/orchidgw" ] || could_not_run "build/orchidgw is missing: the build of the deploy file comes first"
[ -x "$root/build-review-2/$program" ] || could_not_run "build-review-2/$program is missing: review/build-2.sh comes first"
CASE_RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
[ -n "$CASE_RUN" ] || could_not_run "deploy/balancer.toml has no run"
export CASE_RUN
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$root" || exit 2
timeout -k 2 116 "build-review-2/$program" "$record" "$folder"
code=$?
case $code in
  0 | 1 | 2) ;;
  *) echo "could not run: the case's program ended with $code" >>"$record"; code=2 ;;
esac
tail -n 2 "$record"
exit "$code"
