// Requests of client accounts: who is refused, what servers and peers get, and where a request may go.
#include "forwarding_fixture.hpp"
#include "hop_fields.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;
using standins::raw_tcp_client;

namespace {

const std::string known_key = "X-Account-Key: secret-one\r\n";

class accounts : public forwarding_fixture {
 protected:
  accounts() {
    this->set_route(request_kind::safe);
    this->set_accounts({"secret-one"});
  }
  void set_accounts(std::vector<std::string> keys, std::set<region_id> allowed = {}) {
    account_declaration one;
    one.id = account_id{"one"};
    one.keys = std::move(keys);
    one.priority = 3;
    one.allowed_regions = std::move(allowed);
    account_declaration two;
    two.id = account_id{"two"};
    two.keys = {"secret-two"};
    this->snapshot.accounts = *account_table::make({one, two});
  }
  void set_public() {
    auto open = *this->snapshot.routes->find("h", "/x/");
    open.is_public = true;
    this->snapshot.routes = std::make_shared<const route_table>(std::vector<route>{open});
  }
  [[nodiscard]] static int status_with(node_under_test& node, const std::string& fields,
                                       const std::string& method = "GET") {
    return status_of(exchange_with(node.caller_port, make_request(method, "", fields)));
  }
  /// Sends as many requests as the server's only slot takes; a server takes one more than it has slots for.
  [[nodiscard]] std::vector<std::unique_ptr<raw_tcp_client>> fill_slot(node_under_test& node,
                                                                       backend_server& server,
                                                                       const std::string& key) {
    std::vector<std::unique_ptr<raw_tcp_client>> clients;
    for (std::size_t i = 0; i < 2; ++i) {
      clients.push_back(std::make_unique<raw_tcp_client>(node.caller_port));
      clients.back()->send(
          make_request("GET", "", "X-Account-Key: " + key + "\r\n", "filler" + std::to_string(i)));
      EXPECT_TRUE(this->wait_until([&] { return server.requests.size() == i + 1; }));
    }
    return clients;
  }
  /// Returns the value of a field in the latest request at the server, or "-" without the field.
  [[nodiscard]] std::string received(backend_server& server, const std::string& field) {
    return this->run_there([&] {
      return server.requests.empty()
                 ? "no request"
                 : std::string{find_field(server.requests.back()->head().fields, field).value_or("-")};
    });
  }
};

/// An unknown caller is served, or a caller with a key is refused.
TEST_F(accounts, a_route_needs_a_known_key_unless_it_is_public) {
  auto& server = this->add_server("s1");
  auto& a = this->add_node("a");
  this->start();
  for (const auto* const fields :
       {"", "X-Account-Key: other\r\n", "X-Account-Key: \r\n", "X-Account: one\r\n"}) {
    const auto response = exchange_with(a.caller_port, make_request("GET", "", fields));
    EXPECT_EQ(status_of(response), 401) << fields;
    EXPECT_EQ(response.find("Retry-After"), std::string::npos);
  }
  EXPECT_EQ(a.counts.value(counter::unauthorized), 4U);
  EXPECT_EQ(this->request_count(server), 0U);
  const auto unrouted = exchange_with(
      a.caller_port, "GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(status_of(unrouted), 404);
  EXPECT_EQ(status_with(a, known_key), 200);
  this->run_there([&] {
    this->set_public();
    this->apply_to_all();
  });
  EXPECT_EQ(status_with(a, ""), 200);
  EXPECT_EQ(this->received(server, "X-Account"), "-");
  EXPECT_EQ(status_with(a, known_key), 200);
  EXPECT_EQ(this->received(server, "X-Account"), "one");
}

/// A server learns a key, or takes a caller's own word for its account.
TEST_F(accounts, servers_get_the_accounts_name_and_never_the_key) {
  auto& server = this->add_server("s1");
  auto& a = this->add_node("a");
  this->start();
  EXPECT_EQ(status_with(a, known_key + "X-Account: two\r\nx-account-key: secret-two\r\n"), 200);
  EXPECT_EQ(this->received(server, "X-Account"), "one");
  EXPECT_EQ(this->received(server, "X-Account-Key"), "-");
  const auto record = this->record_of(a);
  EXPECT_NE(record.find(R"("account":"one")"), std::string::npos) << record;
  EXPECT_NE(record.find(R"("account_priority":3)"), std::string::npos) << record;
  EXPECT_EQ(record.find("secret"), std::string::npos);
  EXPECT_EQ(a.counts.render({}).find("secret"), std::string::npos);
}

/// A deployment without accounts has other bytes at its servers than before.
TEST_F(accounts, nothing_changes_without_accounts) {
  auto& server = this->add_server("s1");
  this->snapshot.accounts = nullptr;
  this->revocation_limit = duration{5000};
  auto& a = this->add_node("a");
  this->start();
  EXPECT_EQ(status_with(a, "X-Account-Key: any\r\nX-Account: mine\r\n"), 200);
  EXPECT_EQ(this->received(server, "X-Account"), "mine");
  EXPECT_EQ(this->received(server, "X-Account-Key"), "any");
  EXPECT_EQ(this->record_of(a).find("account"), std::string::npos);
}

/// A node whose configuration may be outdated serves a revoked key.
TEST_F(accounts, keys_count_only_while_the_configuration_is_confirmed) {
  this->add_server("s1");
  this->revocation_limit = duration{5000};
  auto& a = this->add_node("a");
  this->start();
  const auto confirm = [&](std::uint64_t version, duration validity) {
    this->run_there(
        [&] { a.traffic->set_confirmation(config_version{version}, this->clock.now() + validity); });
  };
  for (const auto& fields : {known_key, std::string{"X-Account-Key: other\r\n"}}) {
    const auto response = exchange_with(a.caller_port, make_request("GET", "", fields));
    EXPECT_EQ(status_of(response), 503);
    EXPECT_NE(response.find("Retry-After: 0.500\r\n"), std::string::npos) << response;
  }
  EXPECT_EQ(a.counts.refusals_for(reason::configuration_unconfirmed), 2U);
  confirm(5, duration{60'000});
  EXPECT_EQ(status_with(a, known_key), 200);
  confirm(6, duration{60'000});
  EXPECT_EQ(status_with(a, known_key), 503) << "a newer version is confirmed";
  confirm(5, duration{-1});
  EXPECT_EQ(status_with(a, known_key), 503) << "the confirmation has ended";
  this->run_there([&] {
    this->set_public();
    this->apply_to_all();
  });
  EXPECT_EQ(status_with(a, known_key), 200);
}

/// A request that waited, or is sent again, runs although its key was removed meanwhile.
TEST_F(accounts, a_key_is_checked_again_before_every_send) {
  struct row {
    const char* name;
    bool waits;
    bool is_removed;
    int expected;
  };
  this->slots = 1;
  auto& server = this->add_server("s1");
  auto& a = this->add_node("a");
  this->start();
  const std::vector<row> rows{{"removed while it waits", true, true, 401},
                              {"moved to another account while it waits", true, false, 401},
                              {"removed before the retry", false, true, 502}};
  for (const auto& row : rows) {
    this->run_there([&] {
      this->set_accounts({"secret-one", "secret-three"});
      this->apply_to_all();
      server.requests.clear();
      server.respond = [](const auto&) {};
    });
    std::vector<std::unique_ptr<raw_tcp_client>> others;
    if (row.waits) {
      others = this->fill_slot(a, server, "secret-three");
    }
    raw_tcp_client client{a.caller_port};
    client.send(make_request("GET", "", known_key));
    const auto sent_before = others.size() + (row.waits ? 0 : 1);
    ASSERT_TRUE(this->wait_until([&] {
      return a.traffic->requests_in_flight() == others.size() + 1 && server.requests.size() == sent_before;
    }));
    ASSERT_EQ(this->queued_at(a), row.waits ? 1 : 0);
    this->run_there([&] {
      this->set_accounts({"secret-three"});
      if (!row.is_removed) {
        account_declaration other;
        other.id = account_id{"other"};
        other.keys = {"secret-one"};
        this->snapshot.accounts = *account_table::make({other});
      }
      this->apply_to_all();
      if (row.waits) {
        backend_server::answer(*server.requests.front(), 200, "data");
      } else {
        server.requests.front()->abort();
      }
    });
    EXPECT_EQ(status_of(client.read_all(patience_ms)), row.expected) << row.name;
    EXPECT_EQ(this->request_count(server), sent_before) << row.name;
    this->run_there([&] {
      for (std::size_t i = 1; i < others.size(); ++i) {
        backend_server::answer(*server.requests[i], 200, "data");
      }
    });
    ASSERT_TRUE(this->wait_until([&] { return a.traffic->requests_in_flight() == 0; }));
  }
  const auto record = this->record_of(a);
  EXPECT_NE(record.find(R"("reason":"unknown-key")"), std::string::npos) << record;
  EXPECT_NE(record.find(R"("account":"one")"), std::string::npos) << record;
}

/// A peer serves a request whose key it does not know, or gets the key itself.
TEST_F(accounts, a_peer_checks_a_forwarded_request_by_the_digest) {
  auto& server = this->add_server("s1");
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->start();
  this->set_links_lost(a);
  EXPECT_EQ(status_with(a, known_key + "X-Account: two\r\n"), 200);
  EXPECT_EQ(this->received(server, "X-Account"), "one");
  EXPECT_EQ(this->received(server, "X-Account-Key"), "-");
  EXPECT_EQ(this->received(server, "Zinnia-Hop-Key-Digest"), "-");
  this->run_there([&] {
    this->set_accounts({});
    this->apply_to(b);
  });
  EXPECT_EQ(status_with(a, known_key, "POST"), 503) << "this node still knows the key";
  EXPECT_EQ(b.counts.value(counter::unauthorized), 1U);
  EXPECT_EQ(this->request_count(server), 1U);
}

/// What a peer makes of the fields that name the account, also those of builds that send none.
TEST_F(accounts, a_peer_refuses_what_does_not_name_an_account_and_its_key) {
  this->add_server("s1");
  auto& b = this->add_node("b");
  this->start();
  const auto digest = digest_of_key("secret-one");
  const std::vector<std::pair<std::optional<account_identity>, int>> rows{
      {account_identity{account_id{"one"}, digest}, 200},
      {account_identity{account_id{"two"}, digest}, 401},
      {account_identity{account_id{"one"}, key_digest{7}}, 401},
      {std::nullopt, 401}};
  for (const auto& [identity, expected] : rows) {
    forwarded_request forwarded{node_id{"x"}, config_version{5}, service_id{"desk"}, 1, {}};
    forwarded.account = identity;
    std::string fields = known_key;
    append_fields(fields, encode_hop_fields(forwarded));
    const auto response = exchange_with(b.forward_port, make_request("GET", "", fields));
    EXPECT_EQ(status_of(response), expected) << response;
    EXPECT_EQ(response.find("Zinnia-Hop-Verdict: did-not-run") != std::string::npos, expected != 200);
  }
  EXPECT_TRUE(is_refused_on_arrival({verdict::did_not_run, reason::unknown_key, 0}));
  EXPECT_TRUE(is_refused_on_arrival({verdict::did_not_run, reason::configuration_unconfirmed, 0}));
}

/// A request is handled in a region that its account or its route excludes.
TEST_F(accounts, regions_are_those_that_route_and_account_allow) {
  auto& near = this->add_server("s1");
  auto& far = this->add_server("s2");
  this->snapshot.backends.at(backend_id{"s2"}).domain = failure_domain_id{"far"};
  auto& a = this->add_node("a");
  this->start();
  const region_id r{"r"};
  const region_id other{"other"};
  struct row {
    std::set<region_id> of_route;
    std::set<region_id> of_account;
    int status;
    std::size_t near_count;
    std::size_t far_count;
  };
  for (const auto& row : std::vector<row>{{{}, {other}, 200, 0, 1},
                                          {{r, other}, {other}, 200, 0, 1},
                                          {{other}, {r, other}, 200, 0, 1},
                                          {{r}, {}, 200, 1, 0},
                                          {{r}, {other}, 503, 0, 0}}) {
    this->run_there([&] {
      this->set_route(request_kind::safe, 5000, row.of_route);
      this->set_accounts({"secret-one"}, row.of_account);
      this->apply_to_all();
      near.requests.clear();
      far.requests.clear();
    });
    EXPECT_EQ(status_with(a, known_key), row.status);
    EXPECT_EQ(this->request_count(near), row.near_count);
    EXPECT_EQ(this->request_count(far), row.far_count);
  }
}

/// An urgent route of one account passes all requests of more urgent accounts.
TEST_F(accounts, the_accounts_priority_goes_before_the_routes) {
  this->slots = 1;
  auto& server = this->add_server("s1");
  server.respond = [](const auto&) {};
  auto& a = this->add_node("a");
  this->start();
  auto clients = this->fill_slot(a, server, "secret-one");
  const auto send = [&](const std::string& key, const std::string& id) {
    clients.push_back(std::make_unique<raw_tcp_client>(a.caller_port));
    clients.back()->send(make_request("GET", "", "X-Account-Key: " + key + "\r\n", id));
    const auto count = clients.size();
    ASSERT_TRUE(this->wait_until([&] { return a.traffic->requests_in_flight() == count; }));
  };
  send("secret-one", "less urgent");
  send("secret-two", "urgent");
  ASSERT_EQ(this->queued_at(a), 2);
  this->run_there([&] { backend_server::answer(*server.requests.front(), 200, "data"); });
  ASSERT_TRUE(this->wait_until([&] { return server.requests.size() == 3; }));
  EXPECT_EQ(this->received(server, "Request-Id"), "urgent");
}

}  // namespace
