// Encoding of the changes that one node tells another.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia/core/result.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {

/// \brief One reply for each kind; each is `ok` or `history_gone`.
[[nodiscard]] std::string encode_relayed_changes(const std::vector<feed_reply>& kinds);
/// \brief The bytes come from another machine; an error of code `malformed_frame` if they are not news.
[[nodiscard]] result<std::vector<feed_reply>> decode_relayed_changes(std::string_view bytes);

/// \brief Versions as text for a query, separated by commas.
[[nodiscard]] std::string encode_versions(const std::vector<object_version>& versions);
/// \brief Nothing for any other text.
[[nodiscard]] std::optional<std::vector<object_version>> decode_versions(std::string_view text);

}  // namespace zinnia
