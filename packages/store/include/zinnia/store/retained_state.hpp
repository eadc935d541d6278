// What a node holds in force although the store, restored from a copy, may lack it; and its encoding between
// nodes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {

/// \brief A change that a restored store has lost and that stays in force for a time.
struct retained_change {
  /// Index of the object's kind, in an order that all nodes share.
  std::size_t kind{0};
  object_change change;
  /// When it ends, unless the object is written again before.
  time_point until;
};

/// \brief   What a node tells another one that starts, or that was away from the store.
/// \details Most of the time there are no retained changes, and the configuration is the one in the store.
struct retained_state {
  /// The version of the store up to which this node has heard of it; shows the era.
  object_version store_version;
  /// Number of the configuration in force.
  std::uint64_t configuration_number{0};
  /// The object of the configuration in force; empty if the other node has it.
  std::optional<stored_object> configuration;
  /// For each kind: the version up to which the store's objects are those of the copy; 0 if unknown.
  std::vector<object_version> copy_versions;
  std::vector<retained_change> changes;
};

/// \brief Returns a number that differs for different sets of retained changes; 0 if there are none.
[[nodiscard]] std::uint64_t digest_of(const std::vector<retained_change>& changes);

/// \brief Encodes the state for another node, with the time that each change has left.
/// \param known_configuration The number of the configuration that the other node has; only a newer one is
/// sent.
[[nodiscard]] std::string encode_retained_state(const retained_state& state,
                                                std::uint64_t known_configuration, time_point now);
/// \brief   Decodes another node's state.
/// \details The bytes are untrusted: anything but a valid state gives the error `malformed_frame`.
[[nodiscard]] result<retained_state> decode_retained_state(std::string_view bytes, time_point now);

}  // namespace zinnia
