// Interface to the platform's object store: builds HTTP calls and decodes their responses.
#pragma once

#include <string>

#include "zinnia/core/units.hpp"
#include "zinnia/store/http_call.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {

/// \brief The result of a write.
enum class write_status : unsigned char {
  ok,
  not_found,
  /// The object has another version than expected, or already exists; nothing was written.
  conflict,
  /// The call did not reach the store or was refused; nothing was written.
  unavailable,
  /// No response arrived: the write may have taken effect, or may still do so.
  unknown,
};

/// \brief For `remove_call`: the object is removed whatever its version.
inline constexpr object_version any_version{};

/// \brief   Builds calls to an object store and decodes the responses. Stateless; a platform adapter
///          implements it.
/// \details Objects have a kind, a name, a JSON document and a version that increases over the whole store.
class store_protocol {
 public:
  store_protocol() = default;
  store_protocol(const store_protocol&) = delete;
  store_protocol& operator=(const store_protocol&) = delete;
  store_protocol(store_protocol&&) = delete;
  store_protocol& operator=(store_protocol&&) = delete;
  virtual ~store_protocol() = default;

  /// \brief Builds the call that lists the objects of a kind or watches their changes.
  [[nodiscard]] virtual http_call read_call(const std::string& kind, const feed_call& call) const = 0;
  [[nodiscard]] virtual feed_reply decode_read(const feed_call& call,
                                               const http_response& response) const = 0;
  /// \brief Builds the call that creates an object; the write conflicts if the object exists.
  [[nodiscard]] virtual http_call create_call(const std::string& kind, const std::string& name,
                                              const std::string& document) const = 0;
  /// \brief Builds the call that replaces an object; the write conflicts if its version is not `expected`.
  [[nodiscard]] virtual http_call replace_call(const std::string& kind, const std::string& name,
                                               const std::string& document,
                                               object_version expected) const = 0;
  /// \brief Builds the call that removes an object; the write conflicts if its version is not `expected`.
  [[nodiscard]] virtual http_call remove_call(const std::string& kind, const std::string& name,
                                              object_version expected) const = 0;
  [[nodiscard]] virtual write_status decode_write(const http_response& response) const = 0;
};

/// \brief The object kinds that belong to this project.
namespace object_kinds {
/// The node registry; one object for each node.
inline constexpr const char* nodes = "zinnia-nodes";
/// The operators' settings, in the single object `settings_name`.
inline constexpr const char* settings = "zinnia-settings";
inline constexpr const char* settings_name = "main";
/// Requests that crash backend servers; one object for each, named by its fingerprint.
inline constexpr const char* quarantines = "zinnia-quarantines";
}  // namespace object_kinds

}  // namespace zinnia
