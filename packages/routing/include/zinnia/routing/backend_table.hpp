// All backend servers as this node sees them, and the choice among them for one request.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/reason.hpp"
#include "zinnia/routing/backend_state.hpp"
#include "zinnia/routing/declarations.hpp"
#include "zinnia/routing/placement_settings.hpp"
#include "zinnia/routing/work_estimate.hpp"

namespace zinnia {

/// \brief Where a node or a backend server stands.
struct location {
  failure_domain_id domain;
  region_id region;
};

/// \brief One request as placement sees it.
struct placement_request {
  const route* matched_route{nullptr};
  service_id service;
  /// Hash of the object that the request concerns; nothing if it names none.
  std::optional<std::uint64_t> object;
  /// Whether it may run more than once.
  bool repeatable{true};
  /// Hash of the request, by which moves take their part of the requests that name no object.
  std::uint64_t request_hash{0};
  time_point deadline;
  /// Backend servers that have already been tried.
  const std::vector<backend_id>* tried{nullptr};
};

enum class placement_action : unsigned char { send, wait, refuse };

/// \brief What to do with a request, and what decided it.
struct placement_decision {
  placement_action action{placement_action::refuse};
  /// For a refusal.
  reason refusal_reason{reason::none};
  /// For a refusal: when there is likely to be room.
  duration retry_after{0};
  std::shared_ptr<backend_state> target;
  /// What is known of whether the target holds the object.
  warmth expected_warmth{warmth::none};
  /// From sending to the answer, without the wait for a slot.
  duration expected_work{0};
  /// From sending to the answer as expected with the present load.
  duration expected_total{0};
  /// Load of the target when it was chosen.
  double load{0};
  /// Backend servers that could have been chosen.
  int candidates{0};
};

/// \brief   State of all backend servers at one node. Not thread safe.
///
/// \details Loads answered: objects asked for again and again go where they are remembered; when that server
///          has no room, the request waits there, goes elsewhere or is refused, whichever ends soonest within
///          its deadline, with distance, bytes and the slots that a miss takes counted in.
class backend_table {
 public:
  /// \param regions The region of each known failure domain.
  backend_table(location here_in, std::map<failure_domain_id, region_id> regions_in)
      : here{std::move(here_in)}, regions{std::move(regions_in)} {}

  /// \brief Takes over what a snapshot declares; state of servers that stay is kept.
  void apply(const routing_snapshot& snapshot, time_point now);
  /// \brief Decides which cold servers this node warms.
  /// \param alive Nodes heard of, this one included.
  /// \param staffed Regions with nodes of their own, heard of or not; their servers are theirs to warm.
  void assign_warmup(const std::map<node_id, location>& alive, const std::set<region_id>& staffed,
                     const node_id& self);

  [[nodiscard]] placement_decision choose(const placement_request& request, time_point now);

  /// \name Learning
  /// \{
  void record_round_trip(const backend_state& backend, duration took);
  [[nodiscard]] work_estimate& estimate(const route& rule, const service_id& service);
  /// \brief Notes the time for which a request that found a free slot held it.
  void record_service_time(const service_id& service, double took_ms);
  [[nodiscard]] duration round_trip(const backend_state& backend) const;
  /// \}

  [[nodiscard]] std::vector<std::shared_ptr<backend_state>> due_for_health_check(time_point now) const;
  /// \brief Whether another request may be sent to the server at this moment.
  [[nodiscard]] bool has_capacity(const backend_state& backend, time_point now) const;
  [[nodiscard]] const std::vector<std::shared_ptr<backend_state>>& all() const noexcept { return this->list; }
  [[nodiscard]] std::shared_ptr<backend_state> find(const backend_id& id) const;
  [[nodiscard]] const service_declaration* service(const service_id& id) const;
  /// \brief The settings in force for a service at this node.
  [[nodiscard]] const placement_settings& settings_of(const service_id& id) const;
  [[nodiscard]] bool is_eligible(const backend_state& backend, time_point now) const;

 private:
  struct domain_entry {
    failure_domain_id id;
    region_id region;
  };
  struct group_member {
    std::shared_ptr<backend_state> backend;
    // Position in `domains`.
    std::size_t domain{0};
  };
  using member_list = std::vector<const group_member*>;
  struct service_group {
    service_declaration declaration;
    placement_settings settings;
    std::vector<group_member> members;
    // Average time for which a request holds a slot, in ms; turns queue lengths into waits.
    double mean_work_ms{80};
  };
  /// What one request needs of a failure domain.
  struct domain_view {
    bool allowed{true};
    double round_trip_ms{0};
    double transfer_ms{0};
    // Weight of one slot there among the homes of an object.
    double slot_weight{0};
  };
  /// A request with everything that is the same for all servers, looked up once.
  struct request_view {
    const placement_request& request;
    const work_estimate& estimate;
    time_point now;
    // As `domains`.
    std::vector<domain_view> domains;
  };
  struct candidate {
    const group_member* member{nullptr};
    warmth expected_warmth{warmth::none};
    double round_trip_ms{0};
    double work_ms{0};
    double wait_ms{0};
    double cost_ms{0};
    [[nodiscard]] double total_ms() const noexcept {
      return this->round_trip_ms + this->wait_ms + this->work_ms;
    }
  };

  [[nodiscard]] request_view view(const service_group& group, const placement_request& request,
                                  time_point now);
  [[nodiscard]] double slot_weight(const service_group& group, const domain_entry& domain,
                                   const placement_request& request, const work_estimate& estimate) const;
  [[nodiscard]] member_list usable(const service_group& group, const request_view& view) const;
  /// The servers that may handle an object, best first.
  [[nodiscard]] static member_list homes_of(const service_group& group, const member_list& among,
                                            const request_view& view);
  [[nodiscard]] static candidate weigh(const service_group& group, const request_view& view,
                                       const group_member& member, const group_member* home,
                                       double utilisation);
  [[nodiscard]] double transfer_cost(const service_group& group, const domain_entry& domain,
                                     double kib) const;
  [[nodiscard]] placement_decision refuse(reason refusal_reason, duration retry_after, int candidates) const;
  /// Leaves only the region to which a move sends this request, if servers there can take it.
  void follow_moves(const placement_request& request, member_list& among) const;
  [[nodiscard]] duration round_trip_to(const failure_domain_id& domain) const;
  [[nodiscard]] region_id region_of(const failure_domain_id& domain) const;

  location here;
  std::map<failure_domain_id, region_id> regions;
  std::map<service_id, service_group> services;
  std::map<backend_id, std::shared_ptr<backend_state>> backends;
  // As `backends`.
  std::vector<std::shared_ptr<backend_state>> list;
  // Failure domains in which there are servers.
  std::vector<domain_entry> domains;
  std::map<failure_domain_id, double> round_trips;
  std::set<failure_domain_id> evacuated;
  shift_state shifts;
  absl::flat_hash_map<std::string, work_estimate> estimates;
};

}  // namespace zinnia
