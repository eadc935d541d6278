// Encoding of the store changes that a node relays to its peers.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia/core/result.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {

/// \brief What a relay states of its own proof that its configuration is the newest one.
struct relayed_confirmation {
  config_version version;
  /// The time since the query was sent that the proof is based on, when the relay answered.
  duration age;

  friend bool operator==(const relayed_confirmation&, const relayed_confirmation&) = default;
};

/// \brief Encodes one reply for each kind. A status other than `ok` is sent as `history_gone`.
/// Without a confirmation the message is that of builds that know none.
[[nodiscard]] std::string encode_relayed_changes(
    const std::vector<feed_reply>& kinds,
    const std::optional<relayed_confirmation>& confirmation = std::nullopt);
/// \brief   Decodes the replies of a peer.
/// \details The bytes are untrusted: anything but valid relayed changes gives the error `malformed_frame`.
[[nodiscard]] result<std::vector<feed_reply>> decode_relayed_changes(std::string_view bytes);

/// \brief   Returns what the peer states of its proof; `nullopt` if it states none, as older builds do.
/// \details The bytes are untrusted; `nullopt` also for a message that is not valid.
[[nodiscard]] std::optional<relayed_confirmation> decode_relayed_confirmation(std::string_view bytes);

/// \brief Formats versions for a URL query as decimal numbers separated by commas.
[[nodiscard]] std::string encode_versions(const std::vector<object_version>& versions);
/// \brief Parses the text that `encode_versions` writes; returns `nullopt` for any other text.
[[nodiscard]] std::optional<std::vector<object_version>> decode_versions(std::string_view text);

}  // namespace zinnia
