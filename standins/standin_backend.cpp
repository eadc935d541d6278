// Stand-in for the backend servers of one service: slots, memory for objects, cold start, draining,
// registration.
//
// Usage: standin_backend --store 127.0.0.1:7080 --service crewdesk --zone klang-a --count 4 --work-ms 40
//   curl -X POST 'http://127.0.0.1:PORT/control?state=draining'   reports that it leaves
//   curl 'http://127.0.0.1:PORT/counts'                           runs, runs by request id, refusals
// A request's path steers it: .../reset breaks the connection after the run, .../error fails.
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

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
/// Objects that a server remembers; a remembered one takes a quarter of the work.
constexpr std::size_t remembered_objects = 40;
constexpr int warm_part = 4;

struct backend_options {
  std::string store;
  std::string service{"crewdesk"};
  std::string zone{"klang-a"};
  int slots{3};
  int queue{9};
  int work_ms{40};
  int heartbeat_ms{1000};
};

class backend {
 public:
  backend(backend_options given, std::string id_in) : options{std::move(given)}, id{std::move(id_in)} {}

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

  /// Writes the server's own entry in the store; called every heartbeat.
  void beat(std::uint16_t port) {
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
    constexpr long first_refusal = 300;
    constexpr long status_conflict = 409;
    const auto answer = perform(call);
    this->registered = this->registered || answer.status == status_conflict ||
                       (answer.status != 0 && answer.status < first_refusal);
  }

 private:
  [[nodiscard]] std::string load() const {
    return absl::StrCat(std::min(this->inside, this->options.slots), ",",
                        std::max(this->inside - this->options.slots, 0), ",", this->options.slots);
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
    int twice = 0;
    for (const auto& [request, times] : this->runs_of) {
      twice += times > 1 ? 1 : 0;
    }
    const nlohmann::json body{{"id", this->id},
                              {"runs", this->runs},
                              {"twice", twice},
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
      if (this->inside >= this->options.slots + this->options.queue) {
        ++this->shed;
        return this->refuse(status_unavailable, request_id);
      }
      ++this->inside;
    }
    auto answer = this->run(request, request_id, header("affinity-key"));
    const absl::MutexLock lock{&this->mutex};
    answer.headers["Server-Load"] = this->load();
    --this->inside;
    return answer;
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
      this->runs_of[request_id] += request.method == "POST" ? 1 : 0;
      work_ms = this->recall(object) ? this->options.work_ms / warm_part : this->options.work_ms;
    }
    const bool finished = this->pass_time(request, work_ms);
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

  /// Whether the object was remembered; remembers it now.
  [[nodiscard]] bool recall(const std::string& object) {
    const auto found = std::find(this->objects.begin(), this->objects.end(), object);
    const bool known = found != this->objects.end();
    if (known) {
      this->objects.erase(found);
    }
    this->objects.push_back(object);
    if (this->objects.size() > remembered_objects) {
      this->objects.pop_front();
    }
    return known;
  }

  /// \return False when the other side gave up meanwhile.
  [[nodiscard]] static bool pass_time(const server_request& request, int ms) {
    for (int passed = 0; passed < ms; passed += cancel_poll_ms) {
      if (peer_has_closed(request.socket)) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{std::min(cancel_poll_ms, ms - passed)});
    }
    return true;
  }

  backend_options options;
  std::string id;
  absl::Mutex mutex;
  bool draining{false};
  bool registered{false};
  int inside{0};
  int running{0};
  std::int64_t runs{0};
  std::int64_t shed{0};
  std::int64_t misdirected{0};
  std::int64_t cancelled{0};
  std::int64_t while_draining{0};
  std::map<std::string, int> runs_of;
  std::deque<std::string> objects;
};

}  // namespace
}  // namespace impl
}  // namespace zinnia::standins

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  using namespace zinnia::standins;
  impl::backend_options given;
  int count = 0;
  int port = 0;
  po::options_description options{"standin_backend"};
  auto add = options.add_options();
  add("store", po::value(&given.store), "store to register with, ip:port; none: no registration");
  add("service", po::value(&given.service), "service");
  add("zone", po::value(&given.zone), "failure domain");
  add("slots", po::value(&given.slots)->default_value(3), "requests at once");
  add("work-ms", po::value(&given.work_ms)->default_value(40),
      "work of a request whose object is not remembered");
  add("count", po::value(&count)->default_value(1), "servers in this process, each with a port of its own");
  add("port", po::value(&port)->default_value(0), "first port; 0 lets the kernel choose");
  po::variables_map parsed;
  po::store(po::parse_command_line(argc, argv, options), parsed);
  po::notify(parsed);
  block_stop_signals();
  std::vector<std::unique_ptr<impl::backend>> backends;
  std::vector<std::unique_ptr<threaded_http_server>> servers;
  for (int i = 0; i < count; ++i) {
    backends.push_back(
        std::make_unique<impl::backend>(given, absl::StrCat("b-", given.service, "-", given.zone, "-", i)));
    servers.push_back(std::make_unique<threaded_http_server>(
        port == 0 ? 0 : static_cast<std::uint16_t>(port + i),
        [state = backends.back().get()](const server_request& request) { return state->handle(request); }));
    if (!servers.back()->running()) {
      std::cerr << "standin_backend: cannot listen on port " << port + i << '\n';
      return 1;
    }
    std::cout << "listening " << servers.back()->port() << std::endl;
  }
  std::atomic<bool> stopping{false};
  std::thread beats{[&] {
    while (!stopping && !given.store.empty()) {
      for (std::size_t i = 0; i < backends.size(); ++i) {
        backends[i]->beat(servers[i]->port());
      }
      for (int passed = 0; passed < given.heartbeat_ms && !stopping; passed += impl::cancel_poll_ms) {
        std::this_thread::sleep_for(std::chrono::milliseconds{impl::cancel_poll_ms});
      }
    }
  }};
  wait_for_stop_signal();
  stopping = true;
  beats.join();
  return 0;
}
