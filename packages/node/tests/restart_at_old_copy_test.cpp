// Nodes that start, or reach the store again, while it stands at an old copy and their peers know better.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <memory>

#include "control_node.hpp"
#include "standins/platform_store.hpp"
#include "store_contents.hpp"
#include "zinnia/settings/settings_document.hpp"

using namespace zinnia;
using standins::platform_store;
using standins::threaded_http_server;

namespace {

const failure_domain_id near_a{"near-a"};

/// What was written after the copy: configuration 5, a drain, an evacuation; one server has left.
class restart_at_old_copy : public testing::Test {
 protected:
  void SetUp() override {
    this->store.put("config", "main", make_config("00000001", "/one/"));
    for (const auto* const server : {"i-1", "i-2", "i-gone"}) {
      this->store.put("servers", server, make_server("ready"));
    }
    this->server.emplace(0, [this](const auto& request) { return this->store.handle(request); });
    for (const auto* const name : {"n1", "n2"}) {
      this->peers.push_back(std::make_unique<control_node>(name, large_capacity, this->server->port()));
    }
    ASSERT_TRUE(this->wait_for_peers("/one/"));
  }
  void TearDown() override {
    // The nodes' servers call each other's control threads.
    for (auto& peer : this->peers) {
      peer->stop();
    }
  }
  [[nodiscard]] bool wait_for_peers(const std::string& prefix) {
    return wait_until([&] {
      return std::all_of(this->peers.begin(), this->peers.end(),
                         [&](const auto& peer) { return peer->knows_route(prefix); });
    });
  }
  /// Makes the later changes, waits until both peers have them, and returns the store to the copy.
  [[nodiscard]] bool lose_changes() {
    this->store.take_copy();
    this->store.put("servers", "i-1", make_server("draining"));
    this->store.erase("servers", "i-gone");
    this->store.put("evacuations", "near-a", {{"since", 1}});
    this->store.put("config", "main", make_config("00000005", "/two/"));
    const auto has_all = [](const routing_snapshot& current) {
      return current.evacuated.contains(near_a) && !current.backends.contains(backend_id{"i-gone"}) &&
             current.backends.at(backend_id{"i-1"}).mode == backend_mode::draining;
    };
    const bool known = this->wait_for_peers("/two/") && wait_until([&] {
                         return std::all_of(this->peers.begin(), this->peers.end(), [&](const auto& peer) {
                           return has_all(*peer->snapshots().back());
                         });
                       });
    this->store.restore_copy();
    return known;
  }

