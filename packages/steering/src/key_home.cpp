// The key home's state machine.
#include "zinnia/steering/key_home.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

constexpr std::size_t most_records = 50'000;
constexpr std::int64_t batches_between_snapshots = 64;

[[nodiscard]] key_decision refuse(reason why, verdict known, const request_id& first = {}) {
  return {key_step::refuse, why, known, first};
}

}  // namespace
}  // namespace impl

key_home::key_home(epoch held_since, std::int64_t blind_before_unix_ms, std::string writer)
    : held{held_since}, blind_before{blind_before_unix_ms}, writer_id{std::move(writer)} {}

void key_home::note_batch(const journal_batch& batch) {
  if (batch.snapshot) {
    this->superfluous.insert(this->superfluous.end(), this->plain_sequences.begin(),
                             this->plain_sequences.end());
    this->plain_sequences.clear();
    this->since_snapshot = 0;
  }
  if (!batch.claim) {
    this->plain_sequences.push_back(batch.sequence);
  }
  this->next_sequence = batch.sequence + 1;
}

void key_home::restore(const journal_batch& batch) {
  if (batch.snapshot) {
    this->records.clear();
  }
  for (const auto& [name, record] : batch.records) {
    if (record.state == key_state::cleared) {
      this->records.erase(name);
      continue;
    }
    this->records[name] = record;
    // Whoever wrote the intent may have dispatched it; without an outcome nobody can tell.
    if (record.state == key_state::intent || record.state == key_state::running) {
      this->records[name].state = key_state::uncertain;
    }
  }
  this->note_batch(batch);
}

void key_home::finish_restore() {
  this->restored = true;
}

bool key_home::may_have_run_unseen(const key_request& request) const {
  const auto minted = parse_minted_key(request.name.key);
  if (minted && request.now_unix_ms - minted->minted_unix_ms > request.window_ms) {
    return true;
  }
  const bool blind_matters =
      this->blind_before != 0 && request.now_unix_ms - this->blind_before <= request.window_ms;
  return blind_matters && (!minted || minted->minted_unix_ms < this->blind_before);
}

key_decision key_home::decide_existing(const key_record& record, const key_request& request) const {
  if (record.fingerprint != request.fingerprint) {
    return impl::refuse(reason::key_reused, verdict::did_not_run, record.first_request);
  }
  switch (record.state) {
    case key_state::done:
      if (!record.answer.body_kept) {
        return impl::refuse(reason::answer_not_kept, verdict::ran, record.first_request);
      }
      return {key_step::replay, reason::none, verdict::ran, record.first_request};
    case key_state::uncertain:
      return impl::refuse(reason::key_uncertain, verdict::may_have_run, record.first_request);
    default:
      return {key_step::join, reason::none, verdict::may_have_run, record.first_request};
  }
}

key_decision key_home::begin(const key_request& request) {
  if (this->fenced) {
    return impl::refuse(reason::journal_fenced, verdict::may_have_run);
  }
  if (!this->active) {
    return impl::refuse(reason::key_recovering, verdict::may_have_run);
  }
  const auto found = this->records.find(request.name);
  if (found != this->records.end() && found->second.state != key_state::cleared) {
    return this->decide_existing(found->second, request);
  }
  if (this->may_have_run_unseen(request)) {
    return impl::refuse(reason::key_uncertain, verdict::may_have_run);
  }
  if (this->records.size() >= impl::most_records) {
    return impl::refuse(reason::key_table_full, verdict::did_not_run);
  }
  const bool deferred =
      this->journal_down && this->deferral_allowed && request.on_outage == outage_policy::serve;
  if (this->journal_down && !deferred) {
    return impl::refuse(reason::journal_unavailable, verdict::did_not_run);
  }
  this->records[request.name] = {
      request.request, request.fingerprint, key_state::intent, request.now_unix_ms + request.window_ms, {}};
  this->touch(request.name);
  if (deferred) {
    this->ready.insert(request.name);
    this->ahead.insert(request.name);
    return {key_step::dispatch, reason::none, verdict::did_not_run, request.request};
  }
  return {key_step::wait_for_journal, reason::none, verdict::did_not_run, request.request};
}

key_decision key_home::look(const key_name& name, const request_id& request) const {
  const auto found = this->records.find(name);
  const bool gone = found == this->records.end() || found->second.state == key_state::cleared;
  if (gone || found->second.first_request != request) {
    if (!this->fenced) {
      return impl::refuse(reason::journal_unavailable, verdict::did_not_run);
    }
  }
  // Another home has the key now, and the key may have run there.
  if (this->fenced) {
    return impl::refuse(reason::journal_fenced, verdict::may_have_run);
  }
  const auto step = this->ready.contains(name) ? key_step::dispatch : key_step::wait_for_journal;
  return {step, reason::none, verdict::did_not_run, request};
}

bool key_home::mark_running(const key_name& name, const request_id& request) {
  const auto found = this->records.find(name);
  if (this->fenced || found == this->records.end() || found->second.first_request != request) {
    return false;
  }
  auto& record = found->second;
  const bool sendable =
      record.state == key_state::running || (record.state == key_state::intent && this->ready.contains(name));
  if (sendable) {
    record.state = key_state::running;
  }
  return sendable;
}

