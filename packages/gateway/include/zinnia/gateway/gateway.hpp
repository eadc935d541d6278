// The data path of a node: forwards callers' requests to backend servers and returns the responses.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "zinnia/accounts/account_access.hpp"
#include "zinnia/accounts/account_limit_settings.hpp"
#include "zinnia/accounts/account_limits.hpp"
#include "zinnia/core/clock.hpp"
#include "zinnia/gateway/fwd.hpp"
#include "zinnia/gateway/header_field_names.hpp"
#include "zinnia/http/backend_pool.hpp"
#include "zinnia/http/caller_connection.hpp"
#include "zinnia/observe/metrics.hpp"
#include "zinnia/observe/recent_records.hpp"
#include "zinnia/routing/backend_table.hpp"
#include "zinnia/routing/cold_limit_settings.hpp"
#include "zinnia/routing/crash_ledger.hpp"
#include "zinnia/routing/declarations.hpp"
#include "zinnia/routing/link_monitor.hpp"
#include "zinnia/routing/peer_choice.hpp"
#include "zinnia/routing/retry_limiter.hpp"
#include "zinnia/routing/route_table.hpp"
#include "zinnia/routing/weighted_split.hpp"

namespace zinnia {

class request_flow;
class health_check;

/// \brief Options that are fixed when a gateway starts.
struct gateway_options {
  node_id self;
  location own_location;
  /// The region of each known failure domain.
  std::map<failure_domain_id, region_id> regions;
  header_field_names field_names;
  retry_budget_settings retry_budget;
  /// When the process started: how much it retried before is not known, and may count against the budget.
  time_point retries_counted_since;
  /// What the memory of requests and responses is charged to; null if it has no limit.
  memory_budget* memory{nullptr};
  /// The number of finished requests whose records are kept.
  std::size_t fate_records{1000};
  /// Sends notices to other nodes; called several times a second, also with none. May be empty.
  std::function<void(std::vector<holder_notice>)> send_notices;
  /// Sends reports to all other nodes at once. May be empty.
  std::function<void(const std::vector<crash_report>&)> send_crash_reports;
  /// Sends reports to a few other nodes, to others each time. May be empty.
  std::function<void(const std::vector<crash_report>&)> repeat_crash_reports;
  /// Called for each request that this node has quarantined, or released because a server answered it (level
  /// 0), and for its share in `repeat_quarantine_changes`. May be empty.
  std::function<void(const crash_report&)> on_quarantine_change;
  /// Called when this node has lost its links to all backend servers (false), and when it has regained them.
  /// May be empty.
  std::function<void(bool)> on_links_change;
  /// Sends asks or grants of tokens to another node. May be empty.
  std::function<void(const ip_endpoint&, const account_messages&)> send_account_messages;
  /// Limit for the reports that are repeated at a time.
  std::size_t max_repeated_reports{30};
  /// Set if requests with keys must be refused while the configuration is not known to be current.
  std::optional<duration> revocation_limit;
  account_limit_settings account_limits;
  cold_limit_settings cold_limits;
};

/// \brief The nodes that send requests to the same backend servers.
struct gateway_nodes {
  /// Alive nodes that are advertised to callers.
  std::map<node_id, location> serving;
  /// Regions that have nodes of their own, alive or not.
  std::set<region_id> regions_with_nodes;
  /// The number of registered nodes. Limits for all nodes together are divided by it.
  std::size_t registered_count{1};
  /// Other nodes that serve requests which this node forwards while it cannot reach the backend servers.
  std::vector<forwarding_peer> forwarding_peers{};
  /// The number of nodes that serve if all registered ones are alive.
  std::size_t registered_serving{0};
  /// False while the list of registered nodes is incomplete, as after a start: this node cannot tell its
  /// share of the retries that all nodes may make beyond what requests earn, and makes none of these.
  bool is_list_complete{true};

