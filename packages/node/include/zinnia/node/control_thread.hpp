// The thread that maintains the control state: store objects, other nodes, and the routing snapshots built
// from them.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include "zinnia/accounts/configuration_confirmation.hpp"
#include "zinnia/http/caller_connection.hpp"
#include "zinnia/membership/member_table.hpp"
#include "zinnia/node/deployment.hpp"
#include "zinnia/observe/metrics.hpp"
#include "zinnia/routing/crash_report.hpp"
#include "zinnia/routing/snapshot_builder.hpp"
#include "zinnia/store/async_http_client.hpp"
#include "zinnia/store/change_relay_buffer.hpp"
#include "zinnia/store/object_feed.hpp"
#include "zinnia/store/restore_guard.hpp"

namespace zinnia {

/// \brief The entry nodes as this node knows them.
struct membership_view {
  live_members alive;
  /// Regions with registered nodes, alive or not.
  std::set<region_id> regions_with_nodes;
  /// The number of registered nodes, alive or not.
  std::size_t registered_count{1};
  /// The holders of limits; none while the node list is incomplete.
  limit_holders holders{};
  /// The nodes to send crash reports to.
  std::vector<ip_endpoint> report_peers{};
  /// All registered nodes are known.
  bool is_list_complete{false};

  friend bool operator==(const membership_view&, const membership_view&) = default;
};

/// \brief Callbacks that pass control state to the traffic thread. They run on the control thread.
struct control_events {
  std::function<void(const std::shared_ptr<const routing_snapshot>&)> on_snapshot;
  std::function<void(const caller_limits&)> on_limits;
  std::function<void(const membership_view&)> on_nodes;
  /// Progress of drains and traffic shifts, for the operator interface.
  std::function<void(const std::vector<shift_progress>&)> on_shift_progress;
  /// There are new changes to relay, or this node has started or stopped relaying.
  std::function<void()> on_relay_update;
  /// Quarantined requests that the store has kept.
  std::function<void(const std::vector<crash_report>&)> on_stored_quarantines;
  /// The store has come back from a copy; called once for each era. May be empty.
  std::function<void()> on_store_restored;
  /// The end of the proof that the configuration is current, for snapshots with at least this version; time 0
  /// if there is no proof. Called after the snapshot that it belongs to. May be empty.
  std::function<void(config_version, time_point)> on_confirmation;
};

/// \brief   Watches the store and the other nodes on a thread of its own, from construction to destruction.
/// \details The last known state stays in force while the store is unreachable.
class control_thread {
 public:
  control_thread(const deployment& adapter_in, const node_settings& settings_in,
                 std::shared_ptr<const settings_tree> tree, member self_in, metrics& counts_in,
                 control_events events_in);
  ~control_thread();
  control_thread(const control_thread&) = delete;
  control_thread& operator=(const control_thread&) = delete;
  control_thread(control_thread&&) = delete;
  control_thread& operator=(control_thread&&) = delete;

  /// \brief True if routes and backend servers are known and no drain covers this node. Any thread.
  [[nodiscard]] bool is_ready() const noexcept { return this->ready.load() && !this->drained.load(); }
  /// \brief Announces to the other nodes that this node is about to stop, and removes its entry. Any thread.
  void begin_leaving();
  /// \brief Announces to the other nodes if this node has links to backend servers. Any thread.
  void set_reaches_backends(bool reaches);
  /// \brief Requests a check of the settings file without waiting for the next periodic one. Any thread.
  void reload_settings();
  /// \brief Stores a quarantined request, or removes one that was answered (level 0). Any thread.
  void save_quarantine(const crash_report& report);
  /// \brief The store's changes that this node relays to other nodes. Any thread.
  [[nodiscard]] const change_relay_buffer& relayed_changes() const noexcept { return this->changes_to_relay; }

 private:
  /// One kind of object, with its feed and its call in flight.
  struct watched_kind {
    const char* kind;
    object_feed feed;
    async_http_client::call_id call{0};
    bool call_active{false};
    bool was_failing{false};
    void (control_thread::*apply)(const object_change& change);
    /// Whether a change that comes from a copy of the store would undo what is in force. Null: never.
    bool (control_thread::*undoes)(const object_change& change) const;
    /// Changes arrive from another node, and no calls are made to the store.
    bool relayed{false};
    /// Changes from a list that is incomplete. They are relayed once the list is complete.
    std::vector<object_change> unrelayed{};
    restore_guard guard{};
  };

