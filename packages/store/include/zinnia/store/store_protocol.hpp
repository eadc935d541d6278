// The platform's object store as this project needs it: which call to make, and what its answer says.
#pragma once

#include <string>

#include "zinnia/core/units.hpp"
#include "zinnia/store/http_call.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {

/// \brief How a write ended.
enum class write_status : unsigned char {
  ok,
  not_found,
  /// The object is not at the version given, or exists already; nothing was written.
  conflict,
  /// The call did not reach the store or was refused; nothing was written.
  unavailable,
  /// No answer: the write may have taken effect, or may do so later.
  unknown,
};

/// \brief   Builds calls and decodes answers for one form of store. Stateless; an adapter implements it.
/// \details Objects have a kind, a name, a version that grows over the whole store, and a document in JSON.
class store_protocol {
 public:
  store_protocol() = default;
  store_protocol(const store_protocol&) = delete;
  store_protocol& operator=(const store_protocol&) = delete;
  store_protocol(store_protocol&&) = delete;
  store_protocol& operator=(store_protocol&&) = delete;
  virtual ~store_protocol() = default;

  /// \brief A list of a kind, or a watch of its changes.
  [[nodiscard]] virtual http_call read_call(const std::string& kind, const feed_call& call) const = 0;
  [[nodiscard]] virtual feed_reply decode_read(const feed_call& call, const http_response& answer) const = 0;
  /// \brief Writes an object that must not exist yet.
  [[nodiscard]] virtual http_call create_call(const std::string& kind, const std::string& name,
                                              const std::string& document) const = 0;
  /// \brief Writes an object that must be at the version expected.
  [[nodiscard]] virtual http_call replace_call(const std::string& kind, const std::string& name,
                                               const std::string& document,
                                               object_version expected) const = 0;
  [[nodiscard]] virtual http_call remove_call(const std::string& kind, const std::string& name,
                                              object_version expected) const = 0;
  [[nodiscard]] virtual write_status decode_write(const http_response& answer) const = 0;
};

/// \brief Kinds of objects of this project's own.
namespace object_kinds {
/// One object a node.
inline constexpr const char* nodes = "zinnia-nodes";
/// The operators' settings, as the object `settings_name`.
inline constexpr const char* settings = "zinnia-settings";
inline constexpr const char* settings_name = "main";
}  // namespace object_kinds

}  // namespace zinnia
