// At most one run a key: each row names what happens to the home and what a repeat is told.
#include <gtest/gtest.h>

#include "zinnia/steering/key_home.hpp"

namespace zinnia {
namespace {

constexpr std::int64_t now_ms = 1'000'000;
constexpr std::int64_t window_ms = 60'000;
const key_name name{service_id{"desk"}, idempotency_key{"k"}};

[[nodiscard]] key_request ask(const std::string& id, outage_policy policy = outage_policy::refuse) {
  return {name, request_id{id}, 7, now_ms, window_ms, policy};
}

/// A journal kept by hand.
class journal {
 public:
  /// Writes the home's next batch, or reports the number as taken.
  void commit(key_home& home) {
    const auto batch = home.next_batch();
    ASSERT_TRUE(batch.has_value());
    const auto taken = this->batches.find(batch->sequence);
    if (taken != this->batches.end()) {
      home.batch_conflicts(taken->second);
      return;
    }
    this->batches[batch->sequence] = *decode_journal_batch(encode(*batch));
    home.batch_written();
  }

  [[nodiscard]] key_home take_over(std::int64_t under, std::int64_t blind = 0) {
    key_home home{epoch{under}, blind, "w" + std::to_string(under)};
    for (const auto& [sequence, batch] : this->batches) {
      home.restore(batch);
    }
    home.finish_restore();
    this->commit(home);
    return home;
  }

