// One caller on a kept connection; sends bytes itself, as an HTTP library might send a request twice.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "ledger.hpp"
#include "zinnia/http/message_parser.hpp"

namespace zinnia::soak {

class caller {
 public:
  caller(ledger& book_in, std::uint16_t port_in) : book{book_in}, port{port_in} {}
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;
  caller(caller&&) = delete;
  caller& operator=(caller&&) = delete;
  ~caller() { this->disconnect(); }

  /// \brief Sends a request and waits for its answer until the limit; then it leaves.
  [[nodiscard]] received_answer ask(const sent_request& request, int deadline_ms, int limit_ms);

 private:
  [[nodiscard]] bool connect();
  void disconnect();
  [[nodiscard]] bool send(const std::string& bytes) const;

  ledger& book;
  std::uint16_t port;
  int descriptor{-1};
};

}  // namespace zinnia::soak
