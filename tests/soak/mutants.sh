#!/usr/bin/env bash
# Faults are put into the program on purpose, one at a time, and the soak is played with each while all cores are
# busy besides: what it allows for a machine that stands still must not hide them. The program as it is has to
# pass under the same load.   mutants.sh SOURCE_ROOT SOAK_TESTS [SEED]   (by hand: `make soak-mutants`)
set -euo pipefail
root=$(cd "$1" && pwd)
soak=$(realpath "$2")
seed=${3:-1}
work=$(mktemp -d)
busy=()
finish() {
  for pid in "${busy[@]}"; do kill "$pid" || true; done
  rm -rf "$work"
}
trap finish EXIT

# Which file, what stands there, what is put in its place, the rule that the soak has to name.
mutants=(
  "src/core/reducer_levels.cpp|{ abandon_request({event.client, event.tag}); }|{ (void)event; }|lost: started|aborts are not heeded"
  "src/http/engine_calls.cpp|(call.stop_at - now) / kUsPerMs|(call.stop_at - now) / kUsPerMs + 400|deadline:|engines are told 0.4 s too much"
  "src/decision/permission.cpp|return Denial::kWindowOver;|return Denial::kNone;|duplicate:|the window of a repeat is not kept"
  "src/decision/permission.cpp|if (query_class.effect == Effect::kAtMostOnce) return Denial::kMayHaveRun;|if (query_class.effect == Effect::kAtMostOnce) return Denial::kNone;|duplicate: started again|unsafe queries are repeated"
  "src/net/client_connection.cpp|  send(thrift::failed(failed.tag, failed.why));|  if (failed.tag % 4 != 0) send(thrift::failed(failed.tag, failed.why));|lost:|a failed answer in four is not sent"
  "src/core/reducer.cpp|  const limits::Verdict verdict =|  if (id % 3 != 0) return refuse_request(id, Reason::kDecision, longest_retry_after());\n  const limits::Verdict verdict =|share:|two requests in three are refused"
)

build() {
  cmake --build "$work/build" -j"$(nproc)" --target orchidgw >"$work/build.log" 2>&1 || {
    tail -20 "$work/build.log"
    return 1
  }
}

# What the soak says goes to a file; returns its exit code.
play() {
  ORCHIDGW_SOAK_SEEDS=$seed ORCHIDGW_SOAK_PROGRAM=$work/build/orchidgw "$soak" >"$work/out" 2>&1
}

mkdir "$work/source"
(cd "$root" && git ls-files -z | xargs -0 cp --parents -t "$work/source")
cmake -S "$work/source" -B "$work/build" -DCMAKE_BUILD_TYPE=Release -DORCHIDGW_TESTS=OFF >/dev/null
build
for _ in $(seq "$(nproc)"); do
  while :; do :; done &
  busy+=($!)
done

bad=0
if play; then
  echo "as it is: passes beside load: $(grep '^seed' "$work/out")"
else
  echo "as it is: fails beside load"
  grep -E '^(seed|[a-z]+:)' "$work/out" || true
  bad=1
fi
for mutant in "${mutants[@]}"; do
  IFS='|' read -r file from to rule what <<<"$mutant"
  text=$(<"$root/$file")
  printf '%s\n' "${text/"$from"/"$(printf '%b' "$to")"}" >"$work/source/$file"
  if cmp -s "$work/source/$file" "$root/$file"; then
    echo "nothing to change in $file: $what"
    exit 1
  fi
  build
  if play || ! grep -q "^$rule" "$work/out"; then
    echo "lives: $what"
    grep -E '^(seed|[a-z]+:)' "$work/out" || true
    bad=1
  else
    echo "caught: $what: $(grep -c "^$rule" "$work/out") times, first: $(grep -m1 "^$rule" "$work/out")"
  fi
  cp "$root/$file" "$work/source/$file"
done
exit $bad
