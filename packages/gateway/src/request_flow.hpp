// One request, from its arrival to its response, with all attempts at backend servers.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "attempt_result.hpp"
#include "hop_fields.hpp"
#include "peer_forwarding.hpp"
#include "peer_result.hpp"
#include "zinnia/accounts/account_access.hpp"
#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/backend_connection.hpp"
#include "zinnia/observe/json_object.hpp"
#include "zinnia/routing/crash_report.hpp"

namespace zinnia {

/// \brief   Places a request, sends it, classifies the response and retries where that is allowed.
/// \details While the links to the backend servers are lost, a peer takes the place of a server.
///          Invariants: a non-idempotent request is sent again only while `run_verdict` is `did_not_run`; a
///          request that another node has forwarded is not forwarded again.
class request_flow final : public backend_call_handler, public std::enable_shared_from_this<request_flow> {
 public:
  request_flow(gateway& owner_in, wait_ticket ticket_in, std::shared_ptr<caller_exchange> exchange_in,
               std::shared_ptr<const routing_snapshot> snapshot_in, const route& route_in,
               const forwarded_request* forwarded_in, std::optional<account_identity> identity_in);

  void start();
  /// \brief Sends the request to the backend server in whose queue it waited; the queue no longer holds it.
  void send_waiting();
  /// \brief Places the request again after its removal from a queue, because the backend server is no longer
  ///        usable or the request has waited longer than expected.
  void reassign();
  /// \brief   Leaves a server or its queue, as the links to the servers are lost, and goes to a peer.
  /// \details A non-idempotent request that may have run stays: its response may arrive once the links are
  ///          back.
  void leave_lost_links();
  /// \brief  Ends the request if it is quarantined because it crashes backend servers.
  /// \return True if so.
  [[nodiscard]] bool refuse_if_quarantined();
  /// \brief   Bounds the deadline, because the node is stopping; a request that waits is placed again.
  /// \details Has no effect once the response has begun.
  void answer_before_stop(time_point answer_by);
  /// \brief Returns the request if it is at that server and no part of a response has arrived.
  [[nodiscard]] std::optional<lost_request> unanswered_at(std::uint64_t backend) const;
  [[nodiscard]] bool is_waiting(request_fingerprint request) const noexcept {
    return (this->queued || this->retry_held_until) && this->fingerprint == request;
  }
  /// \brief  Places a request again that waits to be repeated, if it need not wait any longer.
  /// \return False if it still waits.
  [[nodiscard]] bool try_resume_retry();

  /// \brief  Places the request if its account has a token for it now, or ends it once it has waited too
  /// long. \return False if it still waits.
  [[nodiscard]] bool try_leave_token_wait();

  void on_head(const response_head& head) override;
  void on_body(std::string_view piece) override;
  void on_end(const backend_call_result& end) override;