  void run();
  /// False for relayed kinds. While the store is unreachable, only the configuration watch calls it.
  [[nodiscard]] bool may_call(const watched_kind& watched) const;
  void issue_calls(time_point now);
  void start_call(watched_kind& watched, const feed_call& call);
  void on_store_response(watched_kind& watched, const feed_call& call, const http_response& response);
  void cancel_call(watched_kind& watched);
  /// Applies the changes that the feed has received, and records them for other nodes.
  void apply_changes(watched_kind& watched);

  /// Polls a watching node of this failure domain, unless this node has to watch the store itself. A node
  /// that the store refuses polls any watching node.
  void follow_change_relay(time_point now);
  void apply_relayed_changes(const std::vector<feed_reply>& replies,
                             const std::optional<confirmed_configuration>& confirmed);
  void stop_following(const std::string& cause);
  [[nodiscard]] std::vector<object_version> known_versions() const;
  /// True if this node receives changes from the store itself.
  [[nodiscard]] bool is_watching() const;
  void publish_watching_state();
  void log_store_availability(watched_kind& watched, const http_response& response);
  /// Restarts the other watches if the store's version shows changes that none of them has delivered.
  void restart_silent_watches(object_version store_version);
  void restart_watches(const watched_kind& except);

  // The proof that the configuration is current; nothing of it applies without a revocation limit.
  [[nodiscard]] static std::optional<configuration_confirmation> make_confirmation(
      const node_settings& settings_in);
  /// Records what the last response of the store proves.
  void confirm_by_store(const watched_kind& watched);
  void on_announced_configuration(const node_heartbeat& received);
  void publish_confirmation(time_point now);
  /// True if the configuration is proven to be current, or no proof is required.
  [[nodiscard]] bool is_confirmed(time_point now) const;
  /// The end of the current proof, or far_future.
  [[nodiscard]] time_point confirmation_end() const;
  /// True if calls to the store fail and this node has to stay current by other nodes.
  [[nodiscard]] bool needs_relay() const;

  // Questions to other nodes, and what they are told.
  void ask_peers(time_point now);
  [[nodiscard]] state_reply apply_peer_state(const node_id& from, const retained_state& state);
  void apply_retained_change(const retained_change& retained);
  /// Applies what was held for the copy's and turns out to have been written since.
  void release_rewritten_objects(watched_kind& watched);
  void publish_state();
  /// The version of the store up to which this node knows the objects of all kinds that routing depends on.
  [[nodiscard]] object_version oldest_known_version() const;
  /// True if the objects of all kinds are known that routing depends on.
  [[nodiscard]] bool is_complete() const;
  [[nodiscard]] membership_view view_of_nodes(time_point now);

  // After the store was restored from a copy.
  void on_store_version(watched_kind& watched, object_version version);
  void list_kinds_of_earlier_eras(std::int64_t era);
  /// Applies a change, unless it comes from the copy and would undo what is in force.
  void apply_or_hold(watched_kind& watched, const object_change& change);
  /// What is in force in place of a change from the copy.
  [[nodiscard]] static object_change in_force_before(const watched_kind& watched,
                                                     const object_change& change);
  /// How long a change is held that comes from the copy.
  [[nodiscard]] duration hold_time(const watched_kind& watched, const object_change& in_force) const;
  /// Applies what was held and has not been written again.
  void apply_held_changes(time_point now);
  [[nodiscard]] bool undoes_backend(const object_change& change) const;
  [[nodiscard]] bool undoes_evacuation(const object_change& change) const;
  [[nodiscard]] bool undoes_node(const object_change& change) const;
  [[nodiscard]] bool undoes_tree(const object_change& change) const;
  /// Writes the settings tree in force to the store if it was lost there; one node does.
  void rewrite_lost_tree(time_point now);
  /// The time in which all nodes register again after a restore.
  [[nodiscard]] duration registration_period() const;
  /// How long after a restore this node waits before it registers again, so that not all nodes write at once.
  [[nodiscard]] duration registration_delay() const;

