// The traffic side of one node: the caller interface, the pipeline and what peers hand over.
#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "zinnia/steering/node_machine.hpp"
#include "zinnia/traffic/entry_lookup.hpp"
#include "zinnia/traffic/http_frontend.hpp"
#include "zinnia/traffic/pipeline.hpp"

namespace zinnia {

/// \brief Fixed facts of the traffic side.
struct traffic_options {
  node_identity identity;
  /// Fate records kept in memory.
  std::size_t fate_records{20'000};
  frontend_limits limits;
};

/// \brief   Everything that touches requests.
/// \details The control thread calls `apply` after each change of the view; all else may be called from any
///          thread.
class traffic_node final : public occupancy {
 public:
  traffic_node(traffic_options given, object_store& store, const clock_source& time, metrics& numbers);

  /// \brief Takes over a new view; returns once slots, shares and key homes work by it.
  void apply(std::shared_ptr<const traffic_view> view);

  /// \name Occupancy, for the control logic
  /// \{
  [[nodiscard]] bool is_idle(const holding_id& holding) const override;
  [[nodiscard]] std::int64_t in_flight(const share_key& key) const override;
  [[nodiscard]] std::vector<service_load> loads(time_point now) const override;
  [[nodiscard]] bool is_journal_behind() const override;
  [[nodiscard]] std::int64_t total_in_flight() const override;
  /// \}

  /// \name Inputs
  /// \{
  [[nodiscard]] frontend_handlers make_handlers();
  [[nodiscard]] exchange_answer on_exchange(exchange_request request, const std::function<bool()>& cancelled);
  /// \brief Asks the held backend servers for their state; called every probe period.
  void probe_backends();
  /// \brief Writes the fate records that changed to the store.
  void flush_fates();
  /// \}

  [[nodiscard]] std::shared_ptr<const traffic_view> view() const;
  [[nodiscard]] fate_log& fates() noexcept { return this->fate_records; }

 private:
  [[nodiscard]] std::optional<http_response> handle_quick(const http_request& request);
  [[nodiscard]] http_response handle_lookup(const http_request& request);
  [[nodiscard]] http_response handle_fate(const http_request& request);
  [[nodiscard]] http_response handle_cancel(const http_request& request);
  [[nodiscard]] http_response handle_status();
  [[nodiscard]] http_response handle_metrics();
  [[nodiscard]] http_response handle_request(http_request& http);
  [[nodiscard]] http_response refuse_request(const http_request& http, reason why);
  [[nodiscard]] result<traffic_request> read_request(const http_request& http);
  [[nodiscard]] http_response to_response(const exchange_answer& answer) const;
  [[nodiscard]] std::uint32_t client_of(const http_request& http) const;

  traffic_options options;
  object_store& store;
  const clock_source& clock;
  metrics& counts;
  mutable slot_service slots;
  mutable key_service keys;
  backend_client backends;
  exchange_pool peers;
  fate_log fate_records;
  filter_context context;
  pipeline path;
  mutable absl::Mutex mutex;
  std::shared_ptr<const traffic_view> current;
  std::shared_ptr<const entry_lookup> lookup;
  std::set<std::string> cancelled_ids;
  std::set<std::string> open_ids;
  std::atomic<std::uint64_t> next_number{1};
  std::atomic<std::int64_t> open_requests{0};
};

}  // namespace zinnia