 private:
  /// Chooses the route's destination, and counts the request for it.
  void choose_service();
  /// Places the request if it is within its account's limit; else it waits for a token or ends with 429.
  void admit_and_place();
  void refuse_over_limit(duration retry_after);
  /// Ends the wait for a token, or returns the token of a request that has not run.
  void release_token();
  /// Chooses a backend server; then sends the request, queues it or refuses it.
  void place_request();
  void send();
  /// Ends the request if its account may no longer use the route: with 401 or 503 if it has not run, else
  /// with 502. Called before every send. Returns true if it has ended.
  [[nodiscard]] bool refuse_without_access();
  /// True if accounts are configured now, or were when the request arrived.
  [[nodiscard]] bool has_accounts() const noexcept;
  /// Refuses a request that may run only once if the node may end before its deadline. Returns true if it has
  /// ended.
  [[nodiscard]] bool refuse_if_stopping();
  /// Ends a request that is at no server and cannot be answered before the node ends.
  void end_for_stop();
  /// True if the request must be answered before its deadline because the node is stopping.
  [[nodiscard]] bool is_cut_short_by_stop() const noexcept { return this->deadline < this->own_deadline; }
  [[nodiscard]] region_filter allowed_regions() const noexcept;
  [[nodiscard]] request_priority priority() const noexcept;
  /// Returns the part of the room that the account gets while requests wait; empty without accounts.
  [[nodiscard]] std::optional<fair_share> fair_share_of_account() const noexcept;
  /// Returns the fields that a backend server gets in addition to the caller's.
  [[nodiscard]] header_fields make_backend_fields(const backend_id& target) const;
  /// Builds a request for a server or a peer.
  /// \param added Fields in addition to the caller's and the time left.
  [[nodiscard]] backend_call build_call(std::string_view target, const header_fields& added) const;
  /// Sends the request to a peer, or ends it if there is none.
  /// \param why        The reason if it is refused.
  void forward_to_peer(reason why, duration retry_after);
  void on_peer_end(const backend_call_result& end);
  /// Ends a request that a peer did not serve.
  void end_after_peer(const peer_result& result);
  /// Returns a connection to the peer that lent it.
  void release_peer(peer_forwarding::ending how, std::string_view noted);
  [[nodiscard]] peer_request wanted_peer() const;
  /// Returns true if the response's head allows it to be forwarded.
  [[nodiscard]] attempt_result classify_head() const;
  /// Returns the head to forward: the server's, without fields that apply to one connection.
  [[nodiscard]] response_head make_forwarded_head() const;
  /// Returns true if the request may be sent again. Takes the retry from the budget, except after a failed
  /// connect.
  [[nodiscard]] bool try_retry(const attempt_result& attempt);
  /// Places the request again, once it is known if its server has crashed: each crash should count before the
  /// request can cause the next one.
  void retry();
  /// Starts forwarding the response; from then on it cannot be replaced by another.
  void commit();
  void free_held_body();
  /// Forwards what is left of a complete response and ends it.
  void forward_response();
  /// Responds with 503 and Retry-After, which tells the caller that the request did not run.
  void refuse(reason why, duration retry_after);
  /// Responds with 503 or 429 and exactly this Retry-After.
  void respond_unavailable(reason why, duration retry_after, int status = 503);
  /// Responds with an error status, from which the caller cannot conclude that the request did not run.
  void fail(int status, reason why);
  /// Refuses the request if it did not run, or else fails it with 502.
  void end_without_response(reason why);
  void start_deadline_timer(std::chrono::milliseconds after);
  /// Returns the time until the deadline, or 0 if it has passed.
  [[nodiscard]] std::chrono::milliseconds time_left() const noexcept;
  void on_deadline();
  void on_caller_left();
  /// Cancels the call in progress, if there is one.
  void abandon_call();
  void leave_queue();
  /// Updates the backend server's state and the estimates with a finished attempt.
  void record_attempt(const attempt_result& attempt, duration took);
  /// Tells the link monitor how the call to the target ended.
  void note_link_result(const backend_call_result& end);
  /// Records the finished request and removes it from the gateway.
  /// \param status The status sent to the caller, or 0 if the caller left.
  void close(int status, reason why);
  /// Returns the header fields of responses that the node makes itself.
  [[nodiscard]] header_fields make_own_fields(reason why) const;
  [[nodiscard]] json_object make_record(int status, reason why, duration took) const;
  [[nodiscard]] bool has_active_call() const noexcept { return this->connection != nullptr; }

  gateway& owner;
  wait_ticket ticket;
  std::shared_ptr<caller_exchange> exchange;
  std::shared_ptr<const routing_snapshot> snapshot;
  // Owned by `snapshot`.
  const route& matched_route;
  service_id service;
  std::string request_id;
  // Set if another node has forwarded the request.
  std::optional<forwarded_request> forwarded;
  std::optional<account_identity> identity;
  // The accounts at the latest check; null if none are configured.
  std::shared_ptr<const account_table> accounts;
  // Owned by `accounts`; null if the request has no account.
  const account_declaration* account{nullptr};
  // The number of attempts that this node may make.
  int max_attempts{1};
  // Hash of the route's prefix and the object key; nullopt if the route is not sticky or there is no key.
  std::optional<std::uint64_t> object_hash;
  request_fingerprint fingerprint;
  bool idempotent{true};
  time_point arrived_at;
  // The caller's or the route's, whichever is earlier.
  time_point own_deadline;
  // Invariant: not later than `own_deadline`; earlier if the node is stopping.
  time_point deadline;
  boost::asio::steady_timer deadline_timer;

  placement_decision decision;
  // Includes those that another node tried before it forwarded the request.
  std::vector<backend_id> tried_backends;
  // Those of `tried_backends` that could not be connected to.
  int connect_failures{0};
  // Backend servers that may have got the request.
  std::vector<backend_id> reached_backends;
  // In order.
  std::vector<node_id> tried_peers;
  // The number of attempts, without those that could not connect.
  int sent_count{0};
  // Combined over all attempts.
  verdict run_verdict{verdict::did_not_run};
  // Set while the request waits for a token of its account.
  std::optional<time_point> token_wait_until;
  // The request has taken a token of its account.
  bool has_token{false};
  bool queued{false};
  // Set while the request waits to be repeated.
  std::optional<time_point> retry_held_until;
  bool closed{false};
  time_point placed_at;
  time_point sent_at;
  // The request's level in the crash ledger at that time.
  int crash_level{0};
  // Over all queues in which the request waited.
  duration queue_wait{0};
  // The peer at which the request is; nullopt if the call in progress is one to a backend server.
  std::optional<node_id> peer;
  // Null while no call is in progress.
  std::shared_ptr<backend_connection> connection;
  // Of the latest attempt.
  response_head response;
  // Body bytes that are not forwarded yet.
  std::string held_body;
  memory_charge held_charge;
  std::size_t response_bytes{0};
  // The response's head is written to the caller.
  bool committed{false};
  // One word per attempt, for the record: server, reason and time.
  std::string attempt_history;
};

}  // namespace zinnia