  /// \brief Returns the number of nodes that share the retry budget; 0 if it is not known.
  [[nodiscard]] int retry_sharers() const noexcept {
    return this->is_list_complete ? static_cast<int>(this->registered_count) : 0;
  }
};

/// \brief   Routes requests and keeps the state of the backend servers.
/// \details Not thread safe: all members are called on the thread that runs the context.
class gateway {
 public:
  gateway(boost::asio::io_context& context_in, const clock_source& clock_in, metrics& counts_in,
          gateway_options options_in);
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;
  gateway(gateway&&) = delete;
  gateway& operator=(gateway&&) = delete;

  /// \brief Makes a snapshot current if it is newer; requests in flight keep the snapshot they started with.
  void apply(std::shared_ptr<const routing_snapshot> snapshot_in);
  void set_nodes(gateway_nodes nodes_in);
  /// \brief Records until when a configuration of at least this version is known to be the newest one.
  void set_confirmation(config_version version, time_point valid_until);
  /// \brief Returns false if requests with keys must be refused because the configuration may be outdated.
  [[nodiscard]] bool is_configuration_confirmed(time_point now) const noexcept;
  /// \brief Sets which nodes hold shares of accounts' limits.
  void set_limit_holders(limit_holders holders_in);
  /// \brief Answers another node's asks for tokens, and takes the tokens that it grants.
  void apply_account_messages(const account_messages& messages, const ip_endpoint& sender);
  /// \brief Returns the accounts in use whose limits this node applies.
  [[nodiscard]] std::vector<account_usage> account_usages() const;
  /// \brief Applies what another node tells about the objects that backend servers hold.
  void apply_notices(const std::vector<holder_notice>& notices);
  /// \brief Applies what another node tells about requests that were at servers when these crashed.
  void apply_crash_reports(const std::vector<crash_report>& reports);
  /// \brief   Passes on again which requests are quarantined, and which are not any more, as if this node had
  ///          just found out.
  /// \details For a store that was restored from a copy. Of all serving nodes, one does it for each request.
  void repeat_quarantine_changes();
  /// \brief Handles a caller's request and writes the response to the exchange.
  void handle(const std::shared_ptr<caller_exchange>& exchange);
  /// \brief Handles a request that another node has forwarded, and writes the response to the exchange.
  void handle_forwarded(const std::shared_ptr<caller_exchange>& exchange);

  /// \brief   Answers all requests by this time, because the process ends soon after.
  /// \details Requests that wait, and those that arrive later, are refused at once if that is too late.
  ///          A request that may run only once is not sent any more if its deadline is later. What is at
  ///          a server at that time is ended, unless its response has begun.
  void begin_stop(time_point answer_by_in);
  /// \brief   Tells why a request with this head and first byte would not be sent, whenever its body arrives.
  /// \details Its deadline has passed, or the node is stopping; nullopt if it may be sent.
  [[nodiscard]] std::optional<reason> refusal_by_head(const request_head& head, time_point started) const;
  /// \brief Tells a caller that a request which is read no further has not run.
  void refuse_partial(const std::shared_ptr<caller_exchange>& exchange, reason why);
  /// \brief Tells the same to a node that was forwarding the request.
  void refuse_partial_forwarded(const std::shared_ptr<caller_exchange>& exchange, reason why);

  [[nodiscard]] link_monitor& link_state() noexcept { return this->links; }
  [[nodiscard]] std::size_t requests_in_flight() const noexcept { return this->flows.size(); }
  [[nodiscard]] const routing_snapshot* snapshot() const noexcept { return this->current_snapshot.get(); }
  /// \brief Returns the record of a finished request as JSON, or nullopt if it is no longer kept.
  [[nodiscard]] std::optional<std::string> find_record(const std::string& request) const {
    return this->records.find(request);
  }
  /// \brief Returns the largest timeout of all routes, or 0 while there are no routes.
  [[nodiscard]] duration max_route_timeout() const noexcept;
  /// \brief Returns which backend servers get no requests or a limited rate of them, and why.
  [[nodiscard]] std::vector<backend_restriction> backend_restrictions() const {
    return this->backends.restrictions(this->clock.now());
  }
  /// \brief Returns current values for the metrics page.
  [[nodiscard]] std::vector<gauge> gauges() const;