  std::map<std::int64_t, journal_batch> batches;
};

void run(key_home& home, journal& written, const std::string& id) {
  ASSERT_EQ(home.begin(ask(id)).step, key_step::wait_for_journal);
  written.commit(home);
  ASSERT_TRUE(home.mark_running(name, request_id{id}));
}

TEST(key_home, nothing_is_dispatched_before_the_intent_is_journaled) {
  journal written;
  auto home = written.take_over(1);
  EXPECT_EQ(home.begin(ask("a")).step, key_step::wait_for_journal);
  EXPECT_FALSE(home.mark_running(name, request_id{"a"}));
  written.commit(home);
  EXPECT_EQ(home.look(name, request_id{"a"}).step, key_step::dispatch);
  EXPECT_TRUE(home.mark_running(name, request_id{"a"}));
}

TEST(key_home, repeat_while_running_joins_and_after_the_end_replays) {
  journal written;
  auto home = written.take_over(1);
  run(home, written, "a");
  EXPECT_EQ(home.begin(ask("b")).step, key_step::join);
  home.finish(name, request_id{"a"}, verdict::ran, {201, {{"h", "v"}}, "booked", true});
  const auto repeat = home.begin(ask("b"));
  EXPECT_EQ(repeat.step, key_step::replay);
  EXPECT_EQ(repeat.first_request, request_id{"a"});
  EXPECT_EQ(home.find(name)->answer.body, "booked");
}

TEST(key_home, certain_failure_lets_the_key_run_again) {
  journal written;
  auto home = written.take_over(1);
  run(home, written, "a");
  home.finish(name, request_id{"a"}, verdict::did_not_run, {});
  EXPECT_EQ(home.begin(ask("b")).step, key_step::wait_for_journal);
}

TEST(key_home, uncertain_outcome_stays_until_an_operator_resolves_it) {
  journal written;
  auto home = written.take_over(1);
  run(home, written, "a");
  home.finish(name, request_id{"a"}, verdict::may_have_run, {});
  const auto repeat = home.begin(ask("b"));
  EXPECT_EQ(repeat.step, key_step::refuse);
  EXPECT_EQ(repeat.why, reason::key_uncertain);
  EXPECT_EQ(repeat.known, verdict::may_have_run);
  ASSERT_TRUE(home.resolve(name, true));
  EXPECT_EQ(home.begin(ask("c")).known, verdict::ran);
  EXPECT_FALSE(home.resolve(name, false));
}

TEST(key_home, resolved_as_not_run_may_run_again) {
  journal written;
  auto home = written.take_over(1);
  run(home, written, "a");
  home.finish(name, request_id{"a"}, verdict::may_have_run, {});
  ASSERT_TRUE(home.resolve(name, false));
  EXPECT_EQ(home.begin(ask("b")).step, key_step::wait_for_journal);
}

TEST(key_home, same_key_for_another_request_is_refused) {
  journal written;
  auto home = written.take_over(1);
  run(home, written, "a");
  auto other = ask("b");
  other.fingerprint = 8;
  EXPECT_EQ(home.begin(other).why, reason::key_reused);
}

TEST(key_home, death_before_the_outcome_leaves_the_key_uncertain_at_the_successor) {
  journal written;
  auto home = written.take_over(1);
  run(home, written, "a");
  auto successor = written.take_over(2);
  EXPECT_EQ(successor.begin(ask("b")).why, reason::key_uncertain);
}

TEST(key_home, death_after_the_outcome_hands_the_answer_on) {
  journal written;
  auto home = written.take_over(1);
  run(home, written, "a");
  home.finish(name, request_id{"a"}, verdict::ran, {201, {}, "booked", true});
  written.commit(home);
  auto successor = written.take_over(2);
  EXPECT_EQ(successor.begin(ask("b")).step, key_step::replay);
  EXPECT_EQ(successor.find(name)->answer.body, "booked");
}

/// The journal's claim is the fence: it needs no clock.
TEST(key_home, paused_home_that_wakes_after_a_takeover_dispatches_nothing_new) {
  journal written;
  auto paused = written.take_over(1);
  ASSERT_EQ(paused.begin(ask("a")).step, key_step::wait_for_journal);
  auto successor = written.take_over(2);
  written.commit(paused);
  EXPECT_TRUE(paused.is_fenced());
  EXPECT_FALSE(paused.mark_running(name, request_id{"a"}));
  const auto told = paused.look(name, request_id{"a"});
  EXPECT_EQ(told.why, reason::journal_fenced);
  EXPECT_EQ(told.known, verdict::may_have_run);
  EXPECT_EQ(paused.begin(ask("b")).known, verdict::may_have_run);
  EXPECT_EQ(successor.begin(ask("a2")).step, key_step::wait_for_journal);
}

TEST(key_home, claim_takes_in_what_the_former_home_still_managed_to_write) {
  journal written;
  auto former = written.take_over(1);
  ASSERT_EQ(former.begin(ask("a")).step, key_step::wait_for_journal);
  key_home successor{epoch{2}, 0, "w2"};
  for (const auto& [sequence, batch] : written.batches) {
    successor.restore(batch);
  }
  successor.finish_restore();
  written.commit(former);
  written.commit(successor);
  EXPECT_FALSE(successor.is_active());
  written.commit(successor);
  EXPECT_TRUE(successor.is_active());
  EXPECT_EQ(successor.begin(ask("b")).why, reason::key_uncertain);
}

TEST(key_home, two_successors_in_turn_leave_only_the_last_active) {
  journal written;
  auto first = written.take_over(1);
  auto second = written.take_over(2);
  auto third = written.take_over(3);
  ASSERT_EQ(second.begin(ask("a")).step, key_step::wait_for_journal);
  written.commit(second);
  EXPECT_TRUE(second.is_fenced());
  EXPECT_TRUE(third.is_active());
}

TEST(key_home, lost_answer_of_the_intent_is_settled_before_anything_else) {
  journal written;
  auto home = written.take_over(1);
  ASSERT_EQ(home.begin(ask("a")).step, key_step::wait_for_journal);
  const auto batch = home.next_batch();
  written.batches[batch->sequence] = *batch;
  home.batch_unsettled();
  EXPECT_FALSE(home.mark_running(name, request_id{"a"}));
  // A refusal of a later attempt says nothing of the first one.
  home.batch_not_written();
  const auto again = home.next_batch();
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again->write_id, batch->write_id);
  home.batch_conflicts(written.batches.at(again->sequence));
  EXPECT_TRUE(home.mark_running(name, request_id{"a"}));
}

struct outage_case {
  const char* name;
  outage_policy policy;
  bool allowed;
  key_step step;
};

TEST(key_home, store_outage_refuses_or_serves_by_setting) {
  const std::vector<outage_case> table{
      {"refuse", outage_policy::refuse, true, key_step::refuse},
      {"serve, heir knows", outage_policy::serve, true, key_step::dispatch},
      {"serve, heir does not know yet", outage_policy::serve, false, key_step::refuse},
  };
  for (const auto& row : table) {
    journal written;
    auto home = written.take_over(1);
    home.set_deferral_allowed(row.allowed);
    ASSERT_EQ(home.begin(ask("lost")).step, key_step::wait_for_journal);
    ASSERT_TRUE(home.next_batch().has_value());
    home.batch_not_written();
    EXPECT_EQ(home.look(name, request_id{"lost"}).step, key_step::refuse) << row.name;
    EXPECT_EQ(home.begin(ask("a", row.policy)).step, row.step) << row.name;
  }
}

TEST(key_home, probe_notices_the_return_of_the_store) {
  journal written;
  auto home = written.take_over(1);
  ASSERT_EQ(home.begin(ask("a")).step, key_step::wait_for_journal);
  ASSERT_TRUE(home.next_batch().has_value());
  home.batch_not_written();
  EXPECT_EQ(home.begin(ask("b")).why, reason::journal_unavailable);
  written.commit(home);
  EXPECT_EQ(home.begin(ask("c")).step, key_step::wait_for_journal);
}

TEST(key_home, deferred_run_counts_as_behind_until_a_batch_holds_it) {
  journal written;
  auto home = written.take_over(1);
  home.set_deferral_allowed(true);
  ASSERT_EQ(home.begin(ask("a")).step, key_step::wait_for_journal);
  ASSERT_TRUE(home.next_batch().has_value());
  home.batch_not_written();
  ASSERT_EQ(home.begin(ask("b", outage_policy::serve)).step, key_step::dispatch);
  EXPECT_TRUE(home.is_behind());
  written.commit(home);
  EXPECT_FALSE(home.is_behind());
}

struct blind_case {
  const char* key;
  std::int64_t blind_before;
  reason expected;
};

TEST(key_home, keys_that_may_have_run_unseen_are_uncertain) {
  const auto minted_at = [](std::int64_t at) { return mint_key(region_id{"klang"}, at, 5).str(); };
  const std::string old_key = minted_at(now_ms - 1000);
  const std::string new_key = minted_at(now_ms + 1000);
  const std::string expired_key = minted_at(now_ms - window_ms - 1);
  const std::vector<blind_case> table{
      {old_key.c_str(), now_ms, reason::key_uncertain},  {new_key.c_str(), now_ms, reason::none},
      {"own-key", now_ms, reason::key_uncertain},        {"own-key", 0, reason::none},
      {"own-key", now_ms - window_ms - 1, reason::none}, {expired_key.c_str(), 0, reason::key_uncertain},
  };
  for (const auto& row : table) {
    journal written;
    auto home = written.take_over(1, row.blind_before);
    auto request = ask("a");
    request.name.key = idempotency_key{row.key};
    EXPECT_EQ(home.begin(request).why, row.expected) << row.key << " blind before " << row.blind_before;
  }
}

TEST(key_home, snapshot_replaces_older_batches_but_never_a_claim) {
  journal written;
  auto home = written.take_over(1);
  for (int i = 0; i < 80; ++i) {
    auto request = ask("r" + std::to_string(i));
    request.name.key = idempotency_key{"k" + std::to_string(i)};
    ASSERT_EQ(home.begin(request).step, key_step::wait_for_journal);
    written.commit(home);
    home.finish(request.name, request.request, verdict::ran, {200, {}, "x", true});
  }
  const auto superfluous = home.take_superfluous();
  EXPECT_FALSE(superfluous.empty());
  for (const auto sequence : superfluous) {
    EXPECT_FALSE(written.batches.at(sequence).claim);
    written.batches.erase(sequence);
  }
  auto successor = written.take_over(2);
  auto request = ask("again");
  request.name.key = idempotency_key{"k3"};
  EXPECT_EQ(successor.begin(request).step, key_step::replay);
}

TEST(minted_keys, tell_region_and_time) {
  const auto minted = parse_minted_key(mint_key(region_id{"klang"}, 123'456, 99));
  ASSERT_TRUE(minted.has_value());
  EXPECT_EQ(minted->region, region_id{"klang"});
  EXPECT_EQ(minted->minted_unix_ms, 123'456);
  EXPECT_FALSE(parse_minted_key(idempotency_key{"plain"}).has_value());
  EXPECT_FALSE(parse_minted_key(idempotency_key{"a.zz!.c"}).has_value());
}

}  // namespace
}  // namespace zinnia
