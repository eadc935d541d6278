// A stand-in for an upstream of one service.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
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
  /// The part of the answers after which the server closes the connection, as they say.
  double closing_part{0};
  /// False: refusals look as `fleetbench wire` prints them, without the request's id.
  bool names_requests_in_refusals{true};
  /// The part of the refusals that are sent once more, late: when the next request on the connection runs.
  double repeated_part{0};
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

/// \brief   A sound server, but for refusals that are sent once more if its options say so.
/// \details Serves each connection on a thread of its own, works on `slots` requests at a time, and answers
///          421 to requests for another instance and `Not-Executed` when it is full.
class backend_server {
 public:
  backend_server(backend_options options_in, run_ledger& ledger_in, record& log_in);

  void register_at(platform_store& store) const;

 private:
  void serve(const tcp_socket& connection);
  /// \param extra What is sent once more before the next answer on this connection.
  [[nodiscard]] bool answer(const tcp_socket& connection, const http_message& request, std::string& extra);
  [[nodiscard]] bool refuse(const tcp_socket& connection, const std::string& id, const std::string& load,
                            std::string& extra);
  [[nodiscard]] bool happens(double part);
  [[nodiscard]] std::string load_field();

  backend_options options;
  run_ledger& ledger;
  record& log;
  tcp_socket listener;
  std::mutex mutex;
  std::condition_variable slot_free;
  std::mt19937 random;
  int running{0};
  int waiting{0};
};

}  // namespace review
