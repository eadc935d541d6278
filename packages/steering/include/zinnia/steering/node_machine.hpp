// The control logic of one node as a deterministic state machine: typed inputs in, typed actions out, no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "zinnia/core/peer_messages.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/steering/lease.hpp"
#include "zinnia/steering/traffic_view.hpp"

namespace zinnia {

/// \brief Who this node is; fixed for one run of the process.
struct node_identity {
  node_id id;
  region_id region;
  failure_domain_id domain;
  incarnation_id incarnation;
  std::string caller_address;
  std::string peer_address;
};

/// \brief How a read or write of the platform's store ended, as the control logic needs it.
enum class store_outcome : unsigned char { ok, not_found, conflict, unavailable, unknown };

/// \name Actions
/// \{
struct send_action {
  node_id to;
  peer_message message;
};
struct read_action {
  std::string key;
};
struct write_action {
  std::string key;
  std::string value;
  object_version expected;
};
using node_action = std::variant<send_action, read_action, write_action>;
/// \}

/// \brief   What the control logic asks of the traffic side.
/// \details Answers must be current: a holding is handed over only once nothing uses it.
class occupancy {
 public:
  occupancy() = default;
  occupancy(const occupancy&) = delete;
  occupancy& operator=(const occupancy&) = delete;
  occupancy(occupancy&&) = delete;
  occupancy& operator=(occupancy&&) = delete;
  virtual ~occupancy() = default;

  /// \brief Whether a closed upstream or bucket has nothing in flight and nothing unwritten.
  [[nodiscard]] virtual bool is_idle(const holding_id& holding) const = 0;
  [[nodiscard]] virtual std::int64_t in_flight(const share_key& key) const = 0;
  [[nodiscard]] virtual std::vector<service_load> loads(time_point now) const = 0;
  /// \brief Whether a key home of this node dispatches, or is about to, ahead of its journal.
  [[nodiscard]] virtual bool is_journal_behind() const = 0;
  /// \brief Requests in flight by any path.
  [[nodiscard]] virtual std::int64_t total_in_flight() const = 0;
};

/// \brief   Membership, leases, holdings, shares and settings of one node.
///
/// \details Not thread safe. The caller performs `take_actions()` after each input and hands back what came
///          of them; reads and writes of the store are performed one at a time, in the order given.
///          Invariants: the settings version and each table's version never fall; `view().valid_until` is
///          past only while a heir's promise or a renewal covers it; the table written differs from the one
///          read only by edits that this node may make.
///
/// \code
/// machine.tick(clock.now(), unix_time_ms());
/// for (auto& action : machine.take_actions()) { perform(action); }
/// \endcode
class node_machine {
 public:
  node_machine(node_identity self, lease_terms lease, const occupancy& traffic, std::uint64_t seed);

  /// \name Inputs
  /// \{
  void tick(time_point now, std::int64_t now_unix_ms);
  void receive(time_point now, const node_id& from, const peer_message& message);
  void object_read(time_point now, const std::string& key, store_outcome outcome, object_version version,
                   const std::string& value);
  /// \param sent When the write was handed to the store.
  void object_written(time_point now, const std::string& key, store_outcome outcome, object_version version,
                      time_point sent);
  /// \brief A watch or a list showed that objects exist in these versions.
  void objects_seen(const std::vector<known_object>& seen);
  /// \brief Begins a graceful stop.
  void begin_leaving() noexcept { this->stopping = true; }
  /// \}

  /// \name Outputs
  /// \{
  [[nodiscard]] std::vector<node_action> take_actions();
  [[nodiscard]] const traffic_view& view() const noexcept { return this->current; }
  /// \brief Grows whenever `view()` changes.
  [[nodiscard]] std::uint64_t view_revision() const noexcept { return this->revision; }
  /// \brief Whether this node is one of its failure domain's watchers of the store.
  [[nodiscard]] bool should_watch() const;
  /// \brief Nothing is held and nothing is in flight after `begin_leaving`.
  [[nodiscard]] bool has_left() const noexcept { return this->left; }
  /// \brief Whether a settings drain of this entry has begun.
  [[nodiscard]] bool is_drained() const noexcept { return this->drained; }
  [[nodiscard]] const std::string& last_settings_error() const noexcept { return this->settings_error; }
  /// \}

 private:
  struct peer_state {
    time_point last_heard{};
    heartbeat last;
    std::optional<heir_watch> watch;
    /// The incarnation that the watch is for.
    incarnation_id watched;
    /// A heartbeat came since this node became the heir, so what it says of the journal can be relied on.
    bool heard_as_heir{false};
  };

  [[nodiscard]] std::string own_table_key() const;
  [[nodiscard]] const holdings_table* own_table() const;
  [[nodiscard]] bool is_member() const;
  [[nodiscard]] const node_entry* own_entry() const;

  // Objects.
  void accept_object(time_point now, const std::string& key, object_version version,
                     const std::string& value);
  void accept_settings(object_version version, const std::string& value);
  void accept_table(time_point now, const region_id& region, object_version version,
                    const std::string& value);
  void accept_vm_list(const std::string& value);
  [[nodiscard]] object_version known_version(const std::string& key) const;
  void request_missing();

  // Membership and leases.
  void observe_gap(time_point now);
  void send_heartbeats(time_point now);
  [[nodiscard]] std::vector<known_object> known_to_tell();
  void on_heartbeat(time_point now, const node_id& from, const heartbeat& message);
  void on_promise(time_point now, const node_id& from, const heir_promise& message);
  void compare_versions(const node_id& from, const heartbeat& message);
  void update_heir_watches(time_point now);
  [[nodiscard]] std::vector<node_id> neighbours() const;

