// Stand-in for the platform's object API, with faults set over HTTP.
//
// Usage: standin_store --port 8080
//   curl -X POST 'http://127.0.0.1:8080/faults?down=1&delay_ms=0&lost_answers=0&lost_writes=0'
#include <boost/program_options.hpp>
#include <iostream>

#include "standins/store_handler.hpp"

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
  fake_store store;
  const http_server server{port,
                           [&store](const server_request& request) { return handle_store(store, request); }};
  if (!server.running()) {
    std::cerr << "standin_store: cannot listen on port " << port << '\n';
    return 1;
  }
  std::cout << "listening " << server.port() << std::endl;
  wait_for_stop_signal();
  return 0;
}
