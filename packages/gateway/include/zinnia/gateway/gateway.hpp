// The traffic side of a node: takes callers' requests to backend servers and their answers back.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "zinnia/core/clock.hpp"
#include "zinnia/gateway/wire_dialect.hpp"
#include "zinnia/http/backend_pool.hpp"
#include "zinnia/http/caller_connection.hpp"
#include "zinnia/observe/metrics.hpp"
#include "zinnia/observe/recent_records.hpp"
#include "zinnia/routing/backend_table.hpp"
#include "zinnia/routing/declarations.hpp"
#include "zinnia/routing/retry_token_bucket.hpp"
#include "zinnia/routing/route_table.hpp"
#include "zinnia/routing/weighted_split.hpp"

namespace zinnia {

class request_flow;
class health_check;

/// \brief What a gateway is told at its start.
struct gateway_options {
  node_id self;
  location here;
  std::map<failure_domain_id, region_id> regions;
  wire_dialect dialect;
  retry_budget_settings retry_budget;
  /// Bytes of request bodies that may be held at once.
  std::size_t body_memory{64 << 20};
  /// Finished requests that can be asked for.
  std::size_t fate_records{1000};
};

/// \brief The nodes that send to the same backend servers.
struct gateway_nodes {
  /// Living nodes that callers are told of.
  std::map<node_id, location> serving;
  /// Regions with nodes of their own, heard of or not.
  std::set<region_id> staffed;
  /// All nodes that may send; limits that all keep together are divided by it.
  std::size_t all{1};
};

/// \brief   Routes requests and keeps what is known of backend servers.
/// \details All members are called on the thread that runs the context.
class gateway {
 public:
  gateway(boost::asio::io_context& context_in, const clock_source& clock_in, metrics& counts_in,
          gateway_options options_in);
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;
  gateway(gateway&&) = delete;
  gateway& operator=(gateway&&) = delete;

  /// \brief Puts a newer snapshot in force; requests under way keep theirs.
  void apply(std::shared_ptr<const routing_snapshot> snapshot_in);
  void set_nodes(gateway_nodes nodes_in);
  /// \brief Takes a caller's request; its answer goes to the exchange.
  void handle(const std::shared_ptr<caller_exchange>& exchange);

  [[nodiscard]] std::size_t requests_under_way() const noexcept { return this->flows.size(); }
  [[nodiscard]] const routing_snapshot* snapshot() const noexcept { return this->current.get(); }
  /// \brief The record of a finished request as JSON, if it is still kept.
  [[nodiscard]] std::optional<std::string> find_record(const std::string& request) const {
    return this->records.find(request);
  }
  /// \brief The longest time for which any route lets a request wait; 0 while none is known.
  [[nodiscard]] duration longest_timeout() const noexcept;
  /// \brief Figures of the moment for the metrics page.
  [[nodiscard]] std::vector<gauge> gauges() const;

 private:
  friend class request_flow;
  friend class health_check;

  [[nodiscard]] backend_pool& pool_of(const backend_state& backend);
  [[nodiscard]] std::size_t connection_limit(const backend_state& backend) const;
  void pump(const std::shared_ptr<backend_state>& backend);
  void review(const std::shared_ptr<backend_state>& backend);
  void place_again(const std::shared_ptr<backend_state>& backend);
  void place_again(const std::vector<wait_ticket>& tickets);
  void tick();
  void trim_pools();
  void check_health();

  boost::asio::io_context& context;
  const clock_source& clock;
  metrics& counts;
  gateway_options options;
  backend_table table;
  weighted_split split;
  std::shared_ptr<const routing_snapshot> current;
  std::map<backend_id, std::unique_ptr<backend_pool>> pools;
  std::map<service_id, retry_token_bucket> allowances;
  // Requests under way by ticket.
  std::map<wait_ticket, std::shared_ptr<request_flow>> flows;
  std::map<backend_id, std::unique_ptr<health_check>> checks;
  wait_ticket next_ticket{1};
  recent_records records;
  std::size_t body_bytes{0};
  gateway_nodes nodes;
  boost::asio::steady_timer timer;
  time_point trimmed_at;
};

}  // namespace zinnia
