// The backend servers known to this node and the placement of requests on them.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/reason.hpp"
#include "zinnia/routing/backend_restriction.hpp"
#include "zinnia/routing/backend_state.hpp"
#include "zinnia/routing/cold_limit_settings.hpp"
#include "zinnia/routing/copy_ledger.hpp"
#include "zinnia/routing/declarations.hpp"
#include "zinnia/routing/holder_notice.hpp"
#include "zinnia/routing/object_homes.hpp"
#include "zinnia/routing/placement_settings.hpp"
#include "zinnia/routing/region_filter.hpp"
#include "zinnia/routing/region_shares.hpp"
#include "zinnia/routing/request_priority.hpp"
#include "zinnia/routing/work_estimate.hpp"

namespace zinnia {

/// \brief Failure domain and region of a node or a backend server.
struct location {
  failure_domain_id domain;
  region_id region;
};

/// \brief The properties of a request that placement depends on.
struct placement_request {
  const route* matched_route{nullptr};
  /// Regions in which the request may be handled.
  region_filter regions;
  request_priority priority;
  /// Empty if no accounts are configured.
  std::optional<fair_share> share{};
  service_id service;
  /// Hash of the object that the request names; empty if it names none.
  std::optional<std::uint64_t> object;
  /// True if the request may run more than once.
  bool repeatable{true};
  /// Hash of the request; traffic moves use it to select requests that name no object.
  std::uint64_t request_hash{0};
  time_point deadline;
  /// Backend servers that earlier attempts used; may be null.
  const std::vector<backend_id>* tried{nullptr};
};

enum class placement_action : unsigned char { send, wait, refuse };

/// \brief The action for a request and the values that led to it.
struct placement_decision {
  placement_action action{placement_action::refuse};
  /// Set for a refusal.
  reason refusal_reason{reason::none};
  /// Set for a refusal: estimated time until there is capacity.
  duration retry_after{0};
  std::shared_ptr<backend_state> target;
  /// Whether the target is expected to hold the object.
  warmth expected_warmth{warmth::none};
  /// Expected time until the target has loaded the object, if it does not hold it.
  duration expected_load_time{0};
  /// Expected time from sending to the response, without the wait for a slot.
  duration expected_work{0};
  /// Expected time from sending to the response under the current load, including the wait for a slot.
  duration expected_total{0};
  /// Load of the target at the time of the decision, in requests.
  double load{0};
  /// The number of eligible backend servers.
  int candidates{0};
};

/// \brief One finished attempt at a backend server.
struct attempt_report {
  const route& matched_route;
  const service_id& service;
  const placement_decision& decision;
  std::optional<std::uint64_t> object;
  backend_outcome outcome{backend_outcome::responded};
  /// From sending the request to the end of the response.
  duration took{0};
  double response_kib{0};
};

/// \brief   State of all backend servers at one node. Not thread safe.
///
/// \details Requests for an object go to the homes that all nodes of the region agree on, where other nodes'
///          requests have made a server load it; notices between nodes tell which. An object that no server
///          holds goes to the first home that is not busy. Another home, or a server of the own failure
///          domain, gets a copy once requests have paid for it (`copy_ledger`). Requests spill over to other
///          servers only while the service has spare capacity. Among the servers that can respond within the
///          deadline, including the wait for a slot, placement picks the one with the lowest cost: expected
///          time plus costs for failures, for transferring bytes and for the slots that a miss occupies. A
///          request waits if that server is full and is refused if no server can respond in time.
class backend_table {
 public:
  /// \param regions_by_domain_in The region of each known failure domain, until a snapshot has newer ones.
  backend_table(location own_location_in, std::map<failure_domain_id, region_id> regions_by_domain_in)
      : own_location{std::move(own_location_in)}, regions_by_domain{std::move(regions_by_domain_in)} {}

  /// \brief Applies a snapshot. Keeps the state of servers that remain declared.
  void apply(const routing_snapshot& snapshot, time_point now);
  /// \brief Applies the nodes that send requests to the same servers. Decides which cold servers this node
  ///        warms (each is warmed by one of the nearest nodes), and its part of each server's rate limit.
  /// \param alive Nodes that are alive, including this one.
  /// \param regions_with_nodes Regions with registered nodes, alive or not. Only these nodes warm the
  ///                           region's servers or have large parts of their limits.
  /// \param registered_serving The number of nodes that serve if all registered ones are alive. Of other
  ///                           regions this node may hear nothing, but they send as well.
  void set_nodes(const std::map<node_id, location>& alive, const std::set<region_id>& regions_with_nodes,
                 const node_id& self, time_point now, std::size_t registered_serving = 0);