void key_home::withdraw(const key_name& name, const request_id& request) {
  this->finish(name, request, verdict::did_not_run, {});
}

void key_home::finish(const key_name& name, const request_id& request, verdict outcome, kept_answer answer) {
  const auto found = this->records.find(name);
  if (found == this->records.end() || found->second.first_request != request) {
    return;
  }
  auto& record = found->second;
  if (record.state != key_state::intent && record.state != key_state::running) {
    return;
  }
  this->ready.erase(name);
  this->touch(name);
  switch (outcome) {
    case verdict::ran:
      record.state = key_state::done;
      record.answer = std::move(answer);
      break;
    case verdict::may_have_run:
      record.state = key_state::uncertain;
      break;
    case verdict::did_not_run:
      record.state = key_state::cleared;
      break;
  }
}

const key_record* key_home::find(const key_name& name) const {
  const auto found = this->records.find(name);
  return found == this->records.end() ? nullptr : &found->second;
}

bool key_home::resolve(const key_name& name, bool ran) {
  const auto found = this->records.find(name);
  if (found == this->records.end() || found->second.state != key_state::uncertain) {
    return false;
  }
  found->second.state = ran ? key_state::done : key_state::cleared;
  found->second.answer.body_kept = false;
  this->touch(name);
  return true;
}

void key_home::expire(std::int64_t now_unix_ms) {
  std::erase_if(this->records, [&](const auto& entry) {
    const bool ended = entry.second.state == key_state::done || entry.second.state == key_state::cleared ||
                       entry.second.state == key_state::uncertain;
    return ended && entry.second.expires_unix_ms <= now_unix_ms && !this->dirty.contains(entry.first);
  });
}

void key_home::batch_unsettled() noexcept {
  this->journal_down = true;
  this->unsettled = true;
}

std::optional<journal_batch> key_home::next_batch() {
  if (this->in_flight && this->unsettled) {
    return this->in_flight;
  }
  const bool claims = this->restored && !this->active;
  // While the journal is down an empty batch is written as a probe, or nothing would notice its return.
  const bool nothing_to_write = !claims && this->dirty.empty() && !this->journal_down;
  if (this->fenced || this->in_flight || !this->restored || nothing_to_write) {
    return std::nullopt;
  }
  journal_batch batch;
  batch.sequence = this->next_sequence;
  batch.written_under = this->held;
  batch.write_id = this->writer_id + '-' + std::to_string(++this->writes);
  batch.claim = claims;
  batch.snapshot = !claims && this->since_snapshot >= impl::batches_between_snapshots;
  if (batch.snapshot) {
    std::erase_if(this->records, [](const auto& entry) { return entry.second.state == key_state::cleared; });
    batch.records.assign(this->records.begin(), this->records.end());
  } else {
    for (const auto& name : this->dirty) {
      batch.records.emplace_back(name, this->records.at(name));
    }
  }
  this->dirty.clear();
  this->in_flight = batch;
  return batch;
}

void key_home::batch_written() {
  if (!this->in_flight) {
    return;
  }
  ++this->since_snapshot;
  this->note_batch(*this->in_flight);
  for (const auto& [name, written] : this->in_flight->records) {
    this->ahead.erase(name);
    const auto found = this->records.find(name);
    if (found != this->records.end() && found->second.state == key_state::intent &&
        found->second.first_request == written.first_request) {
      this->ready.insert(name);
    }
    if (found != this->records.end() && found->second.state == key_state::cleared &&
        !this->dirty.contains(name)) {
      this->records.erase(found);
    }
  }
  this->active = true;
  this->journal_down = false;
  this->unsettled = false;
  this->in_flight.reset();
}

void key_home::drop_intents_of(const journal_batch& batch) {
  for (const auto& [name, written] : batch.records) {
    const auto found = this->records.find(name);
    if (found == this->records.end()) {
      continue;
    }
    const bool waits = found->second.state == key_state::intent && !this->ready.contains(name);
    if (waits) {
      // Its caller is told that it did not run.
      this->records.erase(found);
      this->dirty.erase(name);
    } else {
      this->touch(name);
    }
  }
}

void key_home::batch_not_written() {
  this->journal_down = true;
  if (!this->in_flight || this->unsettled) {
    return;
  }
  const auto batch = std::move(*this->in_flight);
  this->in_flight.reset();
  this->drop_intents_of(batch);
}

void key_home::batch_conflicts(const journal_batch& existing) {
  if (!this->in_flight) {
    return;
  }
  if (existing.write_id == this->in_flight->write_id) {
    this->batch_written();
    return;
  }
  this->unsettled = false;
  // While claiming, a batch of an older epoch is one that the former holder still managed to write.
  if (!this->active && existing.written_under < this->held) {
    this->in_flight.reset();
    this->restore(existing);
    return;
  }
  const auto batch = std::move(*this->in_flight);
  this->in_flight.reset();
  this->fenced = true;
  this->drop_intents_of(batch);
}

std::vector<std::int64_t> key_home::take_superfluous() {
  return std::exchange(this->superfluous, {});
}

}  // namespace zinnia
