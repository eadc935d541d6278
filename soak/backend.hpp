// A backend server of the soak test. It has a limited number of slots, can be replaced by a new instance and
// can drop responses. It records each request that it executes in the request history.
#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "request_history.hpp"
#include "standins/external_writer.hpp"
#include "standins/threaded_http_server.hpp"
#include "statement_monitor.hpp"

namespace zinnia::soak {

class backend {
 public:
  /// \param failure_domain_in The failure domain of the backend server.
  backend(request_history& history_in, standins::external_writer& store_in, std::string name_in,
          std::string failure_domain_in);

  [[nodiscard]] std::uint16_t port() const { return this->server.port(); }
  /// \brief Registers in the store with a port of 127.0.0.1, which may be that of a proxy.
  void register_at(std::uint16_t advertised_port_in);
  /// \return The instance that reports it.
  std::string set_draining(bool draining_in);
  /// \brief Replaces the registered instance by a new one at the same address.
  void replace_instance();
  /// \brief Makes the server say this about itself in all responses, or nothing.
  void set_statement(const own_statement& statement, statement_monitor::is_calm_predicate is_calm);
  /// \brief Returns what nodes did against the server's statement.
  [[nodiscard]] std::vector<std::string> check_statement();
  [[nodiscard]] std::size_t judged_requests();
  /// \brief If set, the server executes requests but closes their connections instead of responding.
  void set_dropping_responses(bool drop) { this->drops_responses = drop; }
  void set_slow(bool slow) { this->is_slow = slow; }
  /// \brief Called with the node that sends the request that crashes servers. Set before the server is
  ///        registered.
  std::function<void(const std::string& node)> on_crashing_request;
  /// \brief Called with the addressed instance, its failure domain and the sending node. Set before the
  ///        server is registered.
  std::function<void(const std::string& instance, const std::string& domain, const std::string& node)>
      on_request;

 private:
  [[nodiscard]] standins::server_response handle(const standins::server_request& request);
  void write_entry();
  [[nodiscard]] std::string load_report() const;
  /// Adds the server's statement to the response to a node.
  void add_statement(standins::server_response& response, const std::string& node);

  request_history& history;
  standins::external_writer& store;
  std::string name;
  std::string failure_domain;
  absl::Mutex mutex;
  std::string instance_id;
  int generation{0};
  int running_requests{0};
  bool is_draining{false};
  statement_monitor statements;
  std::uint16_t advertised_port{0};
  std::atomic<bool> drops_responses{false};
  std::atomic<bool> is_slow{false};
  standins::threaded_http_server server;
};

}  // namespace zinnia::soak
