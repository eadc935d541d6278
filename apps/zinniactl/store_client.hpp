// A blocking client of the platform's store: lists objects and writes single objects conditionally.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinnia/platform/object_api.hpp"

namespace zinnia {

/// \brief The outcome of a write and the object that the store holds afterwards.
struct write_result {
  write_status status{write_status::unavailable};
  /// The object's version after the write; 0 if another write came after it or the read back failed.
  object_version version;
  /// The object as read back after the write; nullopt if the status is `unavailable` or the read failed.
  std::optional<stored_object> current;
};

/// \brief Reads and writes objects in the store, one blocking call at a time.
class store_client {
 public:
  explicit store_client(const std::string& address) : protocol{address} {}

  /// \brief Returns all objects of a kind, or nullopt if the store does not respond.
  [[nodiscard]] std::optional<std::vector<stored_object>> list(const std::string& kind) const;
  /// \brief   Writes the object if it is at the expected version. Version 0 means that it must not exist.
  /// \details If the response is lost, reads the object back and compares the documents. The document must
  ///          therefore differ from those of all other writers. The status is `unknown` if the read fails
  ///          too, or if the object is still at the expected version with another document.
  [[nodiscard]] write_result write(const std::string& kind, const std::string& name,
                                   const std::string& document, object_version expected) const;

 private:
  /// Returns an object of version 0 if there is none, and nullopt if the store does not respond.
  [[nodiscard]] std::optional<stored_object> find(const std::string& kind, const std::string& name) const;

  platform::object_api protocol;
};

}  // namespace zinnia