  void apply_backend(const object_change& change);
  /// Removes a backend server whose entry is gone.
  /// \param grace How long it stays in use, in case the entry comes back.
  void remove_backend(const stored_object& entry, duration grace);
  /// How long a backend server stays in use after its entry disappeared.
  [[nodiscard]] duration removal_grace() const;
  void apply_configuration(const object_change& change);
  void apply_evacuation(const object_change& change);
  void apply_node(const object_change& change);
  void apply_tree(const object_change& change);
  [[nodiscard]] watched_kind& configuration_watch() { return this->watches.front(); }
  [[nodiscard]] watched_kind& backend_watch() { return this->watches[1]; }
  [[nodiscard]] watched_kind& settings_watch() { return this->watches[3]; }
  [[nodiscard]] watched_kind& node_watch() { return this->watches.back(); }
  void publish(time_point now);
  void maintain_registration(time_point now);
  void remove_expired_nodes(time_point now);
  void write_object(const http_call& call, const char* purpose, const std::string& name);
  void receive_heartbeats(time_point now);
  void send_heartbeats(time_point now);
  void check_settings_file(time_point now);
  [[nodiscard]] bool is_leaving() const noexcept { return this->leaving.load() || this->drained.load(); }
  [[nodiscard]] duration time_to_next_action(time_point now) const;

  const deployment& adapter;
  node_settings settings;
  member self;
  metrics& counts;
  control_events events;
  boot_clock clock;
  async_http_client calls;
  std::array<watched_kind, 5> watches;
  snapshot_builder builder;
  member_table members;
  // As of that revision of the registry.
  std::vector<ip_endpoint> report_peers;
  std::uint64_t report_peers_revision{0};
  std::unique_ptr<class quarantine_store> quarantines;
  membership_view published_nodes;
  std::unique_ptr<class load_meter> meter;
  std::unique_ptr<class heartbeat_socket> heartbeats;
  change_relay_buffer changes_to_relay;
  std::unique_ptr<class change_relay_client> relay_client;
  std::unique_ptr<class peer_state_exchange> state_exchange;
  // The object of the configuration in force.
  stored_object configuration_in_force;
  state_summary own_state;
  // As published; null while this node isn't ready.
  std::shared_ptr<const retained_state> published_state;
  // The time since which another node knows a change that this node has not received, or far_future.
  time_point behind_since{far_future};
  time_point follow_allowed_at;
  // Since when there is no node that this node should follow, or far_future.
  time_point without_source_since{far_future};
  // The same while the store refuses this node.
  time_point relay_retry_at;
  // Empty without a revocation limit.
  std::optional<configuration_confirmation> confirmation;
  config_version published_required;
  time_point published_until;
  // Whether the last log line on the proof said that there is one.
  bool logged_confirmed{false};
  bool published_watching{false};
  time_point next_heartbeat;
  time_point next_nodes_update;
  time_point write_allowed_at;
  time_point next_expiry_check;
  time_point settings_checked_at;
  std::int64_t settings_revision{0};
  // The newest version of the configuration, the newest version that no watch has delivered, and the latest
  // version for which the watches were restarted.
  object_version config_version_seen;
  object_version undelivered_version;
  time_point undelivered_since;
  object_version restarted_for_version;
  time_point restarted_at;
  // When the store last became reachable again.
  time_point store_regained_at;
  // When a restored store was last noticed; 0 if never.
  time_point store_restored_at;
  // The entry of the settings tree in force, as stored; empty if the tree comes from a file.
  std::string tree_document;
  bool tree_is_lost{false};
  // Start times of backend servers that are gone, bounded, and evacuations that have ended.
  std::map<backend_id, std::int64_t> removed_backends;
  // The servers in `removed_backends`, the first removed one first.
  std::deque<backend_id> removal_order;
  std::set<failure_domain_id> ended_evacuations;
  bool write_active{false};
  bool removal_sent{false};
  std::atomic<bool> ready{false};
  std::atomic<bool> leaving{false};
  std::atomic<bool> drained{false};
  std::atomic<bool> reload_requested{false};
  std::atomic<bool> reaches_backends{true};
  // The state that the last heartbeat announced.
  bool announced_reaches_backends{true};
  bool announced_confirmed{true};
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace zinnia
