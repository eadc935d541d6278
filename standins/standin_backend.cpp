// Stand-in for the backend servers of one service. Each server has a limited number of slots and a queue,
// remembers the objects of recent requests, reports a cold start of 0 ms, registers in the store and can be
// drained.
//
// Usage: standin_backend --store 127.0.0.1:7080 --service crewdesk --zone klang-a --count 4 --work-ms 40
//   curl -X POST 'http://127.0.0.1:PORT/control?state=draining'   reports the server as draining
//   curl 'http://127.0.0.1:PORT/counts'                           counts of runs, repeated runs and refusals
// The end of a request's path selects its result: .../reset closes the connection after the run without a
// response, .../error responds with status 500.
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "standins/command_line.hpp"
#include "standins/threaded_http_server.hpp"
#include "zinnia/store/http_call.hpp"

namespace zinnia::standins {
namespace impl {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_error = 500;
constexpr unsigned status_unavailable = 503;
constexpr int cancel_poll_ms = 5;
/// Maximum number of objects that a server remembers.
constexpr std::size_t max_recent_objects = 40;
/// A request for a remembered object takes a quarter of the work.
constexpr int warm_work_divisor = 4;

constexpr int max_slots = 10'000;
constexpr int max_work_ms = 3'600'000;
constexpr int max_servers = 1'000;

struct backend_options {
  /// Address of the store as ip:port; empty disables registration.
  std::string store;
  std::string service{"crewdesk"};
  /// Failure domain.
  std::string zone{"klang-a"};
  int slots{3};
  /// Maximum number of requests that wait for a slot.
  int queue_limit{9};
  /// Time that a request takes if its object is not remembered.
  int work_ms{40};
  int heartbeat_ms{1000};
};

class backend {
 public:
  backend(backend_options options_in, std::string id_in)
      : options{std::move(options_in)}, id{std::move(id_in)} {}

  [[nodiscard]] server_response handle(const server_request& request) {
    if (request.path == "/health") {
      return this->health();
    }
    if (request.path == "/counts") {
      return this->counts();
    }
    if (request.path == "/control") {
      const absl::MutexLock lock{&this->mutex};
      this->draining = request.query.contains("state") && request.query.at("state") == "draining";
      return {status_ok, {}, "ok\n", false};
    }
    return this->serve(request);
  }

  /// Creates or updates the server's own entry in the store; called once per heartbeat interval.
  void write_entry(std::uint16_t port) {
    bool is_draining = false;
    {
      const absl::MutexLock lock{&this->mutex};
      is_draining = this->draining;
    }
    const nlohmann::json spec{{"service", this->options.service},
                              {"address", absl::StrCat("127.0.0.1:", port)},
                              {"zone", this->options.zone},
                              {"version", "v1"},
                              {"slots", this->options.slots},
                              {"state", is_draining ? "draining" : "ready"},
                              {"coldRemainingMs", 0},
                              {"sequence", 1}};
    const auto base = absl::StrCat("http://", this->options.store, "/zinniafield/objects/servers");
    http_call call;
    call.method = this->registered ? "PUT" : "POST";
    call.url = this->registered ? absl::StrCat(base, "/", this->id) : base;
    call.headers = {"Content-Type: application/json"};
    call.body = nlohmann::json{{"metadata", {{"name", this->id}}}, {"spec", spec}}.dump();
    constexpr long first_non_success_status = 300;
    constexpr long status_conflict = 409;
    const auto response = perform(call);
    this->registered = this->registered || response.status == status_conflict ||
                       (response.status != 0 && response.status < first_non_success_status);
  }

 private:
  /// Returns the value of the Server-Load header: requests in slots, queued requests and slots.
  [[nodiscard]] std::string load() const {
    return absl::StrCat(std::min(this->admitted, this->options.slots), ",",
                        std::max(this->admitted - this->options.slots, 0), ",", this->options.slots);
  }

  [[nodiscard]] server_response health() {
    const absl::MutexLock lock{&this->mutex};
    return {this->draining ? status_unavailable : status_ok,
            {{"Instance-Id", this->id}, {"Server-Load", this->load()}, {"Cold-Start-Ms", "0"}},
            {},
            false};
  }

  [[nodiscard]] server_response counts() {
    const absl::MutexLock lock{&this->mutex};
    int repeated_requests = 0;
    for (const auto& [request, times] : this->post_runs_by_request_id) {
      repeated_requests += times > 1 ? 1 : 0;
    }
    const nlohmann::json body{{"id", this->id},
                              {"runs", this->runs},
                              {"twice", repeated_requests},
                              {"shed", this->shed},
                              {"misdirected", this->misdirected},
                              {"cancelled", this->cancelled},
                              {"while_draining", this->while_draining}};
    return {status_ok, {}, body.dump(), false};
  }

  [[nodiscard]] server_response refuse(unsigned status, const std::string& request_id) const {
    return {status,
            {{"Not-Executed", "1"}, {"Request-Id", request_id}, {"Server-Load", this->load()}},
            {},
            false};
  }

  [[nodiscard]] server_response serve(const server_request& request) {
    const auto header = [&request](const std::string& name) {
      const auto found = request.headers.find(name);
      return found == request.headers.end() ? std::string{} : found->second;
    };
    const auto request_id = header("request-id");
    {
      const absl::MutexLock lock{&this->mutex};
      const auto expected = header("expect-instance");
      if (!expected.empty() && expected != this->id) {
        ++this->misdirected;
        return {status_misdirected, {{"Instance-Id", this->id}, {"Request-Id", request_id}}, {}, false};
      }
      this->while_draining += this->draining ? 1 : 0;
      if (this->admitted >= this->options.slots + this->options.queue_limit) {
        ++this->shed;
        return this->refuse(status_unavailable, request_id);
      }
      ++this->admitted;
    }
    auto response = this->run(request, request_id, header("affinity-key"));
    const absl::MutexLock lock{&this->mutex};
    response.headers["Server-Load"] = this->load();
    --this->admitted;
    return response;
  }

