// Three control threads in one failure domain, two on large VMs and one on a small one that stands by.
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
using standins::http_server;
using standins::platform_store;
using standins::server_answer;

namespace {

constexpr node_capacity large{500, 200'000};
constexpr node_capacity small{100, 10'000};

/// A node's control thread and the address at which others ask it for changes.
class control_node {
 public:
  control_node(const std::string& name, const node_capacity& capacity, std::uint16_t store_port)
      : desk{0, [this](const auto& request) { return this->answer(request); }} {
    this->settings.node = node_id{name};
    this->settings.ip = "127.0.0.1";
    this->settings.peer_port = this->desk.port();
    this->settings.here = {failure_domain_id{"near-a"}, region_id{"near"}};
    this->settings.regions = {{failure_domain_id{"near-a"}, region_id{"near"}}};
    this->settings.store = {"127.0.0.1", store_port};
    this->outside.emplace(this->settings.store.str(), "");
    control_events events;
    events.on_snapshot = [this](const std::shared_ptr<const routing_snapshot>& snapshot) {
      const absl::MutexLock lock{&this->mutex};
      this->latest = snapshot;
    };
    events.on_limits = [](const caller_limits&) {};
    events.on_nodes = [](const known_nodes&) {};
    events.on_progress = [](const std::vector<shift_progress>&) {};
    events.on_board = [] {};
    member self;
    self.id = this->settings.node;
    self.where = this->settings.here;
    self.incarnation = incarnation_id{"run"};
    self.peer_address = {"127.0.0.1", this->settings.peer_port};
    self.capacity = capacity;
    auto made = std::make_unique<control_thread>(*this->outside, this->settings,
                                                 std::make_shared<const settings_tree>(), self, this->counts,
                                                 std::move(events));
    const absl::MutexLock lock{&this->mutex};
    this->control = std::move(made);
  }
  ~control_node() { this->stop(); }
  control_node(const control_node&) = delete;
  control_node& operator=(const control_node&) = delete;
  control_node(control_node&&) = delete;
  control_node& operator=(control_node&&) = delete;

  /// Ends the control thread; questions are refused from then on.
  void stop() {
    std::unique_ptr<control_thread> ended;
    {
      const absl::MutexLock lock{&this->mutex};
      ended = std::move(this->control);
    }
    // Its thread calls back into this object while it ends, so not under the lock.
    ended.reset();
  }
  [[nodiscard]] bool knows(const std::string& prefix) {
    const absl::MutexLock lock{&this->mutex};
    return this->latest != nullptr && this->latest->routes->find("a.example", prefix + "1") != nullptr;
  }
  [[nodiscard]] std::uint64_t store_calls() const { return this->counts.value(counter::store_calls); }
  [[nodiscard]] int questions() {
    const absl::MutexLock lock{&this->mutex};
    return this->asked;
  }

 private:
  [[nodiscard]] server_answer answer(const standins::server_request& request) {
    const absl::MutexLock lock{&this->mutex};
    ++this->asked;
    const auto known = decode_versions(request.query.at("known"));
    if (this->control == nullptr || !this->control->board().is_watching() || !known) {
      return {503, {}, "", false};
    }
    return {200, {}, encode_relayed_changes(*this->control->board().changes_since(*known)), false};
  }

  absl::Mutex mutex;
  std::shared_ptr<const routing_snapshot> latest;
  int asked{0};
  std::unique_ptr<control_thread> control;
  metrics counts;
  node_settings settings;
  std::optional<platform::platform_deployment> outside;
  http_server desk;
};

/// Waits until something holds; the limit only bounds a failing test.
[[nodiscard]] bool becomes(const std::function<bool()>& wanted) {
  for (int i = 0; i < 1500; ++i) {
    if (wanted()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  return false;
}

class follow_contract : public testing::Test {
 protected:
  void SetUp() override {
    this->store.put("config", "main", make_config("00000001", "/one/"));
    this->store.put("servers", "i-1", make_server("ready"));
    this->server.emplace(0, [this](const auto& request) { return this->store.handle(request); });
    for (const auto* const name : {"l1", "l2"}) {
      this->larges.push_back(std::make_unique<control_node>(name, large, this->server->port()));
    }
    this->standby = std::make_unique<control_node>("s1", small, this->server->port());
  }
  /// Whether the small node hears of changes without calls to the store.
  [[nodiscard]] bool follows() {
    return becomes([this] {
      const auto calls = this->standby->store_calls();
      const auto prefix = "/f" + std::to_string(++this->version) + "/";
      this->change(prefix);
      return becomes([&] { return this->standby->knows(prefix); }) && this->standby->store_calls() == calls;
    });
  }
  void change(const std::string& prefix) {
    std::ostringstream hex;
    hex << std::hex << ++this->version;
    this->store.put("config", "main", make_config(hex.str(), prefix));
  }

  platform_store store{2};
  std::optional<http_server> server;
  std::vector<std::unique_ptr<control_node>> larges;
  std::unique_ptr<control_node> standby;
  int version{0x10};
};

TEST_F(follow_contract, a_node_that_stands_by_makes_no_calls_to_the_store) {
  EXPECT_TRUE(this->follows());
  EXPECT_GT(this->larges[0]->questions() + this->larges[1]->questions(), 0);
}

TEST_F(follow_contract, it_goes_back_to_the_store_when_its_sources_are_gone) {
  ASSERT_TRUE(this->follows());
  for (auto& node : this->larges) {
    node->stop();
  }
  this->change("/alone/");
  EXPECT_TRUE(becomes([this] { return this->standby->knows("/alone/"); }));
}

}  // namespace
