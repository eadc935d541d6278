// Requests of clients.
#include "caller.hpp"

namespace review {

std::string format_request(const std::string& method, const std::string& target, const std::string& id,
                           int deadline_ms, const std::string& extra_fields) {
  return method + " " + target + " HTTP/1.1\r\nHost: " + caller_host + "\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + extra_fields + "\r\n";
}

bool caller_connection::open(int receive_timeout_ms) {
  if (this->connection != nullptr) {
    return true;
  }
  auto opened = std::make_unique<tcp_socket>(tcp_socket::connect_to(this->ip, entry_process::front_port));
  if (!opened->is_open()) {
    return false;
  }
  opened->set_receive_timeout(receive_timeout_ms);
  this->connection = std::move(opened);
  this->reader = std::make_unique<message_reader>(*this->connection);
  return true;
}

void caller_connection::close() {
  this->reader.reset();
  this->connection.reset();
}

}  // namespace review
