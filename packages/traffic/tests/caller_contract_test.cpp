// The contract with callers: one real node over HTTP, with a store and a backend server in this process.
#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "standins/fake_store.hpp"
#include "standins/http_server.hpp"
#include "zinnia/store/http_call.hpp"
#include "zinnia/traffic/traffic_node.hpp"

namespace zinnia {
namespace {

/// One node that holds everything of one region, driven without a control thread.
class single_node {
 public:
  explicit single_node(frontend_limits limits = {}, std::int64_t queue_limit = 8)
      : backend{0, [this](const standins::server_request& request) { return this->serve(request); }},
        traffic{options_of(limits), this->store, this->clock, this->counts},
        frontend{{"127.0.0.1", 0}, limits, this->traffic.make_handlers(), this->counts} {
    const std::string tree =
        "settings: {default_deadline_ms: 4000, longest_deadline_ms: 5000, queue_limit: " +
        std::to_string(queue_limit) +
        ", lookup_lifetime_ms: 1234}\nkey_buckets: 1\n"
        "places: {klang: {domains: {klang-a: {clients: [10.1.0.0/16]}}}}\n"
        "services: {crewdesk: {regions: {klang: {domains: {klang-a: {upstreams: ['127.0.0.1:" +
        std::to_string(this->backend.port()) + "']}}}}}}\n";
    auto view = std::make_shared<traffic_view>();
    view->settings =
        std::make_shared<const settings_tree>(settings_tree::parse({"e", "t", tree, {}}, "t").value());
    holdings_table table;
    auto& entry = table.nodes[node_id{"n1"}];
    entry.domain = failure_domain_id{"klang-a"};
    entry.caller_address = this->address();
    table.assign(bucket_holding(0), node_id{"n1"}, false);
    view->tables[region_id{"klang"}] = std::make_shared<const holdings_table>(table);
    view->nodes[node_id{"n1"}] = {entry, region_id{"klang"}, {}, {}, false};
    held_upstream held;
    held.id = view->settings->upstreams().front().id;
    held.service = service_id{"crewdesk"};
    held.slots = 3;
    held.held_since = epoch{1};
    view->upstreams.push_back(held);
    view->buckets.push_back({0, epoch{1}, 0});
    view->valid_until = end_of_time;
    this->traffic.apply(view);
    this->wait_for_key_home();
  }

  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(this->frontend.port()); }