  /// Retry-After while the configuration is not known to be current.
  static constexpr duration unconfirmed_retry_after{500};

 private:
  friend class request_flow;
  friend class health_check;

  /// Starts the flow of a request, or refuses it.
  /// \param forwarded What the node that forwarded the request tells; null if it comes from a caller.
  void admit(const std::shared_ptr<caller_exchange>& exchange, const forwarded_request* forwarded);
  /// Returns the route that a request takes on arrival; null if there is none.
  [[nodiscard]] const route* find_route(const request_head& head) const;
  /// Returns the time by which a request must be answered that arrived at `arrived`: the caller's or the
  /// route's, whichever is earlier.
  [[nodiscard]] time_point deadline_of(const request_head& head, const route& wanted,
                                       time_point arrived) const;
  /// Returns the account that a request has on arrival, by its key or by what its sender tells.
  [[nodiscard]] std::optional<account_identity> identify_account(const request_head& head,
                                                                 const forwarded_request* forwarded) const;
  /// Decides whether a request may be sent under the current snapshot and its confirmation.
  [[nodiscard]] access_decision check_access(const std::optional<account_identity>& identity,
                                             const route& wanted) const;
  /// Responds to a request that has no flow.
  void refuse_unplaced(caller_exchange& exchange, int status, reason why, bool is_forwarded,
                       const std::optional<account_identity>& identity = std::nullopt);
  /// Hands requests that wait for a backend server, or may be repeated, to other nodes while the links to the
  /// servers are lost.
  void forward_stranded_requests();
  /// Returns the pool for the backend server's current address, created on first use; null if the address
  /// cannot be read.
  [[nodiscard]] backend_pool* pool_for(const backend_state& backend);
  /// Returns a connection to the pool that lent it.
  void release_connection(const backend_state& backend, std::shared_ptr<backend_connection> connection);
  /// Returns the number of connections that this node may have to the backend server.
  [[nodiscard]] std::size_t connection_limit(const backend_state& backend) const;
  /// Applies what a backend server says about itself in a response, and logs what that changes.
  void apply_statement(backend_state& sender, const backend_statement& statement);
  /// Logs and counts it if a server's own statement has taken the last server of its service out of use.
  void note_withheld(const backend_state& sender);
  /// Sends queued requests while the backend server has room.
  void dispatch_waiting(const std::shared_ptr<backend_state>& backend);
  /// Places queued requests again that have waited longer than expected.
  void reassign_overdue(const std::shared_ptr<backend_state>& backend);
  /// Places all requests in the backend server's queue again.
  void reassign_waiting(const std::shared_ptr<backend_state>& backend);
  void reassign_waiting(const std::vector<wait_ticket>& tickets);
  /// Records that a request's connection ended without a response, and checks if the server has crashed.
  void on_request_lost(backend_state& backend, const lost_request& lost);
  /// Records that a request was given up although the server had sent no part of a response for some time.
  void on_request_given_up(const backend_state& backend, const lost_request& lost);
  /// Records that no process listens at the server's address. If it had requests, they are suspected only
  /// once another server has shown that this node's links are up.
  void on_backend_refused(backend_state& backend);
  /// True if a connection to the server is open that is idle or has not been silent for long. The process has
  /// not ended then, even if new connections are refused.
  [[nodiscard]] bool has_open_connection(const backend_state& backend) const;
  /// True if the server has lost requests and nothing tells yet if it has crashed.
  [[nodiscard]] bool is_crash_undecided(const backend_state& backend) const;
  /// Places requests again that waited for the news that a server has crashed.
  void resume_held_retries();
  /// Records that the server has crashed.
  void on_backend_crashed(std::uint64_t backend, time_point noticed_at);
  /// Judges the servers that were found refusing before the links were shown to be up.
  void judge_refusals();
  /// Chooses a server for a request. While the links are in doubt, a request that would be refused may use a
  /// suspended server to which a connection is open.
  [[nodiscard]] placement_decision choose_backend(const placement_request& request, time_point now);
  /// Takes back what was concluded about servers since the links failed.
  void on_links_failed();
  /// Checks the servers that lost requests while the links may have failed.
  void on_links_returned();
  /// True if failures are due to this node's links.
  [[nodiscard]] bool has_link_trouble() const noexcept {
    return this->links.state() >= link_condition::half_open;
  }
  /// Logs quarantined and released requests, refuses those that wait, and tells other nodes.
  /// \param found_here False if other nodes have reported the changes.
  void publish_crashes(bool found_here);
  /// Refuses the requests with this fingerprint that wait.
  void refuse_waiting(request_fingerprint request);
  /// Applies the current snapshot's limits.
  void apply_account_limits();
  /// Sends due asks for tokens.
  void send_account_asks();
  /// Lets requests go on that wait for a token, or ends them, in the order of their arrival.
  void serve_waiting_for_tokens();
  void tick();
  /// Logs it, once a second at most, if requests or responses had to give up memory.
  void log_memory_shortage(time_point now);
  /// Acts on changes of the state of the links.
  void update_links();
  /// Starts a round of link checks if one is wanted.
  void start_link_checks();
  /// Starts a health check unless one of this server is in progress. Returns false if none can be made.
  [[nodiscard]] bool start_health_check(const std::shared_ptr<backend_state>& backend);
  [[nodiscard]] retry_limiter& retry_limiter_for(const service_id& service);
  /// Takes one retry of requests to the service from the budget of all nodes; returns false if there is none.
  [[nodiscard]] bool try_consume_retry(const service_id& service);
  /// Closes expired idle connections and removes the pools of servers that no longer exist.
  void clean_up_pools();
  void start_health_checks();

