// What the operator and the backend servers write to the store. After a restore they write again what the
// copy lacks, each object at a time of its own.
#pragma once

#include <absl/synchronization/mutex.h>

#include <chrono>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "standins/platform_store.hpp"

namespace zinnia::standins {

/// \brief Thread-safe. While the store is away, writes wait as if its copy had lost them.
class external_writer {
 public:
  explicit external_writer(platform_store& store_in) : store{store_in} {}

  void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  void erase(const std::string& kind, const std::string& name);

  void take_copy();
  /// \brief The store refuses all calls until it is restored.
  void go_away();
  /// \brief The store comes back from its copy.
  /// \param next_delay The time until an object that was written since the copy is written again.
  void restore(const std::function<std::chrono::milliseconds()>& next_delay);
  /// \brief  Writes again what is due.
  /// \return True if the copy lacks nothing any more.
  bool write_due();

 private:
  using object_key = std::pair<std::string, std::string>;
  /// Empty if the object was erased.
  using object_spec = std::optional<nlohmann::json>;

  void change(const object_key& key, const object_spec& spec);
  void write(const object_key& key, const object_spec& spec);

  platform_store& store;
  absl::Mutex mutex;
  bool is_away ABSL_GUARDED_BY(mutex){false};
  std::map<object_key, object_spec> changed_since_copy ABSL_GUARDED_BY(mutex);
  // What the copy lacks, and when it is written again.
  std::map<object_key, std::chrono::steady_clock::time_point> due ABSL_GUARDED_BY(mutex);
};

}  // namespace zinnia::standins
