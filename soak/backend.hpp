// A backend server of the soak: slots, instances that change, lost answers; writes what it runs to the
// ledger.
#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <string>

#include "ledger.hpp"
#include "standins/platform_store.hpp"
#include "standins/threaded_http_server.hpp"

namespace zinnia::soak {

class backend {
 public:
  /// \param domain The failure domain that it stands in.
  backend(ledger& book_in, standins::platform_store& store_in, std::string name_in, std::string domain_in);

  [[nodiscard]] std::uint16_t port() const { return this->server.port(); }
  /// \brief Registers in the store under an address, which may be that of a proxy.
  void enter(std::uint16_t address_port_in);
  void drain(bool draining_in);
  /// \brief Starts anew at the same address as another instance.
  void replace();
  /// \brief Runs requests and breaks their connections instead of answering.
  void lose_answers(bool lose) { this->loses_answers = lose; }
  void slow_down(bool slow) { this->is_slow = slow; }

 private:
  [[nodiscard]] standins::server_response handle(const standins::server_request& request);
  void write();
  [[nodiscard]] std::string load() const;

  ledger& book;
  standins::platform_store& store;
  std::string name;
  std::string domain;
  absl::Mutex mutex;
  std::string id;
  int generation{0};
  int running{0};
  bool draining{false};
  std::uint16_t address_port{0};
  std::atomic<bool> loses_answers{false};
  std::atomic<bool> is_slow{false};
  standins::threaded_http_server server;
};

}  // namespace zinnia::soak
