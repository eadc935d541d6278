// A client on one kept connection to an entry.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "deployment.hpp"
#include "http_io.hpp"

namespace review {

/// \brief Formats a request as the pages have it.
/// \param extra_fields Lines that end with CRLF.
[[nodiscard]] std::string format_request(const std::string& method, const std::string& target,
                                         const std::string& id, int deadline_ms,
                                         const std::string& extra_fields = "");

/// \brief A connection to an entry that is opened when it is needed.
class caller_connection {
 public:
  explicit caller_connection(std::string ip_in) : ip{std::move(ip_in)} {}

  /// \brief Returns false if the entry takes no connection.
  [[nodiscard]] bool open(int receive_timeout_ms);
  [[nodiscard]] bool send(const std::string& bytes) const { return this->connection->send_all(bytes); }
  /// \brief The next answer; nullopt if the connection ends before it is complete.
  [[nodiscard]] std::optional<http_message> read() { return this->reader->next(); }
  void close();

 private:
  std::string ip;
  std::unique_ptr<tcp_socket> connection;
  std::unique_ptr<message_reader> reader;
};

}  // namespace review
