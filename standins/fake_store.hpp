// An in-memory store with faults that can be switched on, used by tests and by the stand-in server.
#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <string>

#include "zinnia/store/object_store.hpp"

namespace zinnia::standins {

/// \brief Faults of the store; all off at first.
struct store_faults {
  /// Every call fails without effect.
  bool down{false};
  /// Added to every call.
  duration delay{0};
  /// So many writes take effect while their answers are lost.
  int lost_answers{0};
  /// So many writes are dropped without effect and without an answer.
  int lost_writes{0};
};

class fake_store final : public object_store {
 public:
  [[nodiscard]] store_reply get(const std::string& key) override;
  [[nodiscard]] store_reply put(const std::string& key, const std::string& value,
                                object_version expected) override;
  [[nodiscard]] store_reply remove(const std::string& key, object_version expected) override;
  [[nodiscard]] list_reply list(const std::string& prefix) override;
  [[nodiscard]] list_reply watch(const std::string& prefix, object_version after, duration wait) override;

  void set_faults(const store_faults& faults);
  /// \brief Calls taken so far, refused ones included.
  [[nodiscard]] std::int64_t calls();

 private:
  struct stored {
    object_version version;
    std::string value;
    bool deleted{false};
  };

  [[nodiscard]] bool begin_call();
  [[nodiscard]] store_reply write(const std::string& key, const std::string& value, object_version expected,
                                  bool deletes);
  [[nodiscard]] list_reply collect(const std::string& prefix, object_version after, bool with_deleted);

  absl::Mutex mutex;
  std::map<std::string, stored> objects;
  std::int64_t newest{0};
  std::int64_t call_count{0};
  store_faults active;
};

}  // namespace zinnia::standins
