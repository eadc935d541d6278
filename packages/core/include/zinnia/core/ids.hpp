// Strong types for identifiers, so that the compiler rejects a region id where a service id is expected.
#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace zinnia {

/// \brief   A text identifier. Each tag type makes a distinct type of identifier.
/// \details Compared and hashed by text. An empty identifier means "none".
///
/// \code
/// service_id service{"crewdesk"};
/// \endcode
template <class Tag>
class strong_id {
 public:
  strong_id() = default;
  explicit strong_id(std::string id_text) noexcept : text{std::move(id_text)} {}

  /// \brief Returns the identifier as written in settings and logs.
  [[nodiscard]] const std::string& str() const noexcept { return this->text; }
  [[nodiscard]] bool empty() const noexcept { return this->text.empty(); }

  friend auto operator<=>(const strong_id&, const strong_id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const strong_id& id) { return out << id.text; }

  template <typename H>
  friend H AbslHashValue(H state, const strong_id& id) {  // NOLINT(readability-identifier-naming)
    return H::combine(std::move(state), id.text);
  }

 private:
  std::string text;
};

using service_id = strong_id<struct service_tag>;
using region_id = strong_id<struct region_tag>;
using failure_domain_id = strong_id<struct failure_domain_tag>;
using node_id = strong_id<struct node_tag>;
using account_id = strong_id<struct account_tag>;
/// \brief The address of a backend server, written as "ip:port".
using upstream_id = strong_id<struct upstream_tag>;
using request_id = strong_id<struct request_tag>;
/// \brief One run of a backend server, as declared. Stays the same if the address changes.
using backend_id = strong_id<struct backend_tag>;
/// \brief One run of a node's process; each restart gets a new one.
using incarnation_id = strong_id<struct incarnation_tag>;

}  // namespace zinnia

template <class Tag>
struct std::hash<zinnia::strong_id<Tag>> {
  size_t operator()(const zinnia::strong_id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.str());
  }
};
