// Tests of the change relay with three control threads in one failure domain: two nodes on large VMs watch
// the store, and a standby node on a small VM follows them.
#include <gtest/gtest.h>

#include <absl/synchronization/mutex.h>

#include <chrono>
#include <functional>
#include <thread>

#include "standins/platform_store.hpp"
#include "store_contents.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/platform/platform_deployment.hpp"
#include "zinnia/store/change_relay_codec.hpp"

using namespace zinnia;
using standins::platform_store;
using standins::server_response;
using standins::threaded_http_server;

namespace {

constexpr node_capacity large_capacity{500, 200'000};
constexpr node_capacity small_capacity{100, 10'000};

/// The control thread of a node, and the HTTP server at which other nodes poll it for changes.
class control_node {
 public:
  control_node(const std::string& name, const node_capacity& capacity, std::uint16_t store_port)
      : relay_server{0, [this](const auto& request) { return this->respond(request); }} {
    this->settings.node = node_id{name};
    this->settings.ip = "127.0.0.1";
    this->settings.peer_port = this->relay_server.port();
    this->settings.own_location = {failure_domain_id{"near-a"}, region_id{"near"}};
    this->settings.regions = {{failure_domain_id{"near-a"}, region_id{"near"}}};
    this->settings.store_endpoint = {"127.0.0.1", store_port};
    this->adapter.emplace(this->settings.store_endpoint.str(), "");
    control_events events;
    events.on_snapshot = [this](const std::shared_ptr<const routing_snapshot>& snapshot) {
      const absl::MutexLock lock{&this->mutex};
      this->latest = snapshot;
    };
    events.on_limits = [](const caller_limits&) {};
    events.on_nodes = [](const membership_view&) {};
    events.on_shift_progress = [](const std::vector<shift_progress>&) {};
    events.on_relay_update = [] {};
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
    return this->latest != nullptr && this->latest->routes->find("a.example", prefix + "1") != nullptr;
  }
  [[nodiscard]] std::uint64_t store_calls() const { return this->counts.value(counter::store_calls); }
  [[nodiscard]] int poll_count() {
    const absl::MutexLock lock{&this->mutex};
    return this->polls;
  }

 private:
  [[nodiscard]] server_response respond(const standins::server_request& request) {
    const absl::MutexLock lock{&this->mutex};
    ++this->polls;
    const auto known = decode_versions(request.query.at("known"));
    if (this->control == nullptr || !this->control->relayed_changes().is_watching() || !known) {
      return {503, {}, "", false};
    }
    return {200, {}, encode_relayed_changes(*this->control->relayed_changes().changes_since(*known)), false};
  }

  absl::Mutex mutex;
  std::shared_ptr<const routing_snapshot> latest;
  int polls{0};
  std::unique_ptr<control_thread> control;
  metrics counts;
  node_settings settings;
  std::optional<platform::platform_deployment> adapter;
  threaded_http_server relay_server;
};

/// Waits until the condition holds. The time limit only bounds a failing test.
[[nodiscard]] bool wait_until(const std::function<bool()>& condition) {
  for (int i = 0; i < 1500; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  return false;
}

class change_relay_contract : public testing::Test {
 protected:
  void SetUp() override {
    this->store.put("config", "main", make_config("00000001", "/one/"));
    this->store.put("servers", "i-1", make_server("ready"));
    this->server.emplace(0, [this](const auto& request) { return this->store.handle(request); });
    for (const auto* const name : {"l1", "l2"}) {
      this->large_nodes.push_back(std::make_unique<control_node>(name, large_capacity, this->server->port()));
    }
    this->standby = std::make_unique<control_node>("s1", small_capacity, this->server->port());
  }
  /// Waits until a change reaches the standby node without a store call of that node.
  [[nodiscard]] bool receives_changes_without_store_calls() {
    return wait_until([this] {
      const auto calls = this->standby->store_calls();
      const auto prefix = "/f" + std::to_string(++this->version) + "/";
      this->put_configuration(prefix);
      return wait_until([&] { return this->standby->knows_route(prefix); }) &&
             this->standby->store_calls() == calls;
    });
  }
  void put_configuration(const std::string& prefix) {
    std::ostringstream hex;
    hex << std::hex << ++this->version;
    this->store.put("config", "main", make_config(hex.str(), prefix));
  }

  platform_store store{2};
  std::optional<threaded_http_server> server;
  std::vector<std::unique_ptr<control_node>> large_nodes;
  std::unique_ptr<control_node> standby;
  int version{0x10};
};

TEST_F(change_relay_contract, a_standby_node_makes_no_calls_to_the_store) {
  EXPECT_TRUE(this->receives_changes_without_store_calls());
  EXPECT_GT(this->large_nodes[0]->poll_count() + this->large_nodes[1]->poll_count(), 0);
}

TEST_F(change_relay_contract, a_standby_node_watches_the_store_again_when_its_sources_stop) {
  ASSERT_TRUE(this->receives_changes_without_store_calls());
  for (auto& node : this->large_nodes) {
    node->stop();
  }
  this->put_configuration("/alone/");
  EXPECT_TRUE(wait_until([this] { return this->standby->knows_route("/alone/"); }));
}

}  // namespace
