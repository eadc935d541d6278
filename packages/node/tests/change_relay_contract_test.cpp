// Tests of the change relay with three control threads in one failure domain: two nodes on large VMs watch
// the store, and a standby node on a small VM follows them.
#include <gtest/gtest.h>

#include <memory>
#include <sstream>

#include "control_node.hpp"
#include "standins/platform_store.hpp"
#include "store_contents.hpp"

using namespace zinnia;
using standins::platform_store;
using standins::threaded_http_server;

namespace {

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
