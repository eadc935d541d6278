// Keyed requests: begin, wait for the journal or for the first run, dispatch, record.
#include "zinnia/traffic/key_service.hpp"

#include <absl/time/time.h>

#include <nlohmann/json.hpp>

namespace zinnia {
namespace impl {
namespace {

constexpr duration wait_poll{20};
constexpr duration recovery_retry_after{200};
/// Larger answers are not kept for repeats.
constexpr std::size_t largest_replayed_body = 1 << 20;
constexpr int most_joins = 3;

[[nodiscard]] exchange_answer refusal(const request_id& id, verdict known, reason why) {
  exchange_answer answer;
  answer.id = id;
  answer.outcome = known;
  answer.why = why;
  const bool final =
      why == reason::key_reused || why == reason::key_uncertain || why == reason::answer_not_kept;
  const bool worth_repeating = known != verdict::ran && !final;
  answer.retry_after = worth_repeating ? recovery_retry_after : duration{0};
  return answer;
}

[[nodiscard]] kept_answer to_kept(const exchange_answer& answer) {
  const bool keep = answer.body.size() <= largest_replayed_body;
  return {answer.status, answer.headers, keep ? answer.body : std::string{}, keep};
}

}  // namespace
}  // namespace impl

std::string resolution_key(const service_id& service, const std::string& key_or_request) {
  return "resolutions/" + service.str() + '/' + key_or_request;
}

key_service::key_service(object_store& platform, const clock_source& time, metrics& numbers,
                         region_id own_region, std::string writer)
    : store{platform},
      clock{time},
      counts{numbers},
      region{std::move(own_region)},
      writer_id{std::move(writer)},
      journal_thread{[this] { this->journal_loop(); }} {}

key_service::~key_service() {
  {
    const absl::MutexLock lock{&this->mutex};
    this->stopping = true;
  }
  this->journal_thread.join();
}

void key_service::apply(const traffic_view& view) {
  const absl::MutexLock lock{&this->mutex};
  this->valid_until = view.valid_until;
  for (auto& [number, bucket] : this->buckets) {
    bucket.closing = true;
  }
  for (const auto& held : view.buckets) {
    auto& bucket = this->buckets[held.bucket];
    if (bucket.home == nullptr || bucket.held_since != held.held_since) {
      if (bucket.in_flight > 0 || bucket.journal_uses > 0) {
        // The former home's requests end under their own epoch first.
        continue;
      }
      bucket = bucket_state{};
      bucket.held_since = held.held_since;
      bucket.home = std::make_unique<key_home>(held.held_since, held.blind_before_unix_ms,
                                               this->writer_id + '-' + std::to_string(held.bucket) + '-' +
                                                   std::to_string(held.held_since.count()));
      this->wake = true;
    }
    bucket.closing = false;
    bucket.home->set_deferral_allowed(view.deferral_allowed);
  }
  std::erase_if(this->buckets, [](const auto& entry) {
    const auto& bucket = entry.second;
    const bool written = bucket.home == nullptr || bucket.home->is_fenced() || !bucket.recovered ||
                         !bucket.home->has_unwritten();
    const bool unused = bucket.in_flight == 0 && bucket.journal_uses == 0;
    return bucket.closing && unused && written;
  });
}

key_service::wait_end key_service::wait_until(const keyed_request& request,
                                              const std::function<bool()>& changed) {
  while (!this->mutex.AwaitWithTimeout(absl::Condition(&changed), absl::Milliseconds(impl::wait_poll.ms))) {
    if (this->clock.now() >= request.deadline) {
      return wait_end::deadline;
    }
    if (request.cancelled()) {
      return wait_end::cancelled;
    }
  }
  return wait_end::changed;
}

exchange_answer key_service::replay(const keyed_request& request, const key_record& record) {
  this->counts.add(counter::key_replays);
  exchange_answer answer;
  answer.id = request.key.request;
  answer.outcome = verdict::ran;
  answer.status = record.answer.status;
  answer.headers = record.answer.headers;
  answer.headers.emplace_back(first_request_header, record.first_request.str());
  answer.body = record.answer.body;
  return answer;
}

std::optional<exchange_answer> key_service::join(const keyed_request& request, bucket_state& bucket) {
  this->counts.add(counter::key_joins);
  const auto has_ended = [&] {
    const auto* const record = bucket.home->find(request.key.name);
    return record == nullptr || (record->state != key_state::intent && record->state != key_state::running);
  };
  const auto end = this->wait_until(request, has_ended);
  if (end == wait_end::changed) {
    return std::nullopt;
  }
  const auto why = end == wait_end::deadline ? reason::deadline_passed : reason::cancelled;
  return impl::refusal(request.key.request, verdict::may_have_run, why);
}

exchange_answer key_service::first_run(const keyed_request& request, bucket_state& bucket,
                                       const std::function<exchange_answer()>& dispatch) {
  const auto& name = request.key.name;
  const auto& id = request.key.request;
  this->wake = true;
  const auto started = this->clock.now();
  const auto is_settled = [&] { return bucket.home->look(name, id).step != key_step::wait_for_journal; };
  const auto end = this->wait_until(request, is_settled);
  this->counts.record(timing::journal, this->clock.now() - started);
  if (end != wait_end::changed) {
    bucket.home->withdraw(name, id);
    const auto why = end == wait_end::deadline ? reason::deadline_passed : reason::cancelled;
    return impl::refusal(id, verdict::did_not_run, why);
  }
  const auto decision = bucket.home->look(name, id);
  if (decision.step != key_step::dispatch || !bucket.home->mark_running(name, id)) {
    return impl::refusal(id, decision.known, decision.why);
  }
  this->mutex.Unlock();
  auto answer = dispatch();
  this->mutex.Lock();
  bucket.home->finish(name, id, answer.outcome, impl::to_kept(answer));
  this->wake = true;
  return answer;
}

bool key_service::apply_resolution(const keyed_request& request, bucket_state& bucket) {
  const auto& name = request.key.name;
  this->mutex.Unlock();
  const auto reply = this->store.get(resolution_key(name.service, name.key.str()));
  this->mutex.Lock();
  if (!reply.ok()) {
    return false;
  }
  const auto value = nlohmann::json::parse(reply.value, nullptr, false);
  if (!value.is_object() || !value.contains("outcome")) {
    return false;
  }
  return bucket.home->resolve(name, value["outcome"] == std::string{to_word(verdict::ran)});
}

exchange_answer key_service::run(const keyed_request& request, std::int64_t number,
                                 const std::function<exchange_answer()>& dispatch) {
  const absl::MutexLock lock{&this->mutex};
  const auto found = this->buckets.find(number);
  if (found == this->buckets.end() || found->second.closing) {
    return impl::refusal(request.key.request, verdict::did_not_run, reason::no_holder);
  }
  auto& bucket = found->second;
  // Keeps the bucket in its place while this request uses it without the lock.
  ++bucket.in_flight;
  exchange_answer answer;
  for (int round = 0; round < impl::most_joins; ++round) {
    const auto decision = bucket.home->begin(request.key);
    if (decision.step == key_step::join) {
      if (auto given_up = this->join(request, bucket)) {
        answer = *given_up;
        break;
      }
      continue;
    }
    if (decision.step == key_step::replay) {
      answer = this->replay(request, *bucket.home->find(request.key.name));
      break;
    }
    if (decision.step != key_step::refuse) {
      answer = this->first_run(request, bucket, dispatch);
      break;
    }
    answer = impl::refusal(request.key.request, decision.known, decision.why);
    if (decision.why != reason::key_uncertain || !this->apply_resolution(request, bucket)) {
      break;
    }
  }
  --bucket.in_flight;
  this->qualify(answer, bucket);
  return answer;
}

/// "Did not run" holds for the key only while no other home can have taken over and run it.
void key_service::qualify(exchange_answer& answer, const bucket_state& bucket) const {
  if (answer.outcome != verdict::did_not_run) {
    return;
  }
  const bool is_home = !bucket.home->is_fenced() && this->clock.now() < this->valid_until;
  answer.key_known = is_home || answer.why == reason::key_reused;
}

bool key_service::is_idle(std::int64_t number) {
  const absl::MutexLock lock{&this->mutex};
  const auto found = this->buckets.find(number);
  return found == this->buckets.end();
}

bool key_service::is_behind() {
  const absl::MutexLock lock{&this->mutex};
  for (const auto& [number, bucket] : this->buckets) {
    if (bucket.home != nullptr && bucket.home->is_behind()) {
      return true;
    }
  }
  return false;
}

std::int64_t key_service::in_flight() {
  const absl::MutexLock lock{&this->mutex};
  std::int64_t sum = 0;
  for (const auto& [number, bucket] : this->buckets) {
    sum += bucket.in_flight;
  }
  return sum;
}

}  // namespace zinnia