  /// \brief Sets the bound on requests to cold servers.
  void set_cold_limits(const cold_limit_settings& limits) noexcept { this->cold_limits = limits; }

  [[nodiscard]] placement_decision choose(const placement_request& request, time_point now);

  /// \name Learning
  /// \{
  /// \brief Records that a request was sent to the target of its decision.
  void record_send(const placement_decision& decision, const service_id& service,
                   std::optional<std::uint64_t> object, time_point now);
  void record_attempt(const attempt_report& attempt, time_point now);
  /// \brief Returns and clears how long servers took from their return to their full share.
  [[nodiscard]] std::vector<duration> take_recovery_times() {
    return std::exchange(this->recovery_times, {});
  }
  /// \brief Returns and clears what other nodes should know about the objects that servers hold.
  [[nodiscard]] std::vector<holder_notice> take_notices();
  /// \brief Applies notices of another node. Ignores those about unknown servers.
  void apply_notices(const std::vector<holder_notice>& notices, time_point now);
  void record_round_trip(const backend_state& backend, duration took);
  [[nodiscard]] work_estimate& estimate(const route& matched_route, const service_id& service);
  [[nodiscard]] duration round_trip(const backend_state& backend) const;
  /// \}

  [[nodiscard]] std::vector<std::shared_ptr<backend_state>> due_for_health_check(time_point now) const;
  /// \brief Returns false for servers that must not get even health checks: they are draining, leaving, busy
  /// or
  ///        evacuated.
  [[nodiscard]] bool may_be_checked(const backend_state& backend, time_point now) const;
  /// \brief Returns true if the server can take another request now, given its slots, the requests and
  ///        responses in transit, and the overcommit.
  [[nodiscard]] bool has_capacity(const backend_state& backend, time_point now) const;
  [[nodiscard]] const std::vector<std::shared_ptr<backend_state>>& all() const noexcept {
    return this->backend_list;
  }
  [[nodiscard]] std::shared_ptr<backend_state> find(const backend_id& id) const;
  /// \brief Returns the server whose id has that hash, or null.
  [[nodiscard]] std::shared_ptr<backend_state> find_by_hash(std::uint64_t hash) const;
  [[nodiscard]] const service_declaration* service(const service_id& id) const;
  /// \brief Returns the effective settings of a service at this node; defaults for an unknown service.
  [[nodiscard]] const placement_settings& settings_of(const service_id& id) const;
  /// \brief Returns true if the server is not suspended, draining, leaving, busy, evacuated or closed.
  [[nodiscard]] bool is_in_use(const backend_state& backend, time_point now) const;
  /// \brief Returns true if the server may get a new request now: it is in use, its rate limit permits
  ///        another request, and if it is cold, this node warms it and its request rate permits another one.
  [[nodiscard]] bool is_eligible(const backend_state& backend, time_point now) const;
  /// \brief Returns the restrictions of all servers, ordered by server and kind. A server is in use if it has
  ///        none, or only a rate limit.
  [[nodiscard]] std::vector<backend_restriction> restrictions(time_point now) const;

 private:
  struct domain_entry {
    failure_domain_id id;
    region_id region;
  };
  struct group_member {
    std::shared_ptr<backend_state> backend;
    // Index into `domains`.
    std::size_t domain{0};
  };
  using member_list = std::vector<const group_member*>;
  struct service_group {
    service_declaration declaration;
    placement_settings settings;
    std::vector<group_member> members;
    // Mean time in ms for which a request occupies a slot; converts queue lengths to waiting times.
    double mean_slot_time_ms{80};
    int slot_time_samples{0};
    // Mean of time taken over typical time, of servers that are not recovering.
    double mean_slowness{1};
    // Weight of one slot in each failure domain for the objects of this region's callers; parallel to
    // `domains`.
    std::vector<double> slot_weights;
  };
  /// What it costs to send one request to a failure domain.
  struct domain_costs {
    bool allowed{true};
    double round_trip_ms{0};
    double transfer_ms{0};
    // The same for a response size that changes rarely.
    double stable_transfer_ms{0};
    // Weight of one slot when homes of objects are chosen.
    double slot_weight{1};
    bool is_own_domain{false};
    bool is_own_region{false};
  };
  /// A request and the values that are the same for all servers, computed once.
  struct request_context {
    const placement_request& request;
    const work_estimate& estimate;
    time_point now;
    // Parallel to `backend_table::domains`.
    std::vector<domain_costs> domains;
  };
  /// The members that may hold an object.
  struct home_members {
    member_list shared;
    const group_member* in_domain{nullptr};
    const group_member* relief{nullptr};
    // True if any of them holds the object or is loading it.
    bool has_holder{false};
  };
  struct candidate {
    const group_member* member{nullptr};
    warmth expected_warmth{warmth::none};
    double round_trip_ms{0};
    double work_ms{0};
    double wait_ms{0};
    // Costs of the server's load and failures.
    double busy_ms{0};
    // Round trip and transfer.
    double distance_ms{0};
    double cost_ms{0};
    [[nodiscard]] double total_ms() const noexcept {
      return this->round_trip_ms + this->wait_ms + this->work_ms;
    }
  };

