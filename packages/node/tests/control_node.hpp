// A node's control thread for tests with several nodes: with the HTTP server at which other nodes ask it.
#pragma once

#include <absl/synchronization/mutex.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "peer_state_exchange.hpp"
#include "standins/threaded_http_server.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/platform/platform_deployment.hpp"
#include "zinnia/store/change_relay_codec.hpp"

namespace zinnia {

inline constexpr node_capacity large_capacity{500, 200'000};
inline constexpr node_capacity small_capacity{100, 10'000};

/// The control thread of a node, and the HTTP server at which other nodes poll it for changes.
class control_node {
 public:
  control_node(const std::string& name, const node_capacity& capacity, std::uint16_t store_port,
               std::optional<duration> revocation_limit = std::nullopt)
      : relay_server{0, [this](const auto& request) { return this->respond(request); }} {
    this->settings.node = node_id{name};
    this->settings.ip = "127.0.0.1";
    this->settings.peer_port = this->relay_server.port();
    this->settings.own_location = {failure_domain_id{"near-a"}, region_id{"near"}};
    this->settings.regions = {{failure_domain_id{"near-a"}, region_id{"near"}}};
    this->settings.store_endpoint = {"127.0.0.1", store_port};
    this->settings.revocation_limit = revocation_limit;
    this->adapter.emplace(this->settings.store_endpoint.str(), "");
    control_events events;
    events.on_snapshot = [this](const std::shared_ptr<const routing_snapshot>& snapshot) {
      const absl::MutexLock lock{&this->mutex};
      this->published.push_back(snapshot);
    };
    events.on_limits = [](const caller_limits&) {};
    events.on_nodes = [](const membership_view&) {};
    events.on_shift_progress = [](const std::vector<shift_progress>&) {};
    events.on_relay_update = [] {};
    events.on_confirmation = [this](config_version version, time_point until) {
      const absl::MutexLock lock{&this->mutex};
      this->confirmed_version = version;
      this->confirmed_until = until;
    };
    member self;
    self.id = this->settings.node;
    self.where = this->settings.own_location;
    self.incarnation = incarnation_id{"run"};
    self.peer_address = {"127.0.0.1", this->settings.peer_port};
    self.capacity = capacity;
    auto started_thread = std::make_unique<control_thread>(*this->adapter, this->settings,
                                                           std::make_shared<const settings_tree>(), self,
                                                           this->counts, std::move(events));
    const absl::MutexLock lock{&this->mutex};
    this->control = std::move(started_thread);
  }
  ~control_node() { this->stop(); }
  control_node(const control_node&) = delete;
  control_node& operator=(const control_node&) = delete;
  control_node(control_node&&) = delete;
  control_node& operator=(control_node&&) = delete;

  /// Stops the control thread. Polls get status 503 from then on.
  void stop() {
    std::unique_ptr<control_thread> ended;
    {
      const absl::MutexLock lock{&this->mutex};
      ended = std::move(this->control);
    }
    // The thread calls back into this object while it stops, so the lock must not be held here.
    ended.reset();
  }
  [[nodiscard]] bool knows_route(const std::string& prefix) {
    const absl::MutexLock lock{&this->mutex};
    return !this->published.empty() &&
           this->published.back()->routes->find("a.example", prefix + "1") != nullptr;
  }
  /// Returns the snapshots published so far, the first one first.
  [[nodiscard]] std::vector<std::shared_ptr<const routing_snapshot>> snapshots() {
    const absl::MutexLock lock{&this->mutex};
    return this->published;
  }
  /// Returns true if the latest snapshot is proven to be current. The same rule as the gateway's.
  [[nodiscard]] bool is_confirmed() {
    const absl::MutexLock lock{&this->mutex};
    return !this->published.empty() && this->published.back()->version >= this->confirmed_version &&
           boot_clock{}.now() < this->confirmed_until;
  }
  [[nodiscard]] std::uint64_t store_calls() const { return this->counts.value(counter::store_calls); }
  [[nodiscard]] std::uint64_t store_failures() const { return this->counts.value(counter::store_failures); }
  /// Answers polls from now on as a build that knows no confirmations.
  void hide_confirmation() {
    const absl::MutexLock lock{&this->mutex};
    this->hides_confirmation = true;
  }
  [[nodiscard]] int poll_count() {
    const absl::MutexLock lock{&this->mutex};
    return this->polls;
  }

 private:
  [[nodiscard]] standins::server_response respond(const standins::server_request& request) {
    const absl::MutexLock lock{&this->mutex};
    if (this->control == nullptr) {
      return {503, {}, "", false};
    }
    const auto& relayed = this->control->relayed_changes();
    if (request.path == peer_state_path) {
      const auto state = relayed.state();
      const auto known = std::stoull(request.query.at("configuration"));
      return state == nullptr ? standins::server_response{503, {}, "", false}
                              : standins::server_response{
                                    200, {}, encode_retained_state(*state, known, boot_clock{}.now()), false};
    }
    ++this->polls;
    const auto known = decode_versions(request.query.at("known"));
    if (!relayed.is_watching() || !known) {
      return {503, {}, "", false};
    }
    auto answer = relayed.answer_to(*known, boot_clock{}.now());
    if (this->hides_confirmation) {
      answer->confirmation.reset();
    }
    return {200, {}, encode_relayed_changes(answer->kinds, answer->confirmation), false};
  }

  absl::Mutex mutex;
  std::vector<std::shared_ptr<const routing_snapshot>> published;
  config_version confirmed_version;
  time_point confirmed_until;
  bool hides_confirmation{false};
  int polls{0};
  std::unique_ptr<control_thread> control;
  metrics counts;
  node_settings settings;
  std::optional<platform::platform_deployment> adapter;
  standins::threaded_http_server relay_server;
};

/// Waits until the condition holds. The time limit only bounds a failing test.
[[nodiscard]] inline bool wait_until(const std::function<bool()>& condition) {
  for (int i = 0; i < 3000; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  return false;
}

}  // namespace zinnia
