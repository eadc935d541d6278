// Stand-in for the platform's object store, as a program of its own.
//
// Usage: standin_store --port 7080
//   curl -X POST 'http://127.0.0.1:7080/faults?refuse=503&lost=0&silent_ms=0'   replaces the faults
//   curl -X POST 'http://127.0.0.1:7080/forget'                                 discards the history
//   curl 'http://127.0.0.1:7080/calls'                                          returns the call count
#include <cstdlib>
#include <iostream>

#include "standins/command_line.hpp"
#include "standins/platform_store.hpp"

namespace zinnia::standins {
namespace impl {
namespace {

[[nodiscard]] int integer_parameter(const server_request& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? 0 : std::atoi(found->second.c_str());
}

[[nodiscard]] server_response handle(platform_store& store, const server_request& request) {
  constexpr unsigned status_ok = 200;
  if (request.path == "/faults") {
    store_faults faults;
    faults.error_status = integer_parameter(request, "refuse");
    faults.lost_responses = integer_parameter(request, "lost");
    faults.unresponsive_ms = integer_parameter(request, "silent_ms");
    faults.close_connections = integer_parameter(request, "reset") != 0;
    faults.suppress_watch_events = integer_parameter(request, "deaf") != 0;
    store.set_faults(faults);
    return {status_ok, {}, "ok\n", false};
  }
  if (request.path == "/forget") {
    store.discard_history();
    return {status_ok, {}, "ok\n", false};
  }
  if (request.path == "/calls") {
    return {status_ok, {}, std::to_string(store.calls()) + '\n', false};
  }
  return store.handle(request);
}

}  // namespace
}  // namespace impl
}  // namespace zinnia::standins

int main(int argc, char** argv) {
  using namespace zinnia::standins;
  int port = 0;
  const command_line line{
      "standin_store", {}, {{"port", port, 0, max_port, "port; 0 lets the kernel choose"}}};
  if (const auto code = line.parse(argc, argv)) {
    return *code;
  }
  block_stop_signals();
  platform_store store;
  const threaded_http_server server{
      static_cast<std::uint16_t>(port),
      [&store](const server_request& request) { return impl::handle(store, request); }};
  if (!server.is_running()) {
    std::cerr << "standin_store: cannot listen on port " << port << '\n';
    return 1;
  }
  std::cout << "listening " << server.port() << std::endl;
  wait_for_stop_signal();
  return 0;
}
