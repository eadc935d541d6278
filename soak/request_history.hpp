// Records what callers sent and received and what backend servers executed, and finds violated guarantees.
#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace zinnia::soak {

/// \brief A request as its caller sends it.
struct sent_request {
  std::string id;
  std::string method;
  std::string path;
  std::string body;
  /// The request may be executed more than once.
  bool is_repeatable{true};
  /// The caller's pause in the middle of the body, in ms; 0 for none.
  int pause_ms{0};
};

/// \brief How a request ended for its caller.
struct request_result {
  /// 0 if no complete response was received.
  int status{0};
  /// The Server-Stamp of the backend server's response; empty if the node itself responded.
  std::string stamp;
  std::string body;
  /// The Retry-After of the response, in seconds; 0 without one.
  double retry_after_s{0};
  /// The connection was lost; false if the caller gave up.
  bool connection_lost{false};
  /// The time from the first byte sent until the connection was lost, or the request ended.
  int took_ms{0};
  /// The part of that time in which the proxy passed nothing on, as its thread did not run.
  int stalled_ms{0};
  /// No fault affected the node or a backend server from shortly before the request was sent to its end.
  bool was_fault_free{false};
  std::string node;
};

/// \brief Returns the response body that every backend server sends for a request id.
[[nodiscard]] std::string expected_body(const std::string& request_id);

/// \brief Records all requests of a run and checks the guarantees. All methods are thread-safe.
class request_history {
 public:
  void on_request_sent(const sent_request& request);
  /// \brief  Records that a backend server executes a request.
  /// \return The stamp of its response.
  [[nodiscard]] std::string on_execution(const sent_request& received, const std::string& backend);
  void on_request_finished(const std::string& id, const request_result& result);
  void add_violation(const std::string& text);
  /// \brief Checks the guarantees that can be decided only after the run, and returns all violations.
  [[nodiscard]] std::vector<std::string> check_at_end();
  /// \brief Returns one line with the number of requests by result.
  [[nodiscard]] std::string summary() const;

 private:
  struct record {
    sent_request request;
    std::vector<std::string> stamps;
    request_result result;
    bool is_finished{false};
  };

  mutable absl::Mutex mutex;
  std::map<std::string, record> records;
  std::vector<std::string> violations;
  std::int64_t next_stamp{1};
};

}  // namespace zinnia::soak
