// The journal thread of the key service: recovery, group commit and removal of what a snapshot replaced.
#include <absl/time/time.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include "zinnia/observe/log.hpp"
#include "zinnia/traffic/key_service.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr duration idle_pass{50};
constexpr duration pause_after_failure{200};

}  // namespace
}  // namespace impl

std::string key_service::journal_prefix(std::int64_t bucket) const {
  return "journal/" + this->region.str() + '/' + std::to_string(bucket) + '/';
}

std::string key_service::batch_key(std::int64_t bucket, std::int64_t sequence) const {
  std::array<char, 24> digits{};
  std::snprintf(digits.data(), digits.size(), "%012lld", static_cast<long long>(sequence));
  return this->journal_prefix(bucket) + digits.data();
}

void key_service::journal_loop() {
  while (true) {
    {
      const absl::MutexLock lock{&this->mutex};
      const auto has_work = [this] { return this->wake || this->stopping; };
      this->mutex.AwaitWithTimeout(absl::Condition(&has_work), absl::Milliseconds(impl::idle_pass.ms));
      if (this->stopping) {
        return;
      }
      this->wake = false;
    }
    this->journal_pass();
  }
}

void key_service::journal_pass() {
  std::vector<std::int64_t> numbers;
  {
    const absl::MutexLock lock{&this->mutex};
    for (const auto& [number, bucket] : this->buckets) {
      if (bucket.home != nullptr && this->clock.now() >= bucket.next_try) {
        numbers.push_back(number);
      }
    }
  }
  for (const auto number : numbers) {
    this->serve_bucket(number);
  }
}

void key_service::serve_bucket(std::int64_t number) {
  key_home* home = nullptr;
  bool recovered = false;
  {
    const absl::MutexLock lock{&this->mutex};
    const auto found = this->buckets.find(number);
    if (found == this->buckets.end() || found->second.home == nullptr) {
      return;
    }
    // Keeps the home in its place while this thread uses it without the lock.
    ++found->second.journal_uses;
    home = found->second.home.get();
    recovered = found->second.recovered;
  }
  if (!recovered) {
    recovered = this->recover(number, *home);
  }
  std::optional<journal_batch> batch;
  std::vector<std::int64_t> superfluous;
  {
    const absl::MutexLock lock{&this->mutex};
    auto& bucket = this->buckets.at(number);
    bucket.recovered = recovered;
    if (!recovered) {
      bucket.next_try = this->clock.now() + impl::pause_after_failure;
    } else {
      batch = home->next_batch();
      superfluous = home->take_superfluous();
    }
  }
  if (batch) {
    this->write_batch(number, *batch);
  }
  this->remove_superfluous(number, superfluous);
  const absl::MutexLock lock{&this->mutex};
  auto& bucket = this->buckets.at(number);
  --bucket.journal_uses;
  if (!bucket.home->is_fenced() && bucket.home->has_unwritten() && this->clock.now() >= bucket.next_try) {
    this->wake = true;
  }
}

/// Reads the journal backwards to its newest snapshot and takes it in forwards from there.
bool key_service::recover(std::int64_t number, key_home& home) {
  const auto listed = this->store.list(this->journal_prefix(number));
  this->counts.add(counter::store_calls);
  if (listed.status != store_status::ok) {
    return false;
  }
  std::vector<journal_batch> batches;
  for (auto entry = listed.entries.rbegin(); entry != listed.entries.rend(); ++entry) {
    const auto reply = this->store.get(entry->key);
    this->counts.add(counter::store_calls);
    if (reply.status == store_status::not_found) {
      continue;
    }
    auto batch = reply.ok() ? decode_journal_batch(reply.value) : result<journal_batch>{error{}};
    if (!batch) {
      return false;
    }
    batches.push_back(std::move(batch).value());
    if (batches.back().snapshot) {
      break;
    }
  }
  const absl::MutexLock lock{&this->mutex};
  for (auto batch = batches.rbegin(); batch != batches.rend(); ++batch) {
    home.restore(*batch);
  }
  home.finish_restore();
  log_line{log_level::info, "key_home_recovered"}
      .field("bucket", number)
      .field("batches", static_cast<std::int64_t>(batches.size()));
  return true;
}

void key_service::write_batch(std::int64_t number, const journal_batch& batch) {
  const auto key = this->batch_key(number, batch.sequence);
  auto reply = put_resolved(this->store, key, encode(batch), object_version{});
  this->counts.add(counter::store_calls);
  if (reply.status == store_status::conflict) {
    reply = this->store.get(key);
    this->counts.add(counter::store_calls);
    reply.status = reply.ok() ? store_status::conflict : store_status::unknown;
  }
  const absl::MutexLock lock{&this->mutex};
  this->settle(number, reply);
}

void key_service::settle(std::int64_t number, const store_reply& reply) {
  auto& bucket = this->buckets.at(number);
  auto& home = *bucket.home;
  const bool was_fenced = home.is_fenced();
  switch (reply.status) {
    case store_status::ok:
      this->counts.add(counter::journal_batches);
      home.batch_written();
      break;
    case store_status::conflict:
      if (const auto existing = decode_journal_batch(reply.value)) {
        home.batch_conflicts(*existing);
      } else {
        home.batch_not_written();
      }
      break;
    case store_status::unknown:
      this->counts.add(counter::store_failures);
      bucket.next_try = this->clock.now() + impl::pause_after_failure;
      home.batch_unsettled();
      break;
    default:
      this->counts.add(counter::store_failures);
      bucket.next_try = this->clock.now() + impl::pause_after_failure;
      home.batch_not_written();
      break;
  }
  if (home.is_fenced() && !was_fenced) {
    log_line{log_level::warn, "key_home_fenced"}
        .field("bucket", number)
        .field("epoch", bucket.held_since.count());
  }
}

void key_service::remove_superfluous(std::int64_t number, const std::vector<std::int64_t>& sequences) {
  if (sequences.empty()) {
    return;
  }
  const auto listed = this->store.list(this->journal_prefix(number));
  for (const auto sequence : sequences) {
    const auto key = this->batch_key(number, sequence);
    const auto found = std::find_if(listed.entries.begin(), listed.entries.end(),
                                    [&key](const object_entry& entry) { return entry.key == key; });
    if (found != listed.entries.end()) {
      // Left behind on failure: it is small, and recovery skips all that lies before a snapshot.
      static_cast<void>(this->store.remove(key, found->version));
    }
  }
}

}  // namespace zinnia
