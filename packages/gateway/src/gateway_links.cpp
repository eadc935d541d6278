// Health checks, link checks, and what changes when this node loses or regains its links to backend servers.
#include <algorithm>
#include <utility>

#include "health_check.hpp"
#include "request_flow.hpp"
#include "zinnia/gateway/gateway.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Pause before a server is checked again that refuses connections while others to it are open.
constexpr duration blocked_check_pause{50};
/// A call without an answer for longer is no sign that its connection still works.
constexpr duration max_silence_of_open{200};
/// Time after the links have returned until servers are checked that failed with them: links to different
/// servers may not return at the same moment.
constexpr duration return_settling_time{100};

}  // namespace
}  // namespace impl

bool gateway::start_health_check(const std::shared_ptr<backend_state>& backend) {
  const auto* const service = this->backends.service(backend->declared().service);
  const auto* const pool = this->pool_for(*backend);
  if (service == nullptr || pool == nullptr) {
    return false;
  }
  auto& check = this->health_checks[backend->declared().id];
  if (check == nullptr) {
    check = std::make_unique<health_check>(*this, backend, pool->endpoint(), service->health_path);
  }
  return true;
}

void gateway::on_request_lost(backend_state& backend, const lost_request& lost) {
  const auto now = this->clock.now();
  if (this->has_link_trouble()) {
    this->crashes.hold(backend.hash(), lost, now);
    return;
  }
  this->crashes.on_lost(backend.hash(), lost, now);
  if (this->crashes.awaits_confirmation(backend.hash(), now)) {
    backend.request_health_check(now);
    this->start_health_checks();
  }
  this->publish_crashes(true);
}

void gateway::on_request_given_up(const backend_state& backend, const lost_request& lost) {
  const auto now = this->clock.now();
  if (this->has_link_trouble()) {
    this->crashes.hold(backend.hash(), lost, now);
  } else {
    this->crashes.on_given_up(backend.hash(), lost, now);
  }
}

void gateway::on_backend_refused(backend_state& backend) {
  if (this->has_link_trouble()) {
    return;
  }
  const auto now = this->clock.now();
  const auto& all = this->backends.all();
  const bool others_can_be_asked = std::any_of(all.begin(), all.end(), [&](const auto& other) {
    return other->hash() != backend.hash() && this->backends.may_be_checked(*other, now);
  });
  if (others_can_be_asked && this->has_open_connection(backend)) {
    if (this->crashes.awaits_confirmation(backend.hash(), now)) {
      backend.request_health_check(now + impl::blocked_check_pause);
    }
    return;
  }
  backend.suspend_until_checked(now);
  const bool has_requests = this->crashes.has_lost_requests(backend.hash(), now) || backend.in_flight() > 0;
  if (!has_requests || !others_can_be_asked) {
    this->on_backend_crashed(backend.hash(), now);
    return;
  }
  this->refusals.emplace_back(backend.hash(), now);
  this->links.request_round(now);
  this->start_link_checks();
}

bool gateway::has_open_connection(const backend_state& backend) const {
  const auto pool = this->pools.find(backend.declared().id);
  return pool != this->pools.end() && pool->second->has_established(impl::max_silence_of_open);
}

bool gateway::is_crash_undecided(const backend_state& backend) const {
  const auto check = this->health_checks.find(backend.declared().id);
  const bool listens =
      check != this->health_checks.end() && check->second != nullptr && check->second->is_connected();
  return !listens && this->crashes.awaits_confirmation(backend.hash(), this->clock.now());
}

void gateway::resume_held_retries() {
  for (const auto held : std::exchange(this->held_retries, {})) {
    const auto found = this->flows.find(held);
    if (found != this->flows.end()) {
      const auto kept_alive = found->second;
      if (!kept_alive->try_resume_retry()) {
        this->held_retries.push_back(held);
      }
    }
  }
}

void gateway::on_backend_crashed(std::uint64_t backend, time_point noticed_at) {
  if (this->crashes.has_lost_requests(backend, noticed_at)) {
    this->counts.add(counter::backend_crashes);
    const auto crashed = this->backends.find_by_hash(backend);
    log_line{log_level::warn, "backend_crashed"}.field(
        "backend", crashed == nullptr ? "" : crashed->declared().id.str());
    // The end of a process does not always reach the calls that it had. One that is answered after all clears
    // its request again.
    for (const auto& [ticket, flow] : this->flows) {
      const auto lost = flow->unanswered_at(backend);
      if (lost && lost->sent_at <= noticed_at) {
        this->crashes.on_lost(backend, *lost, noticed_at);
      }
    }
  }
  this->crashes.on_crashed(backend, noticed_at);
  this->publish_crashes(true);
}

