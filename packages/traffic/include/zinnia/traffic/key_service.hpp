// Key homes for many threads, and the journal writer that commits their batches as a group.
#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include "zinnia/observe/metrics.hpp"
#include "zinnia/steering/key_home.hpp"
#include "zinnia/steering/traffic_view.hpp"
#include "zinnia/store/object_store.hpp"
#include "zinnia/wire/frames.hpp"

namespace zinnia {

/// \brief A request at the home of its key.
struct keyed_request {
  key_request key;
  time_point deadline{};
  std::function<bool()> cancelled;
};

/// \brief   Runs keyed requests at most once.
/// \details Every member may be called from any thread. The journal is written by one thread, so that all
///          intents that arrive during a write share the next one.
class key_service {
 public:
  key_service(object_store& platform, const clock_source& time, metrics& numbers, region_id own_region,
              std::string writer);
  key_service(const key_service&) = delete;
  key_service& operator=(const key_service&) = delete;
  key_service(key_service&&) = delete;
  key_service& operator=(key_service&&) = delete;
  ~key_service();

  void apply(const traffic_view& view);
  /// \brief Runs `dispatch` if the key has not run, and otherwise tells what is known.
  [[nodiscard]] exchange_answer run(const keyed_request& request, std::int64_t bucket,
                                    const std::function<exchange_answer()>& dispatch);

  [[nodiscard]] bool is_idle(std::int64_t bucket);
  [[nodiscard]] bool is_behind();
  [[nodiscard]] std::int64_t in_flight();

 private:
  struct bucket_state {
    epoch held_since;
    std::unique_ptr<key_home> home;
    /// Not in the view any more: no new requests, and dropped once idle.
    bool closing{false};
    bool recovered{false};
    std::int64_t in_flight{0};
    /// The journal thread is at work on it.
    int journal_uses{0};
    time_point next_try{};
  };
  enum class wait_end : unsigned char { changed, deadline, cancelled };

  [[nodiscard]] exchange_answer first_run(const keyed_request& request, bucket_state& bucket,
                                          const std::function<exchange_answer()>& dispatch);
  [[nodiscard]] std::optional<exchange_answer> join(const keyed_request& request, bucket_state& bucket);
  [[nodiscard]] exchange_answer replay(const keyed_request& request, const key_record& record);
  void qualify(exchange_answer& answer, const bucket_state& bucket) const;
  [[nodiscard]] bool apply_resolution(const keyed_request& request, bucket_state& bucket);
  [[nodiscard]] wait_end wait_until(const keyed_request& request, const std::function<bool()>& changed);

  // The journal thread.
  void journal_loop();
  void journal_pass();
  void serve_bucket(std::int64_t bucket);
  [[nodiscard]] bool recover(std::int64_t bucket, key_home& home);
  void write_batch(std::int64_t bucket, const journal_batch& batch);
  void settle(std::int64_t bucket, const store_reply& reply);
  void remove_superfluous(std::int64_t bucket, const std::vector<std::int64_t>& sequences);
  [[nodiscard]] std::string journal_prefix(std::int64_t bucket) const;
  [[nodiscard]] std::string batch_key(std::int64_t bucket, std::int64_t sequence) const;

  object_store& store;
  const clock_source& clock;
  metrics& counts;
  region_id region;
  std::string writer_id;
  absl::Mutex mutex;
  std::map<std::int64_t, bucket_state> buckets;
  time_point valid_until{};
  bool wake{false};
  bool stopping{false};
  std::thread journal_thread;
};

/// \brief Header of a replayed answer: the request that ran.
inline constexpr const char* first_request_header = "x-first-request";

/// \brief Where an operator's resolution of an uncertain request is kept.
[[nodiscard]] std::string resolution_key(const service_id& service, const std::string& key_or_request);

}  // namespace zinnia
