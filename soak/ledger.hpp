// What callers sent and got, what backend servers ran, and which promises that breaks.
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
  /// May run more than once.
  bool repeatable{true};
};

/// \brief How a request ended for its caller.
struct received_answer {
  /// 0: no complete answer.
  int status{0};
  /// Of the backend server whose answer it is; empty for an answer of the node's own.
  std::string stamp;
  std::string body;
  /// The connection was lost, rather than that the caller gave up.
  bool cut{false};
  /// Neither its node nor any backend server was disturbed from shortly before it was sent until it ended.
  bool undisturbed{false};
  std::string node;
};

/// \brief The answer that every backend server gives to a request.
[[nodiscard]] std::string expected_body(const std::string& request);

/// \brief Keeps all requests of a run. Any thread.
class ledger {
 public:
  void on_sent(const sent_request& request);
  /// \brief  Notes that a backend server runs a request.
  /// \return The stamp of its answer.
  [[nodiscard]] std::string on_run(const sent_request& seen, const std::string& backend);
  void on_answer(const std::string& id, const received_answer& answer);
  void add_finding(const std::string& text);
  /// \brief Looks at the promises that only the end shows, and returns all findings.
  [[nodiscard]] std::vector<std::string> close();
  /// \brief One line: requests by ending.
  [[nodiscard]] std::string summary() const;

 private:
  struct record {
    sent_request request;
    std::vector<std::string> stamps;
    received_answer answer;
    bool answered{false};
  };

  mutable absl::Mutex mutex;
  std::map<std::string, record> records;
  std::vector<std::string> findings;
  std::int64_t next_stamp{1};
};

}  // namespace zinnia::soak
