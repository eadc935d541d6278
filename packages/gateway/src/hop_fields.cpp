// Serializes and parses the fields between nodes.
#include "hop_fields.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <charconv>
#include <limits>

namespace zinnia {
namespace impl {
namespace {

constexpr std::string_view sender_field = "Zinnia-Hop-Sender";
constexpr std::string_view version_field = "Zinnia-Hop-Version";
constexpr std::string_view service_field = "Zinnia-Hop-Service";
constexpr std::string_view attempts_left_field = "Zinnia-Hop-Attempts-Left";
constexpr std::string_view tried_field = "Zinnia-Hop-Tried";
constexpr std::string_view verdict_field = "Zinnia-Hop-Verdict";
constexpr std::string_view reason_field = "Zinnia-Hop-Reason";
constexpr std::string_view sent_field = "Zinnia-Hop-Sent";
constexpr std::string_view account_field = "Zinnia-Hop-Account";
constexpr std::string_view key_digest_field = "Zinnia-Hop-Key-Digest";

/// Returns the account that the sender names, or nullopt if a field is missing or malformed.
[[nodiscard]] std::optional<account_identity> find_account(const header_fields& fields) {
  constexpr int hexadecimal = 16;
  constexpr std::size_t digit_count = 16;
  const auto name = find_field(fields, account_field).value_or("");
  const auto text = find_field(fields, key_digest_field).value_or("");
  std::uint64_t digest = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, digest, hexadecimal);
  if (name.empty() || text.size() != digit_count || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return account_identity{account_id{std::string{name}}, key_digest{digest}};
}

/// Returns the reason that another node is told. Builds from before `node_stopping` read an unknown reason as
/// an unsound response; a peer that stops has no room for the request either.
[[nodiscard]] reason reason_between_nodes(reason own) noexcept {
  return own == reason::node_stopping ? reason::peer_busy : own;
}

/// Returns a number that fits an int, or nullopt.
[[nodiscard]] std::optional<int> find_count(const header_fields& fields, std::string_view name) {
  const auto text = find_field(fields, name);
  const auto number = text ? parse_number(*text) : std::nullopt;
  if (!number || *number > std::numeric_limits<int>::max()) {
    return std::nullopt;
  }
  return static_cast<int>(*number);
}

}  // namespace
}  // namespace impl

const std::vector<std::string_view>& hop_field_names() {
  static const std::vector<std::string_view> names{
      impl::sender_field,  impl::version_field,   impl::service_field, impl::attempts_left_field,
      impl::tried_field,   impl::verdict_field,   impl::reason_field,  impl::sent_field,
      impl::account_field, impl::key_digest_field};
  return names;
}

header_fields encode_hop_fields(const forwarded_request& request) {
  const auto append_id = [](std::string* out, const backend_id& id) { out->append(id.str()); };
  header_fields fields{{std::string{impl::sender_field}, request.sender.str()},
                       {std::string{impl::version_field}, absl::StrCat(request.version.count())},
                       {std::string{impl::service_field}, request.service.str()},
                       {std::string{impl::attempts_left_field}, absl::StrCat(request.attempts_left)},
                       {std::string{impl::tried_field}, absl::StrJoin(request.tried, ",", append_id)}};
  if (request.account) {
    fields.push_back({std::string{impl::account_field}, request.account->id.str()});
    fields.push_back({std::string{impl::key_digest_field},
                      absl::StrCat(absl::Hex(request.account->digest.count(), absl::kZeroPad16))});
  }
  return fields;
}

header_fields encode_hop_fields(const hop_result& result) {
  return {{std::string{impl::verdict_field}, std::string{to_string(result.run_verdict)}},
          {std::string{impl::reason_field},
           std::string{to_string(impl::reason_between_nodes(result.own_reason))}},
          {std::string{impl::sent_field}, absl::StrCat(result.sent_count)}};
}

std::optional<forwarded_request> parse_forwarded_request(const header_fields& fields) {
  const auto sender = find_field(fields, impl::sender_field);
  const auto service = find_field(fields, impl::service_field);
  const auto version_text = find_field(fields, impl::version_field);
  const auto version = version_text ? parse_number(*version_text) : std::nullopt;
  const auto attempts_left = impl::find_count(fields, impl::attempts_left_field);
  if (!sender || sender->empty() || !service || !version || !attempts_left || *attempts_left < 1) {
    return std::nullopt;
  }
  forwarded_request parsed;
  parsed.sender = node_id{std::string{*sender}};
  parsed.version = config_version{static_cast<std::uint64_t>(*version)};
  parsed.service = service_id{std::string{*service}};
  parsed.attempts_left = *attempts_left;
  const auto tried = find_field(fields, impl::tried_field).value_or("");
  for (const absl::string_view id :
       absl::StrSplit(absl::string_view{tried.data(), tried.size()}, ',', absl::SkipEmpty())) {
    parsed.tried.emplace_back(std::string{id});
  }
  parsed.account = impl::find_account(fields);
  return parsed;
}

std::optional<hop_result> parse_hop_result(const header_fields& fields) {
  const auto run_verdict = parse_verdict(find_field(fields, impl::verdict_field).value_or(""));
  const auto own_reason = parse_reason(find_field(fields, impl::reason_field).value_or(""));
  const auto sent_count = impl::find_count(fields, impl::sent_field);
  if (!run_verdict || !own_reason || !sent_count) {
    return std::nullopt;
  }
  return hop_result{*run_verdict, *own_reason, *sent_count};
}

bool is_refused_on_arrival(const hop_result& result) noexcept {
  if (result.run_verdict != verdict::did_not_run || result.sent_count > 0) {
    return false;
  }
  return result.own_reason == reason::links_lost || result.own_reason == reason::peer_busy ||
         result.own_reason == reason::no_settings || result.own_reason == reason::no_route ||
         result.own_reason == reason::memory_short || result.own_reason == reason::unknown_key ||
         result.own_reason == reason::configuration_unconfirmed || result.own_reason == reason::node_stopping;
}

}  // namespace zinnia