  boost::asio::io_context& context;
  const clock_source& clock;
  metrics& counts;
  gateway_options options;
  backend_table backends;
  crash_ledger crashes;
  link_monitor links;
  // The state of the links that `update_links` has acted on.
  link_condition handled_links{link_condition::up};
  std::size_t link_rounds{0};
  // Servers that refused connections while they had requests, and when that was noticed, until it is known
  // if the links are up.
  std::vector<std::pair<std::uint64_t, time_point>> refusals;
  weighted_split split;
  std::shared_ptr<const routing_snapshot> current_snapshot;
  std::map<backend_id, std::unique_ptr<backend_pool>> pools;
  std::map<service_id, retry_limiter> retry_limiters;
  // Requests in flight by ticket.
  std::map<wait_ticket, std::shared_ptr<request_flow>> flows;
  // Health checks in progress.
  std::map<backend_id, std::unique_ptr<health_check>> health_checks;
  wait_ticket next_ticket{1};
  // Requests that wait to be repeated.
  std::vector<wait_ticket> held_retries;
  recent_records records;
  gateway_nodes nodes;
  config_version confirmed_version;
  time_point confirmed_until;
  // Null while no accounts are configured.
  std::unique_ptr<account_limits> limits;
  limit_holders holders;
  // Requests that wait for a token of their account.
  std::deque<wait_ticket> waiting_for_tokens;
  std::unique_ptr<peer_forwarding> peers;
  // Requests of other nodes among `flows`.
  std::size_t forwarded_in_flight{0};
  // Set once the node is stopping.
  std::optional<time_point> answer_by;
  boost::asio::steady_timer tick_timer;
  time_point pools_cleaned_at;
  time_point shortage_logged_at;
  std::uint64_t logged_shortages{0};
};

}  // namespace zinnia
