// Runs the commands against a stand-in store and nodes that answer what a test tells them to.
#include "commands.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "standins/platform_store.hpp"
#include "zinnia/membership/member_codec.hpp"

namespace zinnia {
namespace {

using standins::platform_store;
using standins::server_request;
using standins::server_response;
using standins::threaded_http_server;

constexpr const char* tree_text = "tree: test\nplaces: {klang: {domains: {klang-a: {}}}}\n";

/// Collects what is written to a stream.
class captured_stream {
 public:
  explicit captured_stream(std::ostream& stream_in)
      : stream{stream_in}, original{stream_in.rdbuf(this->text.rdbuf())} {}
  captured_stream(const captured_stream&) = delete;
  captured_stream& operator=(const captured_stream&) = delete;
  captured_stream(captured_stream&&) = delete;
  captured_stream& operator=(captured_stream&&) = delete;
  ~captured_stream() { this->stream.rdbuf(this->original); }
  [[nodiscard]] std::string str() const { return this->text.str(); }

 private:
  std::ostream& stream;
  std::ostringstream text;
  std::streambuf* original;
};

struct command_result {
  exit_code code{exit_code::ok};
  std::string output;
  std::string errors;
};

class commands : public testing::Test {
 protected:
  [[nodiscard]] command_result run(command_options options) const {
    options.store = this->store_address;
    const captured_stream output{std::cout};
    const captured_stream errors{std::cerr};
    const auto code = command_runner{std::move(options)}.run();
    return {code, output.str(), errors.str()};
  }
  [[nodiscard]] command_result run_words(std::vector<std::string> arguments) const {
    command_options options;
    options.arguments = std::move(arguments);
    return this->run(options);
  }
  void put_settings(const std::string& text) {
    this->store.put(object_kinds::settings, object_kinds::settings_name,
                    nlohmann::json::parse(encode({"e", "hana", text, {}})));
  }
  /// Registers a node whose operator interface answers every request with this status and body.
  void add_node(const std::string& name, unsigned status, const std::string& body) {
    this->nodes.push_back(
        std::make_unique<threaded_http_server>(0, [status, body](const server_request& /*request*/) {
          return server_response{status, {}, body, false};
        }));
    this->register_node(name, this->nodes.back()->port());
  }
  void register_node(const std::string& name, std::uint16_t port) {
    member node;
    node.id = node_id{name};
    node.where = {failure_domain_id{"klang-a"}, region_id{"klang"}};
    node.caller_address = "127.0.0.1:1";
    node.peer_address = {"127.0.0.1", 1};
    node.operator_address = "127.0.0.1:" + std::to_string(port);
    node.incarnation = incarnation_id{"1"};
    this->store.put(object_kinds::nodes, name, nlohmann::json::parse(encode_member(node)));
  }

