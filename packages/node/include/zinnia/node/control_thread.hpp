// The thread that keeps control state: the store's objects, the other nodes, and what follows from them.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include "zinnia/http/caller_connection.hpp"
#include "zinnia/membership/member_table.hpp"
#include "zinnia/node/deployment.hpp"
#include "zinnia/observe/metrics.hpp"
#include "zinnia/routing/snapshot_builder.hpp"
#include "zinnia/store/async_http_client.hpp"
#include "zinnia/store/change_relay_buffer.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {

/// \brief The nodes as this one knows them.
struct known_nodes {
  live_members alive;
  /// Regions in which nodes are registered, alive or not.
  std::set<region_id> staffed;
  /// Nodes in the register, heard or not.
  std::size_t registered{1};

  friend bool operator==(const known_nodes&, const known_nodes&) = default;
};

/// \brief What the control thread hands to the traffic thread; called on the control thread.
struct control_events {
  std::function<void(const std::shared_ptr<const routing_snapshot>&)> on_snapshot;
  std::function<void(const caller_limits&)> on_limits;
  std::function<void(const known_nodes&)> on_nodes;
  /// Drains and moves, as lines for operators.
  std::function<void(const std::vector<shift_progress>&)> on_progress;
  /// The board that others read has changed.
  std::function<void()> on_board;
};

/// \brief   Runs from construction to destruction.
/// \details The last known state stays in force while the store is away.
class control_thread {
 public:
  control_thread(const deployment& outside_in, const node_settings& settings_in,
                 std::shared_ptr<const settings_tree> tree, member self_in, metrics& counts_in,
                 control_events events_in);
  ~control_thread();
  control_thread(const control_thread&) = delete;
  control_thread& operator=(const control_thread&) = delete;
  control_thread(control_thread&&) = delete;
  control_thread& operator=(control_thread&&) = delete;

  /// \brief Whether routes and backend servers are known, and no drain takes the node out. Any thread.
  [[nodiscard]] bool is_ready() const noexcept { return this->ready.load() && !this->drained.load(); }
  /// \brief Tells the others that this node is about to stop, and removes its entry. Any thread.
  void begin_leaving();
  /// \brief Looks at the settings file again. Any thread.
  void reload_settings();
  /// \brief What other nodes may be told of the store's changes. Any thread.
  [[nodiscard]] const change_relay_buffer& board() const noexcept { return this->told; }

 private:
  /// One kind of object: its feed and the call under way.
  struct watched_kind {
    const char* kind;
    object_feed feed;
    async_http_client::call_id call{0};
    bool call_active{false};
    bool lost{false};
    void (control_thread::*apply)(const object_change& change);
    /// Changes are heard of from another node; no calls are made.
    bool relayed{false};
    /// Changes of a list under way, which others are told of once it is whole.
    std::vector<object_change> untold{};
  };

  void run();
  /// While the store is away, the configuration's watch asks for all.
  [[nodiscard]] bool may_call(const watched_kind& watched) const;
  void issue_calls(time_point now);
  void start_call(watched_kind& watched, const feed_call& call);
  void on_answer(watched_kind& watched, const feed_call& call, const http_response& answer);
  void cancel_call(watched_kind& watched);
  /// Applies what the feed has learned, and notes it for other nodes.
  void take_changes(watched_kind& watched);

  /// Hears of changes from a node of this failure domain that watches, if this one only stands by.
  void follow_news(time_point now);
  void on_news(const std::vector<feed_reply>& news);
  void stop_following(const std::string& cause);
  [[nodiscard]] std::vector<object_version> known_versions() const;
  /// Whether this node hears from the store itself.
  [[nodiscard]] bool is_watching() const;
  void tell_watching();
  void note_dependency(watched_kind& watched, const http_response& answer);
  /// Makes the other watches anew if the store's version shows changes that none of them brought.
  void renew_if_silent(object_version newest);
  void renew_watches(const watched_kind& except);
  void apply_server(const object_change& change);
  /// How long a server stays in use after its entry disappeared.
  [[nodiscard]] duration removal_grace() const;
  void apply_config(const object_change& change);
  void apply_evacuation(const object_change& change);
  void apply_node(const object_change& change);
  void apply_tree(const object_change& change);
  [[nodiscard]] watched_kind& configuration_watch() { return this->watches.front(); }
  [[nodiscard]] watched_kind& node_watch() { return this->watches.back(); }
  void publish(time_point now);
  void keep_registered(time_point now);
  void forget_silent(time_point now);
  void write(const http_call& call, const char* purpose, const std::string& name);
  void receive_beats(time_point now);
  void send_beats(time_point now);
  void check_settings_file(time_point now);
  [[nodiscard]] bool is_leaving() const noexcept { return this->leaving.load() || this->drained.load(); }
  [[nodiscard]] duration time_to_next(time_point now) const;

  const deployment& outside;
  node_settings settings;
  member self;
  metrics& counts;
  control_events events;
  boot_clock clock;
  async_http_client calls;
  std::array<watched_kind, 5> watches;
  snapshot_builder builder;
  member_table members;
  known_nodes last_nodes;
  std::unique_ptr<class load_meter> meter;
  std::unique_ptr<class beat_link> beats;
  change_relay_buffer told;
  std::unique_ptr<class news_follower> follower;
  // Since when another node has known of a change that this one has not heard of.
  time_point behind_since{end_of_time};
  time_point follow_not_before;
  bool told_watching{false};
  time_point next_beat;
  time_point nodes_not_before;
  time_point write_not_before;
  time_point forget_not_before;
  time_point settings_checked_at;
  std::int64_t settings_stamp{0};
  // The configuration's own version, the version that no watch explains, and the last one acted on.
  object_version config_seen;
  object_version unexplained;
  object_version renewed_for;
  time_point renewed_at;
  // When the store last answered again after it had not.
  time_point regained_at;
  bool write_active{false};
  bool removal_sent{false};
  std::atomic<bool> ready{false};
  std::atomic<bool> leaving{false};
  std::atomic<bool> drained{false};
  std::atomic<bool> reload_wanted{false};
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace zinnia