  [[nodiscard]] http_answer call(const std::string& method, const std::string& path,
                                 const std::vector<std::string>& headers = {}, const std::string& body = "") {
    http_call call;
    call.method = method;
    call.url = "http://" + this->address() + path;
    call.headers = headers;
    call.body = body;
    call.limit = duration{15'000};
    return perform(call);
  }

  [[nodiscard]] int runs() {
    const absl::MutexLock lock{&this->mutex};
    return this->run_count;
  }
  [[nodiscard]] int cancelled() {
    const absl::MutexLock lock{&this->mutex};
    return this->cancel_count;
  }

  standins::fake_store store;
  boot_clock clock;
  metrics counts;

 private:
  static traffic_options options_of(const frontend_limits& limits) {
    traffic_options options;
    options.identity = {
        node_id{"n1"}, region_id{"klang"}, failure_domain_id{"klang-a"}, incarnation_id{"i"}, "",
        "127.0.0.1:1"};
    options.limits = limits;
    return options;
  }

  void wait_for_key_home() {
    for (int i = 0; i < 500; ++i) {
      if (this->call("POST", "/v1/services/crewdesk/warm", {"Idempotency-Key: warm"}, "x").status == 200) {
        return;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
  }

  standins::server_answer serve(const standins::server_request& request) {
    {
      const absl::MutexLock lock{&this->mutex};
      ++this->run_count;
    }
    if (request.path.starts_with("/slow")) {
      for (int i = 0; i < 100; ++i) {
        if (standins::peer_has_closed(request.socket)) {
          const absl::MutexLock lock{&this->mutex};
          ++this->cancel_count;
          return {200, {}, {}, true};
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
      }
    }
    if (request.path.starts_with("/abort")) {
      return {200, {}, {}, true};
    }
    if (request.path.starts_with("/large")) {
      return {200, {}, std::string(4 << 20, request.path.back()), false};
    }
    return {200,
            {{"Content-Type", "text/plain"}},
            request.method + ' ' + request.path + ' ' + request.body,
            false};
  }

  absl::Mutex mutex;
  int run_count{0};
  int cancel_count{0};
  standins::http_server backend;
  traffic_node traffic;
  http_frontend frontend;
};

/// Sends raw bytes and returns what comes back until the node closes or the time is over.
[[nodiscard]] std::string send_raw(const std::string& address, const std::string& bytes, bool half_close) {
  auto socket = frame_socket::connect(*parse_address(address), "", duration{1000});
  ::send(socket->descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (half_close) {
    ::shutdown(socket->descriptor(), SHUT_WR);
  }
  std::string received;
  char chunk[4096];
  while (socket->wait_readable(duration{3000})) {
    const auto got = ::recv(socket->descriptor(), chunk, sizeof chunk, 0);
    if (got <= 0) {
      break;
    }
    received.append(chunk, static_cast<std::size_t>(got));
  }
  return received;
}

TEST(caller, look_up_gives_entries_a_lifetime_and_a_key) {
  single_node node;
  const auto answer = node.call("GET", "/v1/entries?service=crewdesk&client=10.1.2.3");
  ASSERT_EQ(answer.status, 200);
  const auto body = nlohmann::json::parse(answer.body);
  EXPECT_EQ(body["entries"][0]["address"], node.address());
  EXPECT_EQ(body["lifetime_ms"], 1234);
  EXPECT_EQ(parse_minted_key(idempotency_key{body["idempotency_key"].get<std::string>()})->region,
            region_id{"klang"});
  EXPECT_EQ(node.call("GET", "/v1/entries?service=nope").status, 404);
  EXPECT_EQ(node.call("GET", "/v1/entries").status, 400);
}

TEST(caller, request_passes_whole_and_its_fate_is_told) {
  single_node node;
  const auto answer = node.call("POST", "/v1/services/crewdesk/crews/7?day=3", {}, "body");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "POST /crews/7 body");
  EXPECT_EQ(answer.headers.at("x-verdict"), "ran");
  const auto fate =
      nlohmann::json::parse(node.call("GET", "/v1/fates/" + answer.headers.at("x-request-id")).body);
  EXPECT_EQ(fate["verdict"], "ran");
  EXPECT_EQ(fate["attempts"].size(), 1);
}

TEST(caller, large_answers_of_many_callers_never_mix) {
  single_node node;
  std::vector<std::thread> callers;
  std::atomic<int> wrong{0};
  for (char letter = 'a'; letter < 'g'; ++letter) {
    callers.emplace_back([&node, &wrong, letter] {
      const auto answer = node.call("GET", std::string{"/v1/services/crewdesk/large/"} + letter);
      wrong += answer.status == 200 && answer.body == std::string(4 << 20, letter) ? 0 : 1;
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(wrong, 0);
}

TEST(caller, repeats_of_a_key_while_it_runs_and_after_run_once) {
  single_node node;
  const auto before = node.runs();
  std::vector<std::thread> callers;
  std::atomic<int> same{0};
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&node, &same] {
      const auto answer = node.call("POST", "/v1/services/crewdesk/slow", {"Idempotency-Key: k"}, "b");
      same += answer.body == "POST /slow b" ? 1 : 0;
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(node.call("POST", "/v1/services/crewdesk/slow", {"Idempotency-Key: k"}, "b").body,
            "POST /slow b");
  EXPECT_EQ(same, 4);
  EXPECT_EQ(node.runs() - before, 1);
  const auto reused = node.call("POST", "/v1/services/crewdesk/slow", {"Idempotency-Key: k"}, "other");
  EXPECT_EQ(reused.status, 422);
  EXPECT_EQ(reused.headers.at("x-reason"), "key-reused");
}

TEST(caller, uncertain_key_is_not_run_again_until_an_operator_resolves_it) {
  single_node node;
  const auto first = node.call("POST", "/v1/services/crewdesk/abort", {"Idempotency-Key: u"}, "b");
  EXPECT_EQ(first.headers.at("x-verdict"), "may-have-run");
  const auto before = node.runs();
  const auto repeat = node.call("POST", "/v1/services/crewdesk/abort", {"Idempotency-Key: u"}, "b");
  EXPECT_EQ(repeat.status, 409);
  EXPECT_EQ(repeat.headers.at("x-reason"), "key-uncertain");
  EXPECT_EQ(node.runs(), before);
  ASSERT_TRUE(
      node.store.put(resolution_key(service_id{"crewdesk"}, "u"), R"({"outcome":"ran"})", object_version{0})
          .ok());
  const auto resolved = node.call("POST", "/v1/services/crewdesk/abort", {"Idempotency-Key: u"}, "b");
  EXPECT_EQ(resolved.headers.at("x-verdict"), "ran");
  EXPECT_EQ(resolved.headers.at("x-reason"), "answer-not-kept");
  EXPECT_EQ(node.runs(), before);
}

TEST(caller, store_outage_refuses_a_booking_and_serves_a_look_up_of_crews) {
  single_node node;
  node.store.set_faults({true, {0}, 0, 0});
  const auto before = node.runs();
  const auto booking =
      node.call("POST", "/v1/services/crewdesk/b", {"Idempotency-Key: o", "X-Deadline-Ms: 900"}, "b");
  EXPECT_EQ(booking.headers.at("x-verdict"), "did-not-run");
  EXPECT_EQ(booking.headers.at("x-reason"), "journal-unavailable");
  EXPECT_TRUE(booking.headers.contains("retry-after-ms"));
  EXPECT_EQ(node.runs(), before);
  EXPECT_EQ(node.call("GET", "/v1/services/crewdesk/crews").status, 200);
}

TEST(caller, lost_answer_of_the_journal_still_runs_once) {
  single_node node;
  const auto before = node.runs();
  node.store.set_faults({false, {0}, 1, 0});
  EXPECT_EQ(node.call("POST", "/v1/services/crewdesk/b", {"Idempotency-Key: l"}, "b").status, 200);
  EXPECT_EQ(node.runs() - before, 1);
}

TEST(caller, closing_the_connection_cancels_at_the_backend_server) {
  single_node node;
  {
    auto socket = frame_socket::connect(*parse_address(node.address()), "", duration{1000});
    const std::string request = "GET /v1/services/crewdesk/slow HTTP/1.1\r\nHost: x\r\n\r\n";
    ::send(socket->descriptor(), request.data(), request.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
  }
  for (int i = 0; i < 300 && node.cancelled() == 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  EXPECT_EQ(node.cancelled(), 1);
}

TEST(caller, full_queue_refuses_early_and_says_when_to_come_back) {
  single_node node{{}, 0};
  std::vector<std::thread> callers;
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&] {
      const auto answer = node.call("POST", "/v1/services/crewdesk/slow", {}, "b");
      const bool polite = answer.status == 503 && answer.headers.at("x-verdict") == "did-not-run" &&
                          answer.headers.contains("retry-after-ms");
      served += answer.status == 200 ? 1 : 0;
      refused += polite ? 1 : 0;
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(served, 3);
  EXPECT_EQ(refused, 3);
}

struct bad_request_case {
  const char* name;
  const char* path;
  std::vector<std::string> headers;
  long status;
  const char* reason;
};

TEST(caller, bad_requests_are_refused_with_reason_and_range) {
  single_node node;
  const std::vector<bad_request_case> table{
      {"unknown service", "/v1/services/nope/x", {}, 404, "unknown-service"},
      {"deadline not a number", "/v1/services/crewdesk/x", {"X-Deadline-Ms: soon"}, 400, "bad-request"},
      {"deadline too long", "/v1/services/crewdesk/x", {"X-Deadline-Ms: 5001"}, 400, "bad-request"},
      {"deadline zero", "/v1/services/crewdesk/x", {"X-Deadline-Ms: 0"}, 400, "bad-request"},
      {"key with odd characters", "/v1/services/crewdesk/x", {"Idempotency-Key: a/b"}, 400, "bad-request"},
      {"key too long",
       "/v1/services/crewdesk/x",
       {"Idempotency-Key: " + std::string(129, 'k')},
       400,
       "bad-request"},
  };
  const auto before = node.runs();
  for (const auto& row : table) {
    const auto answer = node.call("POST", row.path, row.headers, "b");
    EXPECT_EQ(answer.status, row.status) << row.name;
    EXPECT_EQ(answer.headers.at("x-reason"), row.reason) << row.name;
    EXPECT_TRUE(answer.headers.contains("x-request-id")) << row.name;
  }
  EXPECT_EQ(node.runs(), before);
  EXPECT_EQ(node.counts.refusals_for(reason::bad_request), 5U);
}

TEST(caller, hostile_connections_get_an_error_and_a_counter_and_hurt_nobody) {
  frontend_limits limits;
  limits.idle_seconds = 1;
  limits.most_body_bytes = 1000;
  limits.most_header_bytes = 4096;
  single_node node{limits};
  std::thread other{[&node] { EXPECT_EQ(node.call("GET", "/v1/services/crewdesk/slow").status, 200); }};
  const auto too_large = node.call("POST", "/v1/services/crewdesk/x", {}, std::string(1001, 'x'));
  EXPECT_EQ(too_large.status, 413);
  EXPECT_EQ(too_large.headers.at("x-reason"), "body-too-large");
  const auto long_head = send_raw(
      node.address(), "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(9000, 'h') + "\r\n\r\n", false);
  EXPECT_NE(long_head.find("431"), std::string::npos) << long_head;
  static_cast<void>(send_raw(node.address(), "\x01\x02garbage\r\n\r\n", false));
  static_cast<void>(
      send_raw(node.address(),
               "POST /v1/services/crewdesk/x HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf", true));
  const auto slow =
      send_raw(node.address(),
               "POST /v1/services/crewdesk/x HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nslow", false);
  EXPECT_EQ(slow.find("200 OK"), std::string::npos);
  other.join();
  EXPECT_EQ(node.call("GET", "/v1/services/crewdesk/after").status, 200);
  EXPECT_EQ(node.counts.refusals_for(reason::body_too_large), 1U);
  EXPECT_GE(node.counts.value(counter::http_protocol_errors), 1U);
  EXPECT_GE(node.counts.value(counter::caller_timeouts) + node.counts.value(counter::caller_closed), 2U);
}

TEST(caller, metrics_name_every_reason) {
  single_node node;
  const auto text = node.call("GET", "/metrics").body;
  for (std::size_t i = 1; i < reason_count; ++i) {
    const auto word = std::string{to_word(static_cast<reason>(i))};
    EXPECT_NE(text.find("zinnia_refusals_total{reason=\"" + word + "\"}"), std::string::npos) << word;
    EXPECT_NE(text.find("zinnia_retries_total{reason=\"" + word + "\"}"), std::string::npos) << word;
  }
  EXPECT_NE(text.find("zinnia_request_ms_bucket"), std::string::npos);
}

}  // namespace
}  // namespace zinnia