  // Edits of the own region's table.
  void edit_table(time_point now);
  void write_table(const holdings_table& base, holdings_table edited);
  void settle_write();
  void join(holdings_table& table, time_point now);
  void choose_heirs(holdings_table& table, time_point now) const;
  [[nodiscard]] bool answers(const node_id& node, time_point now) const;
  [[nodiscard]] bool is_fit_heir(const holdings_table& table, const node_id& node) const;
  [[nodiscard]] bool any_service_defers() const;
  [[nodiscard]] bool may_have_deferred(const node_id& node, const node_entry& entry) const;
  [[nodiscard]] bool wants_renewal(time_point now) const;
  void take_over(holdings_table& table) const;
  [[nodiscard]] bool is_blind(const holdings_table& table, const node_id& node) const;
  void reassign(holdings_table& table, const node_id& from, std::int64_t blind_before) const;
  void release_holders(holdings_table& table, time_point now) const;
  [[nodiscard]] bool may_take_over(const holdings_table& table, const node_id& node) const;
  [[nodiscard]] bool is_lost(const holdings_table& table, const node_id& node) const;
  void place_holdings(holdings_table& table, time_point now);
  void release_or_keep(holdings_table& table, const holding_id& holding, const node_id& target,
                       time_point now);
  [[nodiscard]] bool holds(const holding_id& holding, const holding_entry& entry) const;
  [[nodiscard]] bool is_released(const holding_id& holding, time_point now);
  static void give_up(holdings_table& table, const holding_id& holding);
  [[nodiscard]] bool is_quarantined(const holding_id& holding, time_point now) const;
  [[nodiscard]] duration quarantine() const;
  [[nodiscard]] std::vector<holding_id> wanted_holdings() const;
  void adjust_shares(holdings_table& table, time_point now);
  void adjust_share(holdings_table& table, const share_key& key, std::int64_t fair);
  void drop_orphan_shares(holdings_table& table, time_point now);
  [[nodiscard]] bool can_leave(const holdings_table& table, time_point now) const;

  // The view.
  void publish(time_point now);
  void note_quarantines(time_point now);
  void publish_upstreams();
  void publish_buckets();
  void publish_shares(time_point now);
  void publish_nodes();
  [[nodiscard]] duration longest_deadline() const;
  [[nodiscard]] bool is_gone(const node_id& node) const;

  node_identity me;
  lease_terms terms;
  const occupancy& traffic;
  std::mt19937_64 random;

  time_point last_tick{};
  std::int64_t unix_now{0};
  time_point next_heartbeat{};
  time_point next_edit{};
  time_point next_poll{};
  std::uint64_t heartbeat_sequence{0};
  /// A change of settings is to be told to every neighbour.
  bool tells_all_once{false};
  /// When each heartbeat still worth an answer was sent, and whether it told of a deferred journal.
  std::map<std::uint64_t, std::pair<time_point, bool>> sent_heartbeats;
  holder_lease lease;
  /// Restarted under the same name: a former process of this node may still be within its term.
  time_point hold_off_until{};
  /// A former process of this node may still have requests in flight under its shares.
  time_point shares_from{};
  time_point leaving_since{};
  /// After a pause the own table must be confirmed before the lease counts again.
  bool must_confirm{true};
  /// Heirs that answered a heartbeat which told of a deferred journal.
  std::set<node_id> deferral_known_by;
  std::map<node_id, time_point> promised_at;
  /// Heirs named in the own region's table that are not in it, and since when.
  std::map<node_id, time_point> missing_heirs;

  std::shared_ptr<const settings_tree> settings;
  object_version settings_version;
  std::string settings_text;
  std::string settings_error;
  std::map<region_id, std::shared_ptr<const holdings_table>> tables;
  std::map<region_id, object_version> table_versions;
  std::map<region_id, std::string> table_texts;
  /// The heartbeat before which each table last changed.
  std::map<region_id, std::uint64_t> changed_at;
  std::map<std::string, object_version> seen_versions;
  std::set<std::string> being_read;
  /// Incarnations that the VM list has shown since they joined, and those of them that it no longer shows.
  std::set<incarnation_id> listed;
  std::set<incarnation_id> gone;

  /// The last write of the own table, from when it is handed out until what came of it is known.
  struct pending_write {
    std::string text;
    bool answered{false};
    bool renews{false};
    bool changes_heirs{false};
    std::set<node_id> heirs;
    /// Nodes that it releases or takes over; they get no promise while this is open.
    std::set<node_id> withholds;
  };
  std::optional<pending_write> pending;
  std::int64_t write_counter{0};
  std::int64_t failed_writes{0};
  std::map<node_id, peer_state> peers;
  /// Holdings that are closed here until they are idle and can be handed over.
  std::set<holding_id> releasing;
  /// When a holding was first seen to be this node's under its present epoch, and by no handover.
  std::map<holding_id, std::pair<epoch, time_point>> quarantines;
  std::map<share_key, std::int64_t> share_limits;
  std::map<std::pair<share_key, node_id>, time_point> orphan_shares;

  bool stopping{false};
  bool drained{false};
  bool left{false};
  traffic_view current;
  std::uint64_t revision{0};
  std::vector<node_action> actions;
};

/// \name Keys of objects in the platform's store
/// \{
/// \brief All that nodes watch lies under this prefix, so that one watch covers it.
inline constexpr const char* control_prefix = "control/";
inline constexpr const char* settings_key = "control/settings";
inline constexpr const char* vm_list_key = "control/vms";
inline constexpr const char* holdings_prefix = "control/holdings/";
[[nodiscard]] std::string holdings_key(const region_id& region);
/// \}

}  // namespace zinnia
