// One zinniad process with a store and two backend servers, and what an ordinary caller gets from it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "process_usage.hpp"
#include "soak/node_process.hpp"
#include "standins/platform_store.hpp"
#include "standins/threaded_http_server.hpp"

namespace zinnia::testing_support {

/// \brief The limits that the platform states, for one node and for its callers.
struct load_limits {
  int memory_mb{160};
  int max_descriptors{1024};
  std::uint64_t max_body_bytes{8 << 20};
  /// The port of a store that is in trouble; 0 for a sound one.
  std::uint16_t faulty_store_port{0};
  /// The port of a backend server that is in trouble; 0 for none.
  std::uint16_t faulty_backend_port{0};
};

/// \brief   Starts the process and waits until it is ready, unless its store is in trouble.
/// \details Routes of the host h: /up/ (unsafe), /get/ (safe), /big/ (safe, with responses of 150,000 bytes)
///          and /faulty/ (safe, at the server in trouble).
class node_under_load {
 public:
  explicit node_under_load(const load_limits& limits_in);
  node_under_load(const node_under_load&) = delete;
  node_under_load& operator=(const node_under_load&) = delete;
  node_under_load(node_under_load&&) = delete;
  node_under_load& operator=(node_under_load&&) = delete;
  ~node_under_load();

  [[nodiscard]] const soak::node_ports& ports() const noexcept { return this->process->options().ports; }
  /// \brief The port for requests that other nodes forward.
  [[nodiscard]] std::uint16_t forward_port() const noexcept {
    return static_cast<std::uint16_t>(this->ports().peer_port + 2);
  }
  [[nodiscard]] std::uint16_t operator_port() const noexcept;
  [[nodiscard]] const process_usage& usage() const noexcept { return *this->measured; }
  [[nodiscard]] soak::node_process& node() noexcept { return *this->process; }
  /// \brief Changes the limit of bodies in the configuration.
  void write_configuration(std::uint64_t max_body_bytes);

  /// \brief   Sends a small request as an ordinary caller does, which comes back after a refusal or a
  ///          connection that was closed, until it gets 200.
  /// \returns False after 20 s.
  [[nodiscard]] bool serves_ordinary_caller() const;
  /// \brief Sends one request with a body of that size and returns the status; 0 without a response.
  [[nodiscard]] int send_upload(std::uint64_t body_bytes, bool chunked) const;

 private:
  [[nodiscard]] standins::server_response respond(const standins::server_request& request) const;
  [[nodiscard]] std::string settings_text() const;
  void wait_until_ready() const;

  load_limits limits;
  standins::platform_store store;
  std::unique_ptr<standins::threaded_http_server> store_server;
  std::unique_ptr<standins::threaded_http_server> backend;
  std::string folder;
  int version{0};
  std::unique_ptr<soak::node_process> process;
  std::unique_ptr<process_usage> measured;
};

}  // namespace zinnia::testing_support
