// Tests of the control thread against a store with faults: what it publishes, and that the published version
// never decreases.
#include <gtest/gtest.h>

#include <absl/synchronization/mutex.h>
#include <atomic>

#include <chrono>
#include <functional>
#include <thread>

#include "standins/platform_store.hpp"
#include "store_contents.hpp"
#include "zinnia/membership/member_codec.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/platform/platform_deployment.hpp"
#include "zinnia/settings/settings_document.hpp"

using namespace zinnia;
using standins::platform_store;
using standins::store_faults;
using standins::threaded_http_server;

namespace {

class control_thread_contract : public testing::Test {
 protected:
  void SetUp() override {
    this->store.put("config", "main", make_config("00000001", "/one/"));
    this->store.put("servers", "i-1", make_server("ready"));
    this->server.emplace(0, [this](const auto& request) { return this->store.handle(request); });
    this->settings.node = node_id{"n1"};
    this->settings.ip = "127.0.0.1";
    this->settings.own_location = {failure_domain_id{"near-a"}, region_id{"near"}};
    this->settings.regions = {{failure_domain_id{"near-a"}, region_id{"near"}}};
    this->settings.store_endpoint = {"127.0.0.1", this->server->port()};
    this->adapter.emplace(this->settings.store_endpoint.str(), "");
    this->start_control_thread();
  }
  void start_control_thread() {
    control_events events;
    events.on_snapshot = [this](const std::shared_ptr<const routing_snapshot>& snapshot) {
      const absl::MutexLock lock{&this->mutex};
      if (this->latest != nullptr) {
        this->version_went_back = this->version_went_back || snapshot->version < this->latest->version;
      }
      this->latest = snapshot;
    };
    events.on_limits = [](const caller_limits&) {};
    events.on_nodes = [this](const membership_view& nodes) {
      const absl::MutexLock lock{&this->mutex};
      this->registered_nodes = nodes.registered_count;
    };
    events.on_shift_progress = [](const std::vector<shift_progress>&) {};
    events.on_relay_update = [] {};
    events.on_store_restored = [this] { ++this->restores_seen; };
    member self;
    self.id = this->settings.node;
    self.where = this->settings.own_location;
    self.caller_address = "127.0.0.1:1";
    self.operator_address = "127.0.0.1:2";
    self.peer_address = {"127.0.0.1", 3};
    self.incarnation = incarnation_id{"run"};
    this->control.emplace(*this->adapter, this->settings, std::make_shared<const settings_tree>(), self,
                          this->counts, std::move(events));
  }
  [[nodiscard]] std::shared_ptr<const routing_snapshot> snapshot() {
    const absl::MutexLock lock{&this->mutex};
    return this->latest;
  }
  /// Waits until the published snapshot meets the condition. The time limit only bounds a failing test.
  [[nodiscard]] bool wait_for_snapshot(const std::function<bool(const routing_snapshot&)>& condition) {
    for (int i = 0; i < 3000; ++i) {
      const auto current = this->snapshot();
      if (current != nullptr && condition(*current)) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return false;
  }
  [[nodiscard]] bool wait_for_route(const std::string& prefix) {
    return this->wait_for_snapshot([&](const routing_snapshot& current) {
      return current.routes->find("a.example", prefix + "1") != nullptr;
    });
  }

  platform_store store{2};
  std::optional<threaded_http_server> server;
  node_settings settings;
  std::optional<platform::platform_deployment> adapter;
  metrics counts;
  absl::Mutex mutex;
  std::shared_ptr<const routing_snapshot> latest;
  bool version_went_back{false};
  std::size_t registered_nodes{0};
  std::atomic<int> restores_seen{0};
  std::optional<control_thread> control;
};

TEST_F(control_thread_contract, publishes_store_contents_and_registers_the_node) {
  EXPECT_TRUE(this->wait_for_route("/one/"));
  EXPECT_TRUE(
      this->wait_for_snapshot([](const routing_snapshot& current) { return current.backends.size() == 1; }));
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

TEST_F(control_thread_contract, hears_of_changes_after_the_store_came_back_from_a_copy) {
  ASSERT_TRUE(this->wait_for_route("/one/"));
  this->store.take_copy();
  for (int i = 0; i < 20; ++i) {
    this->store.put("servers", "i-1", make_server(i % 2 == 0 ? "draining" : "ready"));
  }
  this->store.put("config", "main", make_config("00000005", "/two/"));
  ASSERT_TRUE(this->wait_for_route("/two/"));
  this->store.restore_copy();
  this->store.put("config", "main", make_config("00000005", "/two/"));
  this->store.put("servers", "i-2", make_server("ready"));
  EXPECT_TRUE(this->wait_for_snapshot(
      [](const routing_snapshot& current) { return current.backends.contains(backend_id{"i-2"}); }));
  this->store.put("config", "main", make_config("00000007", "/three/"));
  EXPECT_TRUE(this->wait_for_route("/three/"));
  EXPECT_FALSE(this->version_went_back);
}

TEST_F(control_thread_contract,
       a_copy_of_the_store_ends_no_drain_and_no_evacuation_and_brings_no_server_back) {
  this->store.put("servers", "i-gone", make_server("ready"));
  ASSERT_TRUE(this->wait_for_snapshot(
      [](const routing_snapshot& current) { return current.backends.contains(backend_id{"i-gone"}); }));
  this->store.take_copy();
  this->store.put("servers", "i-1", make_server("draining"));
  this->store.put("servers", "i-gone", make_server("draining"));
  this->store.put("evacuations", "near-a", {{"since", 1}});
  ASSERT_TRUE(this->wait_for_snapshot([](const routing_snapshot& current) {
    return current.evacuated.contains(failure_domain_id{"near-a"}) &&
           current.backends.at(backend_id{"i-gone"}).mode == backend_mode::draining;
  }));
  this->store.erase("servers", "i-gone");
  ASSERT_TRUE(this->wait_for_snapshot(
      [](const routing_snapshot& current) { return !current.backends.contains(backend_id{"i-gone"}); }));
  this->store.restore_copy();
  this->store.put("servers", "i-2", make_server("ready"));
  ASSERT_TRUE(this->wait_for_snapshot(
      [](const routing_snapshot& current) { return current.backends.contains(backend_id{"i-2"}); }));
  const auto current = this->snapshot();
  EXPECT_TRUE(current->evacuated.contains(failure_domain_id{"near-a"}));
  EXPECT_EQ(current->backends.at(backend_id{"i-1"}).mode, backend_mode::draining);
  EXPECT_FALSE(current->backends.contains(backend_id{"i-gone"}));
  // What is written again is applied at once; what is not ends after a while.
  auto again = make_server("ready");
  again["sequence"] = 2;
  this->store.put("servers", "i-1", again);
  EXPECT_TRUE(this->wait_for_snapshot([](const routing_snapshot& newer) {
    return newer.backends.at(backend_id{"i-1"}).mode == backend_mode::ready;
  }));
  EXPECT_TRUE(this->wait_for_snapshot([](const routing_snapshot& newer) { return newer.evacuated.empty(); }));
}

TEST_F(control_thread_contract, hears_of_all_kinds_after_a_copy_whose_revisions_have_been_given_out_again) {
  // A watch waits longer than this test.
  this->control.reset();
  this->settings.store_history = duration{600'000};
  this->start_control_thread();
  ASSERT_TRUE(this->wait_for_route("/one/"));
  this->store.take_copy();
  for (int i = 0; i < 5; ++i) {
    this->store.put("other", "o", {{"i", i}});
  }
  this->store.put("evacuations", "near-b", {{"since", 1}});
  ASSERT_TRUE(this->wait_for_snapshot([](const routing_snapshot& current) {
    return current.evacuated.contains(failure_domain_id{"near-b"});
  }));
  this->store.set_faults({.close_connections = true});
  this->store.restore_copy();
  this->store.put("evacuations", "near-a", {{"since", 1}});
  for (int i = 0; i < 20; ++i) {
    this->store.put("other", "o", {{"i", i}});
  }
  this->store.set_faults({});
  EXPECT_TRUE(this->wait_for_snapshot([](const routing_snapshot& current) {
    return current.evacuated.contains(failure_domain_id{"near-a"});
  }));
}

TEST_F(control_thread_contract, a_copy_does_not_bring_back_a_server_that_was_just_removed) {
  this->store.put("servers", "i-gone", make_server("ready"));
  ASSERT_TRUE(this->wait_for_snapshot(
      [](const routing_snapshot& current) { return current.backends.contains(backend_id{"i-gone"}); }));
  this->store.take_copy();
  const auto before = this->store.calls_for("servers");
  this->store.erase("servers", "i-gone");
  // Heard of, as the watch is renewed; the server is in use for a grace period.
  while (this->store.calls_for("servers") == before) {
    std::this_thread::sleep_for(std::chrono::milliseconds{1});
  }
  this->store.restore_copy();
  EXPECT_TRUE(this->wait_for_snapshot(
      [](const routing_snapshot& current) { return !current.backends.contains(backend_id{"i-gone"}); }));
}

TEST_F(control_thread_contract, writes_its_entry_again_that_a_copy_of_the_store_lacks) {
  this->store.take_copy();
  ASSERT_TRUE(this->wait_for_route("/one/"));
  const auto wait_for_entry = [this] {
    for (int i = 0; i < 3000 && !this->store.contains("zinnia-nodes", "n1"); ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return this->store.contains("zinnia-nodes", "n1");
  };
  ASSERT_TRUE(wait_for_entry());
  this->store.restore_copy();
  EXPECT_TRUE(wait_for_entry());
}

TEST_F(control_thread_contract, tells_the_traffic_thread_once_of_each_restore) {
  ASSERT_TRUE(this->wait_for_route("/one/"));
  for (int restores = 1; restores <= 2; ++restores) {
    EXPECT_EQ(this->restores_seen, restores - 1);
    this->store.take_copy();
    this->store.restore_copy();
    for (int i = 0; i < 1500 && this->restores_seen < restores; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    this->store.put("servers", "i-" + std::to_string(restores + 1), make_server("ready"));
    EXPECT_TRUE(this->wait_for_snapshot([restores](const routing_snapshot& current) {
      return current.backends.contains(backend_id{"i-" + std::to_string(restores + 1)});
    }));
    EXPECT_EQ(this->restores_seen, restores);
  }
}

TEST_F(control_thread_contract, hears_of_a_drain_whose_revision_was_given_out_before_the_restore) {
  // Longer than this test waits.
  this->settings.store_history = duration{600'000};
  this->control.reset();
  this->start_control_thread();
  ASSERT_TRUE(this->wait_for_route("/one/"));
  this->store.take_copy();
  for (const char* id : {"i-2", "i-3", "i-4"}) {
    this->store.put("servers", id, make_server("ready"));
    ASSERT_TRUE(this->wait_for_snapshot(
        [id](const routing_snapshot& current) { return current.backends.contains(backend_id{id}); }));
  }
  // The node reaches the store again only when all revisions that it knows have been given out anew.
  this->store.set_faults({.error_status = 503});
  while (this->counts.value(counter::store_failures) == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  this->store.restore_copy();
  this->store.put("servers", "i-1", make_server("draining"));
  for (int i = 0; i < 20; ++i) {
    this->store.put("others", "x", {{"number", i}});
  }
  this->store.set_faults({});
  EXPECT_TRUE(this->wait_for_snapshot([](const routing_snapshot& current) {
    return current.backends.at(backend_id{"i-1"}).mode == backend_mode::draining;
  }));
}

TEST_F(control_thread_contract, writes_the_settings_tree_again_that_a_copy_of_the_store_lacks) {
  ASSERT_TRUE(this->wait_for_route("/one/"));
  this->store.take_copy();
  settings_document document;
  document.tree_text = "settings: {homes_per_object: 5}\nplaces: {near: {domains: {near-a: {}}}}\n";
  this->store.put("zinnia-settings", "main", nlohmann::json::parse(encode(document)));
  const auto has_tree = [](const routing_snapshot& current) {
    return current.tree != nullptr &&
           current.tree->effective(service_id{"desk"}).values.homes_per_object == 5;
  };
  ASSERT_TRUE(this->wait_for_snapshot(has_tree));
  this->store.restore_copy();
  for (int i = 0; i < 2000 && !this->store.contains("zinnia-settings", "main"); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  EXPECT_TRUE(this->store.contains("zinnia-settings", "main"));
  EXPECT_TRUE(has_tree(*this->snapshot()));
}

TEST_F(control_thread_contract, applies_configuration_changes_drains_and_evacuations) {
  ASSERT_TRUE(this->wait_for_route("/one/"));
  this->store.put("config", "main", make_config("00000005", "/two/"));
  EXPECT_TRUE(this->wait_for_route("/two/"));
  this->store.put("servers", "i-1", make_server("draining"));
  EXPECT_TRUE(this->wait_for_snapshot([](const routing_snapshot& current) {
    return current.backends.at(backend_id{"i-1"}).mode == backend_mode::draining;
  }));
  this->store.put("evacuations", "near-a", nlohmann::json::object());
  EXPECT_TRUE(
      this->wait_for_snapshot([](const routing_snapshot& current) { return current.evacuated.size() == 1; }));
  this->store.erase("evacuations", "near-a");
  EXPECT_TRUE(
      this->wait_for_snapshot([](const routing_snapshot& current) { return current.evacuated.empty(); }));
}

TEST_F(control_thread_contract, an_unreadable_entry_does_not_affect_other_entries) {
  ASSERT_TRUE(this->wait_for_route("/one/"));
  this->store.put_raw("servers", "i-0", "\"\xff\xfe\"");
  this->store.put("servers", "i-2", nlohmann::json{{"service", 7}});
  this->store.put("servers", "i-3", make_server("ready"));
  EXPECT_TRUE(this->wait_for_snapshot([](const routing_snapshot& current) {
    return current.backends.size() == 2 && current.backends.contains(backend_id{"i-3"});
  }));
}

TEST_F(control_thread_contract, a_server_whose_entry_becomes_unreadable_stays_as_it_was) {
  this->store.put("servers", "i-last", make_server("ready"));
  ASSERT_TRUE(this->wait_for_snapshot(
      [](const routing_snapshot& current) { return current.backends.contains(backend_id{"i-last"}); }));
  this->store.put("servers", "i-1", nlohmann::json{{"service", 7}});
  // Removals take effect in order, after a grace period.
  this->store.erase("servers", "i-last");
  ASSERT_TRUE(this->wait_for_snapshot(
      [](const routing_snapshot& current) { return !current.backends.contains(backend_id{"i-last"}); }));
  EXPECT_TRUE(this->snapshot()->backends.contains(backend_id{"i-1"}));
}

struct outage_case {
  const char* name;
  store_faults faults;
};

TEST_F(control_thread_contract, keeps_the_last_state_during_outages_and_catches_up_afterwards) {
  ASSERT_TRUE(this->wait_for_route("/one/"));
  const std::vector<outage_case> test_cases{{"busy", {.error_status = 503}},
                                            {"too many calls", {.error_status = 429}},
                                            {"reset", {.close_connections = true}},
                                            {"silent", {.unresponsive_ms = 700}}};
  int version = 0x10;
  for (const auto& test_case : test_cases) {
    this->store.set_faults(test_case.faults);
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    EXPECT_NE(this->snapshot(), nullptr) << test_case.name;
    const auto prefix = "/v" + std::to_string(++version) + "/";
    std::ostringstream hex;
    hex << std::hex << version;
    this->store.put("config", "main", make_config(hex.str(), prefix));
    this->store.set_faults({});
    EXPECT_TRUE(this->wait_for_route(prefix)) << test_case.name;
  }
  EXPECT_FALSE(this->version_went_back);
}

/// While the store is unreachable, only the configuration watch calls it. When it responds again, all kinds
/// are read at once. Otherwise a kind would keep outdated state until its own retry pause ends.
TEST_F(control_thread_contract, one_watch_probes_an_unreachable_store_and_recovery_refreshes_all_kinds) {
  ASSERT_TRUE(this->wait_for_route("/one/"));
  this->store.set_faults({.error_status = 503});
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
  EXPECT_TRUE(this->wait_for_snapshot([](const routing_snapshot& current) {
    return current.evacuated.size() == 1 &&
           current.backends.at(backend_id{"i-1"}).mode == backend_mode::draining;
  }));
}

TEST_F(control_thread_contract, recovers_changes_lost_with_the_store_history) {
  ASSERT_TRUE(this->wait_for_route("/one/"));
  this->store.set_faults({.suppress_watch_events = true});
  this->store.put("evacuations", "near-a", nlohmann::json::object());
  this->store.put("config", "main", make_config("00000020", "/three/"));
  this->store.discard_history();
  this->store.set_faults({});
  EXPECT_TRUE(this->wait_for_route("/three/"));
  EXPECT_TRUE(
      this->wait_for_snapshot([](const routing_snapshot& current) { return current.evacuated.size() == 1; }));
}

TEST_F(control_thread_contract, restarts_a_watch_that_misses_changes) {
  ASSERT_TRUE(this->wait_for_route("/one/"));
  // The change happens while the store sends nothing to watches, without an error or a lost history.
  this->store.set_faults({.suppress_watch_events = true});
  this->store.put("evacuations", "near-a", nlohmann::json::object());
  EXPECT_TRUE(this->wait_for_snapshot([this](const routing_snapshot& current) {
    this->store.set_faults({.suppress_watch_events = this->counts.value(counter::store_calls) < 18});
    return current.evacuated.size() == 1;
  }));
}

TEST_F(control_thread_contract, repeats_the_removal_of_its_entry_until_it_succeeds) {
  const auto wait_until = [](const std::function<bool()>& condition) {
    for (int i = 0; i < 1000 && !condition(); ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return condition();
  };
  ASSERT_TRUE(wait_until([this] { return this->store.contains("zinnia-nodes", "n1"); }));
  // A node that has heard of a later entry has heard of its own.
  member other;
  other.id = node_id{"n2"};
  other.peer_address = {"127.0.0.1", 4};
  this->store.put("zinnia-nodes", "n2", nlohmann::json::parse(encode_member(other)));
  ASSERT_TRUE(wait_until([this] {
    const absl::MutexLock lock{&this->mutex};
    return this->registered_nodes == 2;
  }));
  this->store.set_faults({.error_status = 503});
  const auto before = this->store.calls_for("zinnia-nodes");
  this->control->begin_leaving();
  EXPECT_TRUE(wait_until([&] { return this->store.calls_for("zinnia-nodes") >= before + 2; }));
  this->store.set_faults({});
  EXPECT_TRUE(wait_until([this] { return !this->store.contains("zinnia-nodes", "n1"); }));
}

TEST_F(control_thread_contract, applies_the_settings_tree_from_the_store) {
  ASSERT_TRUE(this->wait_for_route("/one/"));
  settings_document document;
  document.tree_text = "settings: {homes_per_object: 3}\nplaces: {near: {domains: {near-a: {}}}}\n";
  document.shifts = {{"d", shift_kind::drain_domain, "near-a", {}, {}, 100, 0}};
  this->store.put("zinnia-settings", "main", nlohmann::json::parse(encode(document)));
  EXPECT_TRUE(this->wait_for_snapshot([](const routing_snapshot& current) {
    return current.tree != nullptr &&
           current.tree->effective(service_id{"desk"}).values.homes_per_object == 3 &&
           current.shifts.closed_backends.contains(backend_id{"i-1"});
  }));
  document.tree_text = "settings: {homes_per_object: 300}\n";
  this->store.put("zinnia-settings", "main", nlohmann::json::parse(encode(document)));
  std::this_thread::sleep_for(std::chrono::milliseconds{200});
  EXPECT_EQ(this->snapshot()->tree->effective(service_id{"desk"}).values.homes_per_object, 3)
      << "an invalid tree does not replace the current one";
}

}  // namespace
