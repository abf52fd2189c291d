#!/usr/bin/env bash
# The same events give the same actions with three instances in one process and with one in each of three.
set -u
sim=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
env='{"balancers":3,"me":ME,"classes":[{"name":"short","aim":200000,"deadline":1000000,"effect":"idempotent"}],"domain":{"dop":[1],"sizeCores":[2]},"shapes":["k"],"policyLimits":{"maxAttempts":3,"retryAfter":true,"maxRetryAfter":90000},"rules":{}}'
list='["REGISTER",0,[["z",1,null,"in_service","10.0.0.1:1","k",0],["z",1,null,"in_service","10.0.0.2:1","k",0]]]'
emit() {  # emit FILE INSTANCE...
  local out=$1 t=1000000 n ev i
  shift
  : > "$out"
  ev=$list
  for i in "$@"; do ev="$ev,[\"UP\",\"controller_$i\",$i,${env/ME/$i}],[\"ROSTER_CHANGE\",\"controller_$i\",\"Persisted\",1,0]"; done
  echo "{\"simTime\":$t,\"arrivals\":[$ev]}" >> "$out"
  for n in $(seq 60); do
    t=$((t + 5000)); ev=""
    for i in "$@"; do
      ev="$ev,[\"WORK_ITEM\",\"controller_$i\",$n,\"\",false,$((n % 7)),\"short\",false,900000,null,0,$((20000 + n * 100))]"
      [ "$n" -gt 30 ] && ev="$ev,[\"WAKEUP\",\"controller_$i\",1]"
    done
    echo "{\"simTime\":$t,\"arrivals\":[${ev#,}]}" >> "$out"
  done
}
emit "$dir/all" 0 1 2
"$sim" < "$dir/all" > "$dir/all.out" || exit 1
for i in 0 1 2; do
  emit "$dir/one$i" "$i"
  "$sim" < "$dir/one$i" > "$dir/one$i.out" || exit 1
  actions() { grep -o '\["[A-Z_]*","controller_'"$i"'"[^]]*\]' "$1"; }
  actions "$dir/all.out" > "$dir/a"
  actions "$dir/one$i.out" > "$dir/b"
  [ "$(grep -c DISPATCH "$dir/a")" -ge 10 ] || { echo "too few actions compared"; exit 1; }
  cmp "$dir/a" "$dir/b" || exit 1
done
echo "three instances agree"
