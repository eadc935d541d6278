#!/usr/bin/env bash
# Breaks the decisions on purpose, one change at a time, in a copy of the tree, and shows which seed of the random
# walk, or which test, catches it. Usage: scripts/mutations.sh [SEEDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seeds="${1:-400}"
copy="$(mktemp -d)"
trap 'rm -rf "$copy"' EXIT
git ls-files | tar -cf - -T - | tar -xf - -C "$copy"
cmake -G Ninja -S "$copy" -B "$copy/build" >/dev/null
ninja -C "$copy/build" random_walk test_steering >/dev/null
missed=0

mutate() {  # mutate NAME FILE FROM TO: FROM and TO are fixed texts
  local name="$1" file="$copy/$2" from="$3" to="$4"
  cp "$file" "$file.kept"
  FROM="$from" TO="$to" perl -0pi -e 'BEGIN{$f=$ENV{FROM};$t=$ENV{TO}} $n=s/\Q$f\E/$t/; END{}' "$file"
  if cmp -s "$file" "$file.kept"; then echo "| $name | the text to change was not found |"; missed=1; return; fi
  if ninja -C "$copy/build" random_walk test_steering >"$copy/ninja.log" 2>&1; then
    local seen tests
    seen=$("$copy/build/random_walk" --count "$seeds" --stop-at-first | grep '^seed ' | head -1 || true)
    tests=$("$copy/build/test_steering" --gtest_brief=1 2>/dev/null | grep -c '^\[  FAILED  \].*ms' || true)
    [ -n "$seen" ] || [ "$tests" -gt 0 ] || missed=1
    echo "| $name | ${seen:-no seed of $seeds} | $tests |"
  else
    echo "| $name | does not build |"; missed=1
  fi
  mv "$file.kept" "$file"; touch "$file"
}

s=packages/steering/src
echo "| mutation | caught by the walk | failed tests |"
echo "|---|---|---|"
mutate "heir does not wait for its promise" $s/lease.cpp "now >= this->promised_until && " ""
mutate "heir ignores renewals through the store" $s/lease.cpp " && now >= renewal_lapses" ""
mutate "term counts from the answer, not from the sending" $s/node_machine.cpp "this->lease.renewed(sent->second.first)" "this->lease.renewed(now)"
mutate "one heir's release is enough" $s/table_edits.cpp "return entry.released.contains(heir) || lost(heir);" "return !entry.released.empty();"
mutate "heir promises while its release is under way" $s/node_machine.cpp "peer.watch && !withheld" "peer.watch"
mutate "a dropped heir's promise still counts" $s/node_machine.cpp "if (!valid || dropped) {" "if (!valid) {"
mutate "no quarantine after a takeover" $s/slot_ledger.cpp "now < upstream.held.quarantined_until && !quiet" "false && !quiet"
mutate "dispatch without a look at the lease" $s/slot_ledger.cpp "if (now >= this->valid_until) {" "if (false) {"
mutate "send under a former epoch" $s/slot_ledger.cpp "found->second.held.held_since == grant.held_since" "true"
mutate "hand over while requests run" $s/table_edits.cpp "closed_before && this->traffic.is_idle(holding) &&" "closed_before &&"
mutate "raise a share before another is lowered" $s/table_edits.cpp "std::max<std::int64_t>(0, cap - table.share_sum(key))" "cap"
mutate "lower a share with requests in flight" $s/table_edits.cpp "lowered_before && this->traffic.in_flight(key) <= fair" "lowered_before"
mutate "give a lost node's share away at once" $s/table_edits.cpp "return now >= since + this->quarantine();" "return true;"
mutate "use a former process's shares" $s/publish.cpp "!this->is_member() || now < this->shares_from" "!this->is_member()"
mutate "dispatch before the intent is journaled" $s/key_home.cpp "(record.state == key_state::intent && this->ready.contains(name))" "record.state == key_state::intent"
mutate "journal without a fence" $s/key_home.cpp "this->fenced = true;" "this->batch_written(); return;"
mutate "intent without an outcome may run again" $s/key_home.cpp "this->records[name].state = key_state::uncertain;" "this->records.erase(name);"
mutate "uncertain outcome runs again" $s/key_home.cpp "record.state = key_state::uncertain;" "record.state = key_state::cleared;"
mutate "lost journal answer taken for a failure" $s/key_home.cpp "!this->in_flight || this->unsettled" "!this->in_flight"
mutate "defer without telling an heir" $s/publish.cpp "heir_knows && own->may_defer" "own != nullptr && own->may_defer"
mutate "successor forgets the blind time" $s/table_edits.cpp "bucket_of(holding) >= 0 && blind_before != 0" "false"
mutate "older settings accepted" $s/node_machine.cpp "if (version <= this->known_version(key)) {" "if (version == this->known_version(key)) {"
mutate "restarted node acts on its former holdings" $s/publish.cpp "if (!this->is_member() || this->settings == nullptr) {" "if (table == nullptr || this->settings == nullptr) {"
exit "$missed"