  [[nodiscard]] server_response run(const server_request& request, const std::string& request_id,
                                    const std::string& object) {
    int work_ms = 0;
    {
      absl::MutexLock lock{&this->mutex};
      this->mutex.Await(absl::Condition(
          +[](backend* self) { return self->running < self->options.slots; }, this));
      ++this->running;
      ++this->runs;
      this->post_runs_by_request_id[request_id] += request.method == "POST" ? 1 : 0;
      work_ms =
          this->remember_object(object) ? this->options.work_ms / warm_work_divisor : this->options.work_ms;
    }
    const bool finished = this->simulate_work(request, work_ms);
    {
      const absl::MutexLock lock{&this->mutex};
      --this->running;
      this->cancelled += finished ? 0 : 1;
    }
    if (!finished || request.path.ends_with("/reset")) {
      return {status_ok, {}, {}, true};
    }
    const bool fails = request.path.ends_with("/error");
    return {fails ? status_error : status_ok,
            {{"Request-Id", request_id}, {"Server-Stamp", this->id}},
            absl::StrCat(request.method, " ", request.path, " ", request_id, "\n", request.body),
            false};
  }

  /// Adds the object to the remembered ones or makes it the most recent one.
  /// \return True if the object was remembered before.
  [[nodiscard]] bool remember_object(const std::string& object) {
    const auto found = std::find(this->recent_objects.begin(), this->recent_objects.end(), object);
    const bool known = found != this->recent_objects.end();
    if (known) {
      this->recent_objects.erase(found);
    }
    this->recent_objects.push_back(object);
    if (this->recent_objects.size() > max_recent_objects) {
      this->recent_objects.pop_front();
    }
    return known;
  }

  /// Simulates work by sleeping.
  /// \return False if the peer closed the connection before the work was done.
  [[nodiscard]] static bool simulate_work(const server_request& request, int work_ms) {
    for (int passed = 0; passed < work_ms; passed += cancel_poll_ms) {
      if (peer_has_closed(request.socket)) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{std::min(cancel_poll_ms, work_ms - passed)});
    }
    return true;
  }

  backend_options options;
  std::string id;
  absl::Mutex mutex;
  bool draining{false};
  bool registered{false};
  /// Requests in slots and in the queue.
  int admitted{0};
  /// Requests in slots.
  int running{0};
  std::int64_t runs{0};
  std::int64_t shed{0};
  std::int64_t misdirected{0};
  std::int64_t cancelled{0};
  std::int64_t while_draining{0};
  std::map<std::string, int> post_runs_by_request_id;
  /// The objects of the latest requests, least recently used first.
  std::deque<std::string> recent_objects;
};

}  // namespace
}  // namespace impl
}  // namespace zinnia::standins

int main(int argc, char** argv) {
  using namespace zinnia::standins;
  impl::backend_options parsed_options;
  int count = 1;
  int port = 0;
  const command_line line{
      "standin_backend",
      {{"store", parsed_options.store, is_address_or_empty, allowed_addresses,
        "store to register with, ip:port; without it, servers do not register"},
       {"service", parsed_options.service, is_name, allowed_names, "service"},
       {"zone", parsed_options.zone, is_name, allowed_names, "failure domain"}},
      {{"slots", parsed_options.slots, 1, impl::max_slots, "requests at once"},
       {"work-ms", parsed_options.work_ms, 0, impl::max_work_ms,
        "time in ms that a request takes if its object is not remembered"},
       {"count", count, 1, impl::max_servers, "number of servers in this process, each with its own port"},
       {"port", port, 0, max_port - impl::max_servers, "first port; 0 lets the kernel choose"}}};
  if (const auto code = line.parse(argc, argv)) {
    return *code;
  }
  block_stop_signals();
  std::vector<std::unique_ptr<impl::backend>> backends;
  std::vector<std::unique_ptr<threaded_http_server>> servers;
  for (int i = 0; i < count; ++i) {
    backends.push_back(std::make_unique<impl::backend>(
        parsed_options, absl::StrCat("b-", parsed_options.service, "-", parsed_options.zone, "-", i)));
    servers.push_back(std::make_unique<threaded_http_server>(
        port == 0 ? 0 : static_cast<std::uint16_t>(port + i),
        [server = backends.back().get()](const server_request& request) { return server->handle(request); }));
    if (!servers.back()->is_running()) {
      std::cerr << "standin_backend: cannot listen on port " << port + i << '\n';
      return 1;
    }
    std::cout << "listening " << servers.back()->port() << std::endl;
  }
  std::atomic<bool> stopping{false};
  std::thread heartbeat_thread{[&] {
    while (!stopping && !parsed_options.store.empty()) {
      for (std::size_t i = 0; i < backends.size(); ++i) {
        backends[i]->write_entry(servers[i]->port());
      }
      for (int passed = 0; passed < parsed_options.heartbeat_ms && !stopping;
           passed += impl::cancel_poll_ms) {
        std::this_thread::sleep_for(std::chrono::milliseconds{impl::cancel_poll_ms});
      }
    }
  }};
  wait_for_stop_signal();
  stopping = true;
  heartbeat_thread.join();
  return 0;
}
