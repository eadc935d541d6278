// A stand-in for the platform's metadata store: objects by kind and name, lists and watches.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "http_io.hpp"

namespace review {

/// \brief A sound store without faults. It serves each connection on a thread of its own until the program
///        ends.
class platform_store {
 public:
  platform_store();

  [[nodiscard]] std::string address() const;
  void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);

 private:
  struct change {
    std::int64_t revision{0};
    std::string kind;
    bool deleted{false};
    nlohmann::json object;
  };
  struct answer {
    int status{0};
    nlohmann::json body;
  };

  void serve(tcp_socket connection);
  [[nodiscard]] answer handle(const http_message& request);
  [[nodiscard]] answer watch(const std::string& kind, std::int64_t since, int wait_ms);
  [[nodiscard]] answer list(const std::string& kind);
  [[nodiscard]] answer create(const std::string& kind, const nlohmann::json& sent);
  [[nodiscard]] answer replace(const std::string& kind, const std::string& name, const nlohmann::json& sent);
  [[nodiscard]] answer remove(const std::string& kind, const std::string& name, const std::string& revision);
  /// Requires the mutex.
  nlohmann::json write(const std::string& kind, const std::string& name, const nlohmann::json& spec);

  tcp_socket listener;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, nlohmann::json>> objects;
  std::deque<change> history;
  std::int64_t revision{1};
};

}  // namespace review
