// A stand-in for an upstream of one service.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "http_io.hpp"
#include "platform_store.hpp"
#include "record.hpp"

namespace review {

struct backend_options {
  std::string id;
  std::string service;
  std::string zone;
  int slots{3};
  /// Requests that wait for a slot; more are turned away.
  int queue{9};
  int work_ms{100};
  /// Bytes of each answer's body.
  std::size_t answer_bytes{16};
  /// Returns the number of bytes after which an answer breaks off, or 0 for a whole answer. May be empty.
  std::function<std::size_t(const http_message&)> breaks_off_after;
};

/// \brief When a request reached the server, and what became of it.
struct run_state {
  double arrived_ms{0};
  /// 0 until the work began.
  double began_ms{0};
  /// 0 until the work ended.
  double ended_ms{0};
  std::string server;
  int runs{0};
};

/// \brief The requests that all servers have got, by id. Thread safe.
class run_ledger {
 public:
  void on_arrived(const std::string& id, const std::string& server);
  void on_began(const std::string& id);
  void on_ended(const std::string& id);
  [[nodiscard]] std::map<std::string, run_state> all();

 private:
  std::mutex mutex;
  std::map<std::string, run_state> states;
};

/// \brief   A sound server, but for answers that break off if its options say so.
/// \details Serves each connection on a thread of its own, works on `slots` requests at a time, and answers
///          421 to requests for another instance and `Not-Executed` when it is full.
class backend_server {
 public:
  backend_server(backend_options options_in, run_ledger& ledger_in, record& log_in);

  void register_at(platform_store& store) const;

 private:
  void serve(const tcp_socket& connection);
  [[nodiscard]] bool answer(const tcp_socket& connection, const http_message& request);
  [[nodiscard]] std::string load_field();

  backend_options options;
  run_ledger& ledger;
  record& log;
  tcp_socket listener;
  std::mutex mutex;
  std::condition_variable slot_free;
  int running{0};
  int waiting{0};
};

}  // namespace review
