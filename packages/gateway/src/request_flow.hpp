// One request from its arrival to its answer, over all attempts.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "judgement.hpp"
#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/backend_connection.hpp"
#include "zinnia/observe/json_object.hpp"

namespace zinnia {

/// \brief   Places a request, sends it, judges the answer and repeats it where that is allowed.
/// \details Invariant: a request that must not run twice is sent again only while `known` is `did_not_run`.
class request_flow final : public backend_call_handler, public std::enable_shared_from_this<request_flow> {
 public:
  request_flow(gateway& owner_in, wait_ticket ticket_in, std::shared_ptr<caller_exchange> exchange_in,
               std::shared_ptr<const routing_snapshot> snapshot_in, const route& rule_in);

  void start();
  /// \brief Sends the request to the server that it waited for.
  void send_waiting();
  /// \brief Chooses again, as the server that it waited for is no longer usable or has kept it too long.
  void place_again();

  void on_head(const response_head& head) override;
  void on_body(std::string_view piece) override;
  void on_end(const backend_call_result& end) override;

 private:
  void place();
  void send();
  [[nodiscard]] backend_call build_call() const;
  [[nodiscard]] bool try_repeat(const judgement& judged);
  void commit();
  void pass_on();
  void refuse(reason why, duration retry_after);
  void fail(int status, reason why);
  void end_without_answer(reason why);
  void on_deadline();
  void on_caller_left();
  void abandon_call();
  void leave_queue();
  void learn(const judgement& judged, duration took);
  void close(int status, reason why);
  [[nodiscard]] header_fields own_fields() const;
  [[nodiscard]] json_object make_record(int status, reason why, duration took) const;
  [[nodiscard]] bool is_sent() const noexcept { return this->connection != nullptr; }

  gateway& owner;
  wait_ticket ticket;
  std::shared_ptr<caller_exchange> exchange;
  std::shared_ptr<const routing_snapshot> snapshot;
  const route& rule;
  service_id service;
  std::string id;
  std::optional<std::uint64_t> object;
  bool repeatable{true};
  time_point arrived;
  time_point deadline;
  boost::asio::steady_timer timer;

  placement_decision decision;
  std::vector<backend_id> tried;
  // Requests actually put on a connection.
  int sends{0};
  verdict known{verdict::did_not_run};
  bool waiting{false};
  bool closed{false};
  time_point placed_at;
  time_point sent_at;
  duration waited{0};
  std::shared_ptr<backend_connection> connection;
  response_head answer;
  std::string answer_body;
  std::size_t answer_bytes{0};
  bool committed{false};
  // One word an attempt, for the log.
  std::string history;
};

}  // namespace zinnia