  [[nodiscard]] request_context make_context(const service_group& group, const placement_request& request,
                                             time_point now);
  /// Applies the service's settings to its servers and its weights of slots.
  void apply_settings(service_group& group) const;
  /// Sets the service's weights of slots from the declared servers.
  void update_slot_weights(service_group& group) const;
  /// Records how long a request that did not have to wait for a slot occupied one.
  void record_service_time(const service_id& service, double took_ms);
  [[nodiscard]] member_list eligible_members(const service_group& group,
                                             const request_context& context) const;
  [[nodiscard]] static home_members homes_for(const service_group& group, const member_list& among,
                                              const request_context& context);
  [[nodiscard]] static warmth expected_warmth(const request_context& context, const group_member& member,
                                              const home_members& homes);
  [[nodiscard]] static candidate evaluate(const service_group& group, const request_context& context,
                                          const group_member& member, const home_members& homes,
                                          double utilisation);
  /// Returns a home that does not hold the object yet, if the object has paid for a copy and it can respond
  /// in time.
  [[nodiscard]] std::optional<candidate> find_paid_copy(const service_group& group,
                                                        const request_context& context,
                                                        const home_members& homes, const candidate& best,
                                                        double utilisation);
  [[nodiscard]] double transfer_cost(const service_group& group, const domain_entry& domain,
                                     double kib) const;
  /// Returns how many requests a second this node may send to a cold server that it warms.
  [[nodiscard]] double cold_rate(const backend_state& backend,
                                 const service_declaration& service) const noexcept;
  /// Applies the service's setting to a server, and begins its recovery if it has just started.
  static void set_recovery(const std::map<service_id, service_group>& groups, backend_state& backend,
                           bool starts, time_point now);
  /// Updates a recovering server, or what is usual for the service, with the time that an answer took.
  void record_slowness(const service_id& service, backend_state& backend, double slowness, duration took,
                       time_point now);
  /// Remembers the servers that said that they were leaving and are not in `next`.
  void remember_departed(const std::map<backend_id, std::shared_ptr<backend_state>>& next);
  /// Refuses a request for which no server is eligible.
  [[nodiscard]] placement_decision refuse_without_backend(const service_group& group,
                                                          const request_context& context) const;
  /// True if the server is suspended, draining, leaving, evacuated or closed, for an unknown time.
  [[nodiscard]] bool is_withdrawn(const backend_state& backend) const;
  [[nodiscard]] placement_decision refuse(reason refusal_reason, duration retry_after, int candidates) const;
  /// If a move sends this request to another region and `among` has servers there, keeps only those.
  void apply_traffic_moves(const placement_request& request, member_list& among) const;
  [[nodiscard]] duration round_trip_to(const failure_domain_id& domain) const;
  [[nodiscard]] region_id region_of(const failure_domain_id& domain) const;

  location own_location;
  std::map<failure_domain_id, region_id> regions_by_domain;
  std::map<service_id, service_group> services;
  std::map<backend_id, std::shared_ptr<backend_state>> backends;
  // The values of `backends` in the same order.
  std::vector<std::shared_ptr<backend_state>> backend_list;
  // Failure domains that contain backend servers.
  std::vector<domain_entry> domains;
  std::map<failure_domain_id, double> round_trip_ms_by_domain;
  std::set<failure_domain_id> evacuated;
  shift_state shifts;
  absl::flat_hash_map<std::string, work_estimate> estimates;
  // Servers that said that they were leaving and are no longer declared, and their start times: an entry that
  // returns after an outage of the store does not bring them back into use. Bounded.
  std::map<backend_id, std::int64_t> departed;
  // The values of `backends` by the hash of their id.
  absl::flat_hash_map<std::uint64_t, std::shared_ptr<backend_state>> backends_by_hash;
  copy_ledger copies;
  cold_limit_settings cold_limits;
  // Durations of finished recoveries.
  std::vector<duration> recovery_times;
  std::vector<holder_notice> outgoing_notices;
};

}  // namespace zinnia