void gateway::judge_refusals() {
  const auto began = this->links.round_began();
  const auto judged = std::stable_partition(this->refusals.begin(), this->refusals.end(),
                                            [began](const auto& each) { return each.second > began; });
  const std::vector<std::pair<std::uint64_t, time_point>> known(judged, this->refusals.end());
  this->refusals.erase(judged, this->refusals.end());
  for (const auto& [backend, noticed_at] : known) {
    this->on_backend_crashed(backend, noticed_at);
  }
  if (!this->refusals.empty()) {
    this->links.request_round(this->clock.now());
    this->start_link_checks();
  }
}

placement_decision gateway::choose_backend(const placement_request& request, time_point now) {
  auto decision = this->backends.choose(request, now);
  const auto condition = this->links.state();
  const bool is_in_doubt = condition == link_condition::suspected || condition == link_condition::half_open;
  if (decision.candidates > 0 || !is_in_doubt) {
    return decision;
  }
  bool any_restored = false;
  for (const auto& backend : this->backends.all()) {
    const auto pool = this->pools.find(backend->declared().id);
    if (backend->is_suspended() && backend->declared().service == request.service &&
        pool != this->pools.end() && pool->second->has_reusable()) {
      backend->forgive_failures(this->links.trouble_since());
      any_restored = any_restored || !backend->is_suspended();
    }
  }
  return any_restored ? this->backends.choose(request, now) : decision;
}

void gateway::on_links_failed() {
  this->refusals.clear();
  this->crashes.on_links_lost(this->clock.now());
  for (const auto& backend : this->backends.all()) {
    backend->forgive_failures(this->links.trouble_since());
  }
}

void gateway::on_links_returned() {
  const auto now = this->clock.now();
  for (const auto hash : this->crashes.on_links_regained(now)) {
    if (const auto backend = this->backends.find_by_hash(hash)) {
      backend->request_health_check(now + impl::return_settling_time);
    }
  }
  this->publish_crashes(true);
}

void gateway::start_link_checks() {
  const auto now = this->clock.now();
  if (!this->links.wants_checks(now)) {
    return;
  }
  std::vector<std::shared_ptr<backend_state>> known;
  std::vector<link_check_candidate> candidates;
  for (const auto& backend : this->backends.all()) {
    if (this->backends.may_be_checked(*backend, now)) {
      const auto& declared = backend->declared();
      known.push_back(backend);
      candidates.push_back({declared.domain, declared.service, this->backends.is_in_use(*backend, now)});
    }
  }
  std::vector<std::uint64_t> checked;
  std::vector<std::shared_ptr<backend_state>> targets;
  for (const auto position : choose_link_checks(candidates, this->link_rounds++)) {
    targets.push_back(known[position]);
    checked.push_back(known[position]->hash());
  }
  this->links.on_checks_started(checked, now);
  for (const auto& backend : targets) {
    if (!this->start_health_check(backend)) {
      this->links.on_check_failed(backend->hash(), now);
    }
  }
}

void gateway::update_links() {
  const auto now = this->clock.now();
  const bool is_in_doubt = this->links.state() != link_condition::up;
  this->links.update(
      now, is_in_doubt && std::any_of(this->pools.begin(), this->pools.end(),
                                      [](const auto& each) { return each.second->has_reusable(); }));
  this->start_link_checks();
  const auto current = this->links.state();
  if (current == link_condition::up && !this->refusals.empty()) {
    this->judge_refusals();
  }
  if (current == this->handled_links) {
    return;
  }
  const auto previous = std::exchange(this->handled_links, current);
  const bool is_serious = current >= link_condition::half_open || previous >= link_condition::half_open;
  log_line{is_serious ? log_level::warn : log_level::info, "links_changed"}
      .field("from", to_string(previous))
      .field("to", to_string(current))
      .field("silent_ms", this->links.silence(now).ms);
  if (current >= link_condition::half_open) {
    this->on_links_failed();
  } else if (current == link_condition::up && previous >= link_condition::half_open) {
    this->on_links_returned();
  }
  if (current == link_condition::lost) {
    this->counts.add(counter::links_lost);
  }
  const bool reaches_changed = (current == link_condition::lost) != (previous == link_condition::lost);
  if (reaches_changed && this->options.on_links_change) {
    this->options.on_links_change(current != link_condition::lost);
  }
}

}  // namespace zinnia
