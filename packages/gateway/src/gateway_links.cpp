// Health checks, link checks, and what changes when this node loses or regains its links to backend servers.
#include <algorithm>
#include <utility>

#include "health_check.hpp"
#include "request_flow.hpp"
#include "zinnia/gateway/gateway.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {

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

void gateway::end_calls_without_links() {
  for (const auto& backend : this->backends.all()) {
    this->reassign_waiting(backend);
  }
  const auto in_flight = this->flows;
  for (const auto& [ticket, flow] : in_flight) {
    flow->on_links_lost();
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
  if (current == this->handled_links) {
    return;
  }
  const auto previous = std::exchange(this->handled_links, current);
  const bool is_serious = current >= link_condition::half_open || previous >= link_condition::half_open;
  log_line{is_serious ? log_level::warn : log_level::info, "links_changed"}
      .field("from", to_string(previous))
      .field("to", to_string(current))
      .field("silent_ms", this->links.silence(now).ms);
  if (current == link_condition::lost) {
    this->counts.add(counter::links_lost);
    this->end_calls_without_links();
  }
  const bool reaches_changed = (current == link_condition::lost) != (previous == link_condition::lost);
  if (reaches_changed && this->options.on_links_change) {
    this->options.on_links_change(current != link_condition::lost);
  }
}

}  // namespace zinnia
