// The control thread against a store that fails in every way: what it publishes, and that it never goes back.
#include <gtest/gtest.h>

#include <absl/synchronization/mutex.h>

#include <chrono>
#include <functional>
#include <thread>

#include "standins/platform_store.hpp"
#include "store_contents.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/platform/platform_deployment.hpp"

using namespace zinnia;
using standins::http_server;
using standins::platform_store;
using standins::store_faults;

namespace {

class control_contract : public testing::Test {
 protected:
  void SetUp() override {
    this->store.put("config", "main", make_config("00000001", "/one/"));
    this->store.put("servers", "i-1", make_server("ready"));
    this->server.emplace(0, [this](const auto& request) { return this->store.handle(request); });
    this->settings.node = node_id{"n1"};
    this->settings.ip = "127.0.0.1";
    this->settings.here = {failure_domain_id{"near-a"}, region_id{"near"}};
    this->settings.regions = {{failure_domain_id{"near-a"}, region_id{"near"}}};
    this->settings.store = {"127.0.0.1", this->server->port()};
    this->outside.emplace(this->settings.store.str(), "");
    this->begin();
  }
  void begin() {
    control_events events;
    events.on_snapshot = [this](const std::shared_ptr<const routing_snapshot>& snapshot) {
      const absl::MutexLock lock{&this->mutex};
      if (this->latest != nullptr) {
        this->went_back = this->went_back || snapshot->version < this->latest->version;
      }
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
    this->control.emplace(*this->outside, this->settings, std::make_shared<const settings_tree>(), self,
                          this->counts, std::move(events));
  }
  [[nodiscard]] std::shared_ptr<const routing_snapshot> snapshot() {
    const absl::MutexLock lock{&this->mutex};
    return this->latest;
  }
  /// Waits until the published snapshot is as wanted; the limit only bounds a failing test.
  [[nodiscard]] bool becomes(const std::function<bool(const routing_snapshot&)>& wanted) {
    for (int i = 0; i < 1500; ++i) {
      const auto seen = this->snapshot();
      if (seen != nullptr && wanted(*seen)) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return false;
  }
  [[nodiscard]] bool serves(const std::string& prefix) {
    return this->becomes([&](const routing_snapshot& seen) {
      return seen.routes->find("a.example", prefix + "1") != nullptr;
    });
  }

  platform_store store{2};
  std::optional<http_server> server;
  node_settings settings;
  std::optional<platform::platform_deployment> outside;
  metrics counts;
  absl::Mutex mutex;
  std::shared_ptr<const routing_snapshot> latest;
  bool went_back{false};
  std::optional<control_thread> control;
};

TEST_F(control_contract, publishes_what_the_store_holds_and_registers_itself) {
  EXPECT_TRUE(this->serves("/one/"));
  EXPECT_TRUE(this->becomes([](const routing_snapshot& seen) { return seen.backends.size() == 1; }));
  for (int i = 0; i < 500 && !this->store.contains("zinnia-nodes", "n1"); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  EXPECT_TRUE(this->store.contains("zinnia-nodes", "n1"));
  this->control->begin_leaving();
  for (int i = 0; i < 500 && this->store.contains("zinnia-nodes", "n1"); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  EXPECT_FALSE(this->store.contains("zinnia-nodes", "n1"));
}

TEST_F(control_contract, follows_changes_drains_and_evacuations) {
  ASSERT_TRUE(this->serves("/one/"));
  this->store.put("config", "main", make_config("00000005", "/two/"));
  EXPECT_TRUE(this->serves("/two/"));
  this->store.put("servers", "i-1", make_server("draining"));
  EXPECT_TRUE(this->becomes([](const routing_snapshot& seen) {
    return seen.backends.at(backend_id{"i-1"}).mode == backend_mode::draining;
  }));
  this->store.put("evacuations", "near-a", nlohmann::json::object());
  EXPECT_TRUE(this->becomes([](const routing_snapshot& seen) { return seen.evacuated.size() == 1; }));
  this->store.erase("evacuations", "near-a");
  EXPECT_TRUE(this->becomes([](const routing_snapshot& seen) { return seen.evacuated.empty(); }));
}

TEST_F(control_contract, an_unreadable_entry_disturbs_no_other) {
  ASSERT_TRUE(this->serves("/one/"));
  this->store.put_raw("servers", "i-0", "\"\xff\xfe\"");
  this->store.put("servers", "i-2", nlohmann::json{{"service", 7}});
  this->store.put("servers", "i-3", make_server("ready"));
  EXPECT_TRUE(this->becomes([](const routing_snapshot& seen) {
    return seen.backends.size() == 2 && seen.backends.contains(backend_id{"i-3"});
  }));
}

struct outage_case {
  const char* name;
  store_faults faults;
};

TEST_F(control_contract, the_last_state_holds_through_outages_and_changes_are_caught_up) {
  ASSERT_TRUE(this->serves("/one/"));
  const std::vector<outage_case> table{{"busy", {.refuse_status = 503}},
                                       {"too many calls", {.refuse_status = 429}},
                                       {"reset", {.reset = true}},
                                       {"silent", {.silent_ms = 700}}};
  int version = 0x10;
  for (const auto& row : table) {
    this->store.set_faults(row.faults);
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    EXPECT_NE(this->snapshot(), nullptr) << row.name;
    const auto prefix = "/v" + std::to_string(++version) + "/";
    std::ostringstream hex;
    hex << std::hex << version;
    this->store.put("config", "main", make_config(hex.str(), prefix));
    this->store.set_faults({});
    EXPECT_TRUE(this->serves(prefix)) << row.name;
  }
  EXPECT_FALSE(this->went_back);
}

/// While the store is away one kind asks for all; when it answers again every kind is asked at once, so that
/// no kind sits out a pause of its own with old news.
TEST_F(control_contract, one_kind_probes_a_lost_store_and_its_return_refreshes_all) {
  ASSERT_TRUE(this->serves("/one/"));
  this->store.set_faults({.refuse_status = 503});
  const auto failed_calls = [this] { return this->counts.value(counter::store_failures); };
  while (failed_calls() < 8) {
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  const auto before = this->store.calls_for("servers") + this->store.calls_for("evacuations");
  while (failed_calls() < 14) {
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  EXPECT_EQ(this->store.calls_for("servers") + this->store.calls_for("evacuations"), before);
  this->store.put("servers", "i-1", make_server("draining"));
  this->store.put("evacuations", "near-a", nlohmann::json::object());
  this->store.set_faults({});
  EXPECT_TRUE(this->becomes([](const routing_snapshot& seen) {
    return seen.evacuated.size() == 1 && seen.backends.at(backend_id{"i-1"}).mode == backend_mode::draining;
  }));
}

TEST_F(control_contract, a_history_that_is_gone_hides_no_change) {
  ASSERT_TRUE(this->serves("/one/"));
  this->store.set_faults({.deaf_watches = true});
  this->store.put("evacuations", "near-a", nlohmann::json::object());
  this->store.put("config", "main", make_config("00000020", "/three/"));
  this->store.forget_history();
  this->store.set_faults({});
  EXPECT_TRUE(this->serves("/three/"));
  EXPECT_TRUE(this->becomes([](const routing_snapshot& seen) { return seen.evacuated.size() == 1; }));
}

TEST_F(control_contract, a_watch_that_hears_nothing_is_made_anew) {
  ASSERT_TRUE(this->serves("/one/"));
  // The change passes while no watch hears; nothing is cut and no history is lost.
  this->store.set_faults({.deaf_watches = true});
  this->store.put("evacuations", "near-a", nlohmann::json::object());
  EXPECT_TRUE(this->becomes([this](const routing_snapshot& seen) {
    this->store.set_faults({.deaf_watches = this->counts.value(counter::store_calls) < 18});
    return seen.evacuated.size() == 1;
  }));
}

TEST_F(control_contract, operators_settings_come_from_the_store) {
  ASSERT_TRUE(this->serves("/one/"));
  settings_document document;
  document.tree_text = "settings: {homes_per_object: 3}\nplaces: {near: {domains: {near-a: {}}}}\n";
  document.shifts = {{"d", shift_kind::drain_domain, "near-a", {}, {}, 100, 0}};
  this->store.put("zinnia-settings", "main", nlohmann::json::parse(encode(document)));
  EXPECT_TRUE(this->becomes([](const routing_snapshot& seen) {
    return seen.tree != nullptr && seen.tree->effective(service_id{"desk"}).values.homes_per_object == 3 &&
           seen.shifts.closed_backends.contains(backend_id{"i-1"});
  }));
  document.tree_text = "settings: {homes_per_object: 300}\n";
  this->store.put("zinnia-settings", "main", nlohmann::json::parse(encode(document)));
  std::this_thread::sleep_for(std::chrono::milliseconds{200});
  EXPECT_EQ(this->snapshot()->tree->effective(service_id{"desk"}).values.homes_per_object, 3)
      << "a tree that does not parse changes nothing";
}

}  // namespace
