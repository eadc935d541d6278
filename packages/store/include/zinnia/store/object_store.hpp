// The interface to the platform's object API: versions, conditional updates, lists and watches.
#pragma once

#include <string>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/units.hpp"

namespace zinnia {

/// \brief How a call ended.
enum class store_status : unsigned char {
  ok,
  not_found,
  /// The version given is not the object's version; nothing was written.
  conflict,
  /// The call did not reach the store or was refused; nothing was written.
  unavailable,
  /// No answer: the write may have taken effect.
  unknown,
};

/// \brief Answer to a read or a write of one object.
struct store_reply {
  store_status status{store_status::unavailable};
  /// After a successful write the object's new version, otherwise the version read or in conflict.
  object_version version;
  std::string value;

  [[nodiscard]] bool ok() const noexcept { return this->status == store_status::ok; }
};

/// \brief A key and its version in a list or a watch.
struct object_entry {
  std::string key;
  object_version version;
};

/// \brief Answer to a list or a watch.
struct list_reply {
  store_status status{store_status::unavailable};
  /// Newest version in the whole store when the list was taken; pass it to the next watch.
  object_version newest;
  std::vector<object_entry> entries;
};

/// \brief   The platform's object API.
/// \details Versions grow over the whole store, so a version never returns, even after a delete.
///          Every call may block up to the adapter's time limit; calls from several threads are allowed.
class object_store {
 public:
  object_store() = default;
  object_store(const object_store&) = delete;
  object_store& operator=(const object_store&) = delete;
  object_store(object_store&&) = delete;
  object_store& operator=(object_store&&) = delete;
  virtual ~object_store() = default;

  [[nodiscard]] virtual store_reply get(const std::string& key) = 0;
  /// \brief Writes if the object's version is `expected`; version 0 means that it must not exist.
  [[nodiscard]] virtual store_reply put(const std::string& key, const std::string& value,
                                        object_version expected) = 0;
  /// \brief Deletes if the object's version is `expected`.
  [[nodiscard]] virtual store_reply remove(const std::string& key, object_version expected) = 0;
  /// \brief The keys that begin with a prefix, in order.
  [[nodiscard]] virtual list_reply list(const std::string& prefix) = 0;
  /// \brief Waits until objects under a prefix are newer than `after`, or the wait is over (then empty).
  [[nodiscard]] virtual list_reply watch(const std::string& prefix, object_version after, duration wait) = 0;
};

/// \brief   Writes and, when the answer is lost, reads back whether the write took effect.
/// \details The value must differ from any other writer's, for example by an edit id or a batch id.
/// \return  `unknown` only if the read back fails too.
[[nodiscard]] store_reply put_resolved(object_store& store, const std::string& key, const std::string& value,
                                       object_version expected);

}  // namespace zinnia
