#!/usr/bin/env bash
# Each rule that keeps the sum is left out in turn, in a copy of the sources: the tests of the sum must fail
# with every one of them, or they prove nothing.   mutants.sh SOURCE_ROOT COMPILER
set -euo pipefail
root=$1
compiler=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Which file, what stands there, what is put in its place.
mutants=(
  "budget/ledger.cpp|target, out + std::max<Parts>(usable, 0)|target, out + std::max<Parts>(usable, 5)|grows by parts that are not free"
  "budget/ledger.cpp|if (ask.acked != m.number) return true;|if (false) return true;|an older lease acknowledged gives parts back"
  "budget/ledger.cpp|std::max(std::min(held[a], m.outstanding(a)), m.granted[a])|m.granted[a]|what is still in use is given away"
  "budget/ledger.cpp|it->second.number == expiry.number|true|an expiry decided before a renewal ends it"
  "budget/ledger.cpp|ask.seq <= it->second.seq|false|asks that come twice or late count"
  "budget/ledger.cpp|m.unacked[a] = std::max(m.unacked[a], part);|m.unacked[a] = part;|a lease whose answer is on its way is forgotten"
  "budget/terms.h|return term + 2 * (term * drift_ppm / 1'000'000) + 1;|return term - term / 2;|a lease is over before its term and the drift are"
  "budget/arbiter.cpp|now + Terms::safe_expiry_delay(member.term, ledger.terms().drift_ppm)|now|a new leader takes old leases for over"
  "budget/holder.cpp|ends_at_ = *asked + grant.term;|ends_at_ = now + grant.term;|the holder counts its term from the answer"
  "budget/holder.cpp|grant.number <= number_|false|an older answer replaces a newer lease"
  "budget/holder.cpp|return leased(now) ? cut_off + parts_[a] : cut_off;|return cut_off + parts_[a];|the holder goes on past its term"
  "budget/ledger.cpp|std::max<Parts>(free - reserve, 0)|std::max<Parts>(free, 0)|the reserve is given to who has enough"
  "budget/ledger.cpp|small && free >= reserve ? granted : target|target|every little change moves parts"
  "fleet/keeper_role.cpp|log.term() != term_|false|a leadership lost and won again goes on with the old terms"
  "fleet/keeper_role.cpp|std::exchange(news_, false)|!granted_.empty()|an expiry is said again and again"
  "fleet/keeper_role.cpp|grant.seq > it->second.seq|grant.seq != it->second.seq|a slow round is never answered"
  "budget/arbiter.cpp|if (now < not_before_) return std::nullopt;||a new log takes nothing for out"
  "budget/terms.h|allowances[a].whole - largest * allowances[a].cut_off|allowances[a].whole|cut-off parts are not set aside"
  "promises/key_table.cpp|it->second.query != want.query|false|two queries of one controller have a key"
  "promises/key_table.cpp|it->second.query == free.query|true|a late word frees another query's key"
  "promises/key_table.cpp|key_hold.number = ++last_number_;|if (key_hold.number == 0) key_hold.number = ++last_number_;|the end of an older rest ends a newer one"
  "promises/key_table.cpp|if (!settled_|if (false|a new log takes no key for resting"
  "promises/key_holder.cpp|now - flight.sent_at > answer_timeout()|false|a promise is acted on however late it comes"
  "promises/key_holder.cpp|if (it->first.first != want.identity|if (true|what was given up is not said to be free with a want of its key"
  "promises/key_watch.cpp|safe_expiry_delay(key_hold + terms.term,|safe_expiry_delay(key_hold,|the time between promise and send is left out"
  "promises/key_watch.cpp|settles_at_ = led_at_ + hold_expiry_delay(terms.longest_key_hold, terms);|settles_at_ = led_at_;|a lost log is not waited out"
)

compile() {  # sources below $1, one file, into what
  "$compiler" -std=c++20 -O1 -I"$1" -I"$root/tests/budget" -c "$2" -o "$3"
}

test_of() { [[ $1 == promises/* ]] && echo promises/keys_test || echo budget/sum_test; }

build() {  # of the sources below $1, with the tests compiled already unless a header is another
  local name file tests
  name=$(test_of "$2")
  tests="$work/$(basename "$name").o"
  if [[ $2 == *.h ]]; then
    tests="$1/test.o"
    compile "$1" "$root/tests/$name.cpp" "$tests" || return 1
  fi
  for file in "$1"/budget/*.cpp "$1"/promises/*.cpp "$1/fleet/keeper_role.cpp"; do
    compile "$1" "$file" "$1/$(basename "$file").o" || return 1
  done
  "$compiler" "$tests" "$1"/*.cpp.o -lgtest -lgtest_main -lpthread -o "$1/test"
}

mutate() {
  local n=$1 file from to what
  IFS='|' read -r file from to what <<<"${mutants[$n]}"
  local src="$work/$n"
  mkdir -p "$src"
  cp -r "$root/src/budget" "$root/src/fleet" "$root/src/promises" "$root/src/base" "$src/"
  local text
  text=$(<"$src/$file")
  printf '%s\n' "${text/"$from"/"$to"}" >"$src/$file"
  if cmp -s "$src/$file" "$root/src/$file"; then
    echo "mutant $n: nothing to change in $file: $what"
    return 1
  fi
  build "$src" "$file" || return 1
  local code=0
  timeout 200 "$src/test" --gtest_fail_fast >"$src/out" 2>&1 || code=$?
  if [ "$code" -ne 1 ]; then  # 0: all passed; others: it did not come to a verdict (124: no end)
    echo "mutant $n lives ($code): $what"
    return 1
  fi
  echo "mutant $n is caught: $what"
}

compile "$root/src" "$root/tests/budget/sum_test.cpp" "$work/sum_test.o" &
compile "$root/src" "$root/tests/promises/keys_test.cpp" "$work/keys_test.o"
wait
pids=()
for n in "${!mutants[@]}"; do
  mutate "$n" &
  pids+=($!)
done
bad=0
for pid in "${pids[@]}"; do wait "$pid" || bad=1; done
exit $bad
