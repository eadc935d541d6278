// Reads and conditional writes of single objects, one call at a time.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinnia/platform/object_api.hpp"

namespace zinnia {

/// \brief How a write ended, and what is in the store if it was refused.
struct write_result {
  write_status status{write_status::unavailable};
  /// The object's version after a write.
  object_version version;
  /// After a conflict: the object as it is.
  std::optional<stored_object> current;
};

/// \brief One command's talk with the store.
class store_session {
 public:
  explicit store_session(const std::string& address) : protocol{address} {}

  /// \brief All objects of a kind, or nothing if the store does not answer.
  [[nodiscard]] std::optional<std::vector<stored_object>> list(const std::string& kind) const;
  /// \brief   Writes if the object is at the version expected; version 0 means that it must not exist.
  /// \details When the answer is lost, reads back whether the document took effect; the document must differ
  ///          from any other writer's. `unknown` only if that fails too.
  [[nodiscard]] write_result write(const std::string& kind, const std::string& name,
                                   const std::string& document, object_version expected) const;

 private:
  [[nodiscard]] std::optional<stored_object> find(const std::string& kind, const std::string& name) const;

  platform::object_api protocol;
};

}  // namespace zinnia
