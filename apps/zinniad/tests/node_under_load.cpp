// Writes the settings file as the platform does, and starts the node with it.
#include "node_under_load.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "standins/raw_tcp_client.hpp"

namespace zinnia::testing_support {
namespace impl {
namespace {

constexpr std::uint16_t operator_port = 9464;
constexpr std::size_t large_response_bytes = 150'000;
constexpr std::chrono::seconds patience{20};
constexpr std::chrono::milliseconds pause_between_tries{100};
constexpr int response_timeout_ms = 5000;

/// Sends a request on a new connection and returns the status of the response; 0 without one.
[[nodiscard]] int exchange(const std::string& ip, std::uint16_t port, const std::string& head,
                           const std::string& piece, std::uint64_t pieces, const std::string& end) {
  standins::raw_tcp_client client{ip, port};
  client.send(head);
  for (std::uint64_t i = 0; !client.is_closed() && i < pieces; ++i) {
    client.send(piece);
  }
  client.send(end);
  const auto text = client.read_until("\r\n", response_timeout_ms);
  constexpr std::size_t status_position = 9;
  return text.size() > status_position ? std::atoi(text.c_str() + status_position) : 0;
}

[[nodiscard]] std::string field(const standins::server_request& request, const std::string& name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string{} : found->second;
}

}  // namespace
}  // namespace impl

node_under_load::node_under_load(const load_limits& limits_in)
    : limits{limits_in},
      store_server{std::make_unique<standins::threaded_http_server>(
          std::uint16_t{0}, [this](const auto& request) { return this->store.handle(request); })},
      backend{std::make_unique<standins::threaded_http_server>(
          std::uint16_t{0}, [this](const auto& request) { return this->respond(request); })} {
  std::string pattern = std::filesystem::temp_directory_path().string() + "/zinnia-load-XXXXXX";
  this->folder = ::mkdtemp(pattern.data());
  this->write_configuration(this->limits.max_body_bytes);
  const auto add_server = [this](const char* id, const char* service, std::uint16_t port, int slots) {
    this->store.put("servers", id,
                    {{"service", service},
                     {"address", absl::StrCat("127.0.0.1:", port)},
                     {"zone", "a"},
                     {"version", "v1"},
                     {"slots", slots},
                     {"state", "ready"},
                     {"coldRemainingMs", 0},
                     {"sequence", 1}});
  };
  add_server("b0", "desk", this->backend->port(), 3);
  add_server("b1", "desk", this->backend->port(), 3);
  if (this->limits.faulty_backend_port != 0) {
    add_server("f0", "faulty", this->limits.faulty_backend_port, 1000);
  }
  soak::node_options options;
  options.program = ZINNIAD_PROGRAM;
  options.name = "n0";
  options.ports = soak::find_free_ports(0);
  options.log_file = this->folder + "/n0.log";
  options.settings_file = this->folder + "/local.toml";
  this->process = std::make_unique<soak::node_process>(options);
  std::ofstream{options.settings_file} << this->settings_text();
  this->process->start();
  this->measured = std::make_unique<process_usage>(this->process->process_id(), this->ports().ip);
  if (this->limits.faulty_store_port == 0) {
    this->wait_until_ready();
  }
}

void node_under_load::wait_until_ready() const {
  const auto end = std::chrono::steady_clock::now() + impl::patience;
  while (std::chrono::steady_clock::now() < end &&
         impl::exchange(this->ports().ip, this->ports().readiness_port,
                        "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n", "", 0, "") != 200) {
    std::this_thread::sleep_for(impl::pause_between_tries);
  }
}

node_under_load::~node_under_load() {
  this->measured.reset();
  this->process.reset();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

std::uint16_t node_under_load::operator_port() const noexcept {
  return impl::operator_port;
}

void node_under_load::write_configuration(std::uint64_t max_body_bytes) {
  const auto rule = [](const char* name, const char* kind, const std::string& path,
                       const char* service = "desk") {
    return nlohmann::json{{"name", name},
                          {"kind", kind},
                          {"targetLatencyMs", 200},
                          {"priority", 0},
                          {"sticky", false},
                          {"match", {{"pathPrefix", path}}},
                          {"action", {{"service", service}, {"timeoutMs", 5000}, {"maxAttempts", 2}}}};
  };
  const nlohmann::json rules{rule("up", "unsafe", "/up/"), rule("get", "safe", "/get/"),
                             rule("big", "safe", "/big/"), rule("faulty", "safe", "/faulty/", "faulty")};
  const nlohmann::json stated{{"maxHeaderBytes", 16384},
                              {"maxBodyBytes", max_body_bytes},
                              {"headerTimeoutMs", 3000},
                              {"idleTimeoutMs", 15000}};
  const auto cluster = [](const char* name, int max_connections) {
    return nlohmann::json{{"name", name}, {"healthPath", "/health"}, {"maxConnections", max_connections}};
  };
  this->store.put("config", "main",
                  {{"version", absl::StrFormat("%08x", ++this->version)},
                   {"limits", stated},
                   {"listeners", nlohmann::json::array({{{"host", "h"}, {"rules", rules}}})},
                   {"clusters", nlohmann::json::array({cluster("desk", 200), cluster("faulty", 1000)})}});
}

bool node_under_load::serves_ordinary_caller() const {
  const auto end = std::chrono::steady_clock::now() + impl::patience;
  while (std::chrono::steady_clock::now() < end) {
    if (this->send_upload(300, false) == 200) {
      return true;
    }
    std::this_thread::sleep_for(impl::pause_between_tries);
  }
  return false;
}

int node_under_load::send_upload(std::uint64_t body_bytes, bool chunked) const {
  static std::atomic<int> count{0};
  constexpr std::uint64_t piece_bytes = 64 << 10;
  const auto head = absl::StrCat("POST /up/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: ordinary-", ++count,
                                 "\r\nDeadline-Ms: 5000\r\nConnection: close\r\n");
  const std::string piece(piece_bytes, 'b');
  const std::string rest(body_bytes % piece_bytes, 'e');
  const auto pieces = body_bytes / piece_bytes;
  if (!chunked) {
    return impl::exchange(this->ports().ip, this->ports().caller_port,
                          absl::StrCat(head, "Content-Length: ", body_bytes, "\r\n\r\n"), piece, pieces,
                          rest);
  }
  const auto as_chunk = [](const std::string& data) {
    return data.empty() ? std::string{} : absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n");
  };
  return impl::exchange(this->ports().ip, this->ports().caller_port,
                        head + "Transfer-Encoding: chunked\r\n\r\n", as_chunk(piece), pieces,
                        as_chunk(rest) + "0\r\n\r\n");
}

standins::server_response node_under_load::respond(const standins::server_request& request) const {
  if (request.path == "/health") {
    return {200, {{"Instance-Id", "b0"}, {"Server-Load", "0,0,3"}}, "", false};
  }
  return {200,
          {{"Request-Id", impl::field(request, "request-id")}, {"Server-Stamp", "s"}},
          request.path.starts_with("/big/") ? std::string(impl::large_response_bytes, 'r') : "ok",
          false};
}

std::string node_under_load::settings_text() const {
  const auto& ports = this->ports();
  return absl::StrFormat(
      R"(node = "n0"
ip = "%1$s"
zone = "a"
region = "r"
internalPorts = [%2$d,%3$d]
[zones]
a = "r"
[listen]
front = "%1$s:%4$d"
ready = "%1$s:%5$d"
directory = "%1$s:%6$d"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = %7$d
maxFds = %8$d
linkMbps = 1000.0
[bounds]
stableWindowMs = 3000
drainMs = 2500
graceS = 6
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 58
ttl_max_s = 5
[platform]
address = "127.0.0.1:%9$d"
historyS = 20
)",
      ports.ip, ports.peer_port, ports.peer_port + 3, ports.caller_port, ports.readiness_port,
      ports.directory_port, this->limits.memory_mb, this->limits.max_descriptors,
      this->limits.faulty_store_port == 0 ? this->store_server->port() : this->limits.faulty_store_port);
}

}  // namespace zinnia::testing_support