  platform_store store{2};
  std::optional<threaded_http_server> server;
  std::vector<std::unique_ptr<control_node>> peers;
};

TEST_F(restart_at_old_copy, a_starting_node_never_routes_by_an_older_configuration_than_its_peers) {
  ASSERT_TRUE(this->lose_changes());
  control_node started{"n3", large_capacity, this->server->port()};
  EXPECT_TRUE(wait_until([&] { return started.knows_route("/two/"); }));
  for (const auto& snapshot : started.snapshots()) {
    EXPECT_EQ(snapshot->version.count(), 5U);
  }
  started.stop();
}

TEST_F(restart_at_old_copy,
       a_starting_node_sends_nothing_to_servers_and_domains_that_its_peers_know_to_leave) {
  ASSERT_TRUE(this->lose_changes());
  control_node started{"n3", large_capacity, this->server->port()};
  ASSERT_TRUE(wait_until([&] { return !started.snapshots().empty(); }));
  for (const auto& snapshot : started.snapshots()) {
    EXPECT_TRUE(snapshot->evacuated.contains(near_a));
    EXPECT_FALSE(snapshot->backends.contains(backend_id{"i-gone"}));
    const auto leaving = snapshot->backends.find(backend_id{"i-1"});
    EXPECT_TRUE(leaving == snapshot->backends.end() || leaving->second.mode == backend_mode::draining);
    EXPECT_TRUE(snapshot->backends.contains(backend_id{"i-2"}));
  }
  started.stop();
}

TEST_F(restart_at_old_copy, a_node_that_missed_a_configuration_before_the_copy_hears_of_it_from_its_peers) {
  bool is_cut = false;
  absl::Mutex cut_mutex;
  threaded_http_server flaky{0, [&](const auto& request) -> standins::server_response {
                               {
                                 const absl::MutexLock lock{&cut_mutex};
                                 if (is_cut) {
                                   return {503, {}, "", false};
                                 }
                               }
                               return this->store.handle(request);
                             }};
  control_node away{"n4", large_capacity, flaky.port()};
  ASSERT_TRUE(wait_until([&] { return away.knows_route("/one/"); }));
  {
    const absl::MutexLock lock{&cut_mutex};
    is_cut = true;
  }
  ASSERT_TRUE(this->lose_changes());
  {
    const absl::MutexLock lock{&cut_mutex};
    is_cut = false;
  }
  EXPECT_TRUE(wait_until([&] { return away.knows_route("/two/"); }));
  EXPECT_TRUE(wait_until([&] {
    const auto latest = away.snapshots().back();
    return latest->evacuated.contains(near_a) && !latest->backends.contains(backend_id{"i-gone"}) &&
           latest->backends.at(backend_id{"i-1"}).mode == backend_mode::draining;
  }));
  away.stop();
}

TEST_F(restart_at_old_copy, a_node_that_notices_the_restore_late_takes_what_was_written_since) {
  const auto put_tree = [this](const std::string& homes) {
    settings_document document;
    document.tree_text =
        "settings: {homes_per_object: " + homes + "}\nplaces: {near: {domains: {near-a: {}}}}\n";
    this->store.put("zinnia-settings", "main", nlohmann::json::parse(encode(document)));
  };
  const auto has_homes = [](control_node& node, int homes) {
    const auto published = node.snapshots();
    return !published.empty() && published.back()->tree != nullptr &&
           published.back()->tree->effective(service_id{"desk"}).values.homes_per_object == homes;
  };
  put_tree("3");
  std::atomic<bool> is_cut{false};
  threaded_http_server flaky{
      0, [&](const auto& request) -> standins::server_response {
        return is_cut ? standins::server_response{503, {}, "", false} : this->store.handle(request);
      }};
  control_node late{"n4", large_capacity, flaky.port()};
  ASSERT_TRUE(wait_until([&] { return has_homes(late, 3) && has_homes(*this->peers.front(), 3); }));
  this->store.take_copy();
  is_cut = true;
  ASSERT_TRUE(wait_until([&] { return late.store_failures() > 0; }));
  this->store.restore_copy();
  this->store.put("servers", "i-3", make_server("ready"));
  ASSERT_TRUE(wait_until([&] {
    return std::all_of(this->peers.begin(), this->peers.end(), [](const auto& peer) {
      return peer->snapshots().back()->backends.contains(backend_id{"i-3"});
    });
  }));
  put_tree("5");
  ASSERT_TRUE(wait_until([&] { return has_homes(*this->peers.front(), 5); }));
  is_cut = false;
  EXPECT_TRUE(wait_until([&] { return has_homes(late, 5); }));
  EXPECT_TRUE(has_homes(*this->peers.front(), 5));
  late.stop();
}

TEST_F(restart_at_old_copy, a_running_node_keeps_a_drain_that_its_server_writes_again_late) {
  ASSERT_TRUE(this->lose_changes());
  // The evacuation ends as nobody writes it again; by then the time to write anything again has passed.
  ASSERT_TRUE(wait_until([&] { return this->peers.front()->snapshots().back()->evacuated.empty(); }));
  for (const auto* const server : {"i-3", "i-4", "i-5"}) {
    this->store.put("servers", server, make_server("ready"));
    ASSERT_TRUE(wait_until(
        [&] { return this->peers.front()->snapshots().back()->backends.contains(backend_id{server}); }));
  }
  const auto latest = this->peers.front()->snapshots().back();
  EXPECT_EQ(latest->backends.at(backend_id{"i-1"}).mode, backend_mode::draining);
  EXPECT_EQ(latest->version.count(), 5U);
}

}  // namespace
