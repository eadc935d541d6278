// Encoding of the store changes that a node relays to its peers.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia/core/result.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {

/// \brief Encodes one reply for each kind. A status other than `ok` is sent as `history_gone`.
[[nodiscard]] std::string encode_relayed_changes(const std::vector<feed_reply>& kinds);
/// \brief   Decodes the replies of a peer.
/// \details The bytes are untrusted: anything but valid relayed changes gives the error `malformed_frame`.
[[nodiscard]] result<std::vector<feed_reply>> decode_relayed_changes(std::string_view bytes);

/// \brief Formats versions for a URL query as decimal numbers separated by commas.
[[nodiscard]] std::string encode_versions(const std::vector<object_version>& versions);
/// \brief Parses the text that `encode_versions` writes; returns `nullopt` for any other text.
[[nodiscard]] std::optional<std::vector<object_version>> decode_versions(std::string_view text);

}  // namespace zinnia