  platform_store store;
  threaded_http_server server{0,
                              [this](const server_request& request) { return this->store.handle(request); }};
  std::string store_address{"127.0.0.1:" + std::to_string(this->server.port())};
  std::vector<std::unique_ptr<threaded_http_server>> nodes;
};

constexpr const char* busy_server =
    R"({"restrictions":[{"backend":"b1","service":"desk","domain":"klang-a","reason":"busy","remaining_ms":9}]})";

TEST_F(commands, servers_names_nodes_without_an_answer_and_shows_the_rest) {
  this->add_node("n1", 200, busy_server);
  this->add_node("n2", 200, "[]");
  this->add_node("n3", 404, "");
  this->register_node("n4", 1);
  const auto result = this->run_words({"servers"});
  EXPECT_EQ(result.code, exit_code::ok) << result.errors;
  EXPECT_EQ(result.output,
            "b1  desk  klang-a  busy  at 1 of 1 nodes  for 9 ms\n"
            "node n2  answer not readable: restrictions: not readable; allowed: a list\n"
            "node n3  answers with status 404\n"
            "node n4  unreachable\n");
}

TEST_F(commands, servers_asks_one_node_if_told_to) {
  this->add_node("n1", 200, busy_server);
  this->add_node("n2", 200, R"({"restrictions":[]})");
  command_options options;
  options.arguments = {"servers"};
  options.node = "n2";
  EXPECT_EQ(this->run(options).output, "no backend server is restricted at 1 nodes\n");
  options.node = "n22";
  const auto refused = this->run(options);
  EXPECT_EQ(refused.code, exit_code::bad_input);
  EXPECT_EQ(
      refused.errors,
      "zinniactl: --node: 'n22' is not allowed; allowed: the name of one of the 2 registered nodes; did "
      "you mean 'n2'?\n");
}

TEST_F(commands, servers_fails_if_no_node_answers) {
  EXPECT_EQ(this->run_words({"servers"}).code, exit_code::failed);
  this->register_node("n1", 1);
  const auto result = this->run_words({"servers"});
  EXPECT_EQ(result.code, exit_code::failed);
  EXPECT_EQ(result.output, "node n1  unreachable\n");
}

TEST_F(commands, show_without_a_store_says_so_and_no_more) {
  standins::store_faults away;
  away.close_connections = true;
  this->store.set_faults(away);
  const auto result = this->run_words({"show"});
  EXPECT_EQ(result.code, exit_code::failed);
  EXPECT_EQ(result.errors, "zinniactl: the platform's store does not answer\n");
}

/// The document may be one that a newer version has written.
TEST_F(commands, apply_and_drain_never_overwrite_settings_that_cannot_be_read) {
  for (
      const std::string text :
      {R"({"edit_id":"e","author":"hana","tree_text":7,"shifts":[]})",
       R"({"edit_id":"e","author":"hana","tree_text":"tree: t\nnewer_field: 1\n","shifts":[]})",
       R"({"edit_id":"e","author":"hana","tree_text":"","shifts":[{"id":"s","kind":"newer-kind","target":"x"}]})"}) {
    this->store.put(object_kinds::settings, object_kinds::settings_name, nlohmann::json::parse(text));
    const auto before = this->store.calls();
    const std::string file = testing::TempDir() + "commands_test_tree.yaml";
    std::ofstream{file} << tree_text;
    command_options options;
    options.arguments = {"apply"};
    options.file = file;
    const auto applied = this->run(options);
    EXPECT_EQ(applied.code, exit_code::failed) << text;
    EXPECT_NE(applied.errors.find("cannot be read"), std::string::npos) << applied.errors;
    const auto drained = this->run_words({"drain", "region", "klang"});
    EXPECT_EQ(drained.code, exit_code::failed) << text;
    EXPECT_EQ(this->store.calls(), before + 2) << "only reads";
  }
}

TEST_F(commands, a_tree_that_is_not_valid_is_replaced_if_its_version_is_named) {
  this->put_settings("tree: t\nnewer_field: 1\n");
  const std::string file = testing::TempDir() + "commands_test_valid.yaml";
  std::ofstream{file} << tree_text;
  command_options options;
  options.arguments = {"apply"};
  options.file = file;
  const auto refused = this->run(options);
  EXPECT_EQ(refused.code, exit_code::failed);
  const std::string marker = "version ";
  const auto version = refused.errors.substr(refused.errors.find(marker) + marker.size());
  options.expected_version = std::strtoll(version.c_str(), nullptr, 10);
  EXPECT_EQ(this->run(options).code, exit_code::ok) << refused.errors;
  EXPECT_EQ(this->run_words({"show"}).code, exit_code::ok);
}

TEST_F(commands, fate_and_status_survive_answers_that_cannot_be_read) {
  for (const std::string body :
       {"", "[]", "not json", "{}", "7", R"({"service":7})", R"({"shifts":7})", R"({"shifts":[7]})",
        R"({"config_version":1,"backends":1,"nodes_alive":[],"requests_under_way":0,"shifts":[{}]})"}) {
    this->add_node("n1", 200, body);
    const auto fate = this->run_words({"fate", "r1"});
    EXPECT_EQ(fate.code, exit_code::not_found) << body;
    EXPECT_NE(fate.errors.find("n1"), std::string::npos) << body << ": " << fate.errors;
    const auto status = this->run_words({"status"});
    EXPECT_EQ(status.code, exit_code::ok) << body;
    EXPECT_NE(status.output.find("n1  klang/klang-a"), std::string::npos) << body << ": " << status.output;
  }
}

/// Between the write and its reading back, another operator's edit may come into force.
TEST_F(commands, the_version_of_another_edit_is_not_reported_as_that_of_the_own_write) {
  this->put_settings(tree_text);
  const threaded_http_server racing{0, [this](const server_request& request) {
                                      auto response = this->store.handle(request);
                                      if (request.method != "GET") {
                                        this->put_settings("tree: theirs\nplaces: {a: {domains: {b: {}}}}\n");
                                      }
                                      return response;
                                    }};
  this->store_address = "127.0.0.1:" + std::to_string(racing.port());
  const std::string file = testing::TempDir() + "commands_test_mine.yaml";
  std::ofstream{file} << tree_text << "settings: {queue_limit: 9}\n";
  command_options options;
  options.arguments = {"apply"};
  options.file = file;
  const auto applied = this->run(options);
  EXPECT_EQ(applied.code, exit_code::ok) << applied.errors;
  EXPECT_EQ(applied.output.find("accepted as version"), std::string::npos) << applied.output;
  EXPECT_NE(applied.output.find("another edit has replaced it since"), std::string::npos) << applied.output;
}

}  // namespace
}  // namespace zinnia
