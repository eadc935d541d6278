// Suggestions for misspelled names, and parsing of IPv4 addresses and address blocks.
#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <numeric>

#include "zinnia/settings/settings_tree.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr std::size_t max_suggestion_distance = 3;
constexpr unsigned max_prefix_length = 32;

/// Returns the Levenshtein distance between two strings.
[[nodiscard]] std::size_t edit_distance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      row[j] = std::min({above + 1, row[j - 1] + 1, substituted});
      diagonal = above;
    }
  }
  return row[b.size()];
}

}  // namespace
}  // namespace impl

std::string nearest_name(const std::string& misspelled, const std::vector<std::string>& known) {
  std::string best;
  std::size_t best_distance = impl::max_suggestion_distance + 1;
  for (const auto& name : known) {
    const auto distance = impl::edit_distance(misspelled, name);
    if (distance < best_distance) {
      best = name;
      best_distance = distance;
    }
  }
  return best;
}

result<std::uint32_t> parse_ipv4(const std::string& text) {
  in_addr address{};
  if (inet_pton(AF_INET, text.c_str(), &address) != 1) {
    return error{reason::invalid_setting, "'" + text + "' is not an IPv4 address", ""};
  }
  return std::uint32_t{ntohl(address.s_addr)};
}

result<client_block> parse_client_block(const std::string& text) {
  const auto slash = text.find('/');
  const auto address = parse_ipv4(text.substr(0, slash));
  unsigned prefix_length = impl::max_prefix_length + 1;
  if (slash != std::string::npos) {
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + slash + 1, end, prefix_length);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
      prefix_length = impl::max_prefix_length + 1;
    }
  }
  if (!address || prefix_length > impl::max_prefix_length) {
    return error{reason::invalid_setting,
                 "clients: '" + text + "' is not a block such as 10.1.0.0/16 with a length of 0 to 32", ""};
  }
  const std::uint32_t host_mask =
      prefix_length == 0 ? UINT32_MAX
                         : (prefix_length == impl::max_prefix_length ? 0 : UINT32_MAX >> prefix_length);
  return client_block{*address & ~host_mask, *address | host_mask};
}

}  // namespace zinnia
