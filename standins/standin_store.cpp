// Stand-in for the platform's store as a process.
//
// Usage: standin_store --port 7080
//   curl -X POST 'http://127.0.0.1:7080/faults?refuse=503&lost=0&silent_ms=0'   until set anew
//   curl -X POST 'http://127.0.0.1:7080/forget'                                 drops the history
//   curl 'http://127.0.0.1:7080/calls'                                          calls so far
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "standins/platform_store.hpp"

namespace zinnia::standins {
namespace impl {
namespace {

[[nodiscard]] int number_of(const server_request& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? 0 : std::atoi(found->second.c_str());
}

[[nodiscard]] server_response handle(platform_store& store, const server_request& request) {
  constexpr unsigned status_ok = 200;
  if (request.path == "/faults") {
    store_faults faults;
    faults.error_status = number_of(request, "refuse");
    faults.lost_responses = number_of(request, "lost");
    faults.unresponsive_ms = number_of(request, "silent_ms");
    faults.reset = number_of(request, "reset") != 0;
    faults.suppress_watch_events = number_of(request, "deaf") != 0;
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
  namespace po = boost::program_options;
  using namespace zinnia::standins;
  std::uint16_t port = 0;
  po::options_description options{"standin_store"};
  options.add_options()("port", po::value(&port)->default_value(0), "port; 0 lets the kernel choose");
  po::variables_map given;
  po::store(po::parse_command_line(argc, argv, options), given);
  po::notify(given);
  block_stop_signals();
  platform_store store;
  const threaded_http_server server{
      port, [&store](const server_request& request) { return impl::handle(store, request); }};
  if (!server.running()) {
    std::cerr << "standin_store: cannot listen on port " << port << '\n';
    return 1;
  }
  std::cout << "listening " << server.port() << std::endl;
  wait_for_stop_signal();
  return 0;
}
