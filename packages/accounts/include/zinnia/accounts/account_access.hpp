// Decides whether a request may be sent on behalf of an account, on arrival and before every send.
#pragma once

#include <optional>
#include <string_view>

#include "zinnia/accounts/account_table.hpp"
#include "zinnia/core/reason.hpp"

namespace zinnia {

/// \brief What a request keeps of its caller's account. The key itself is not kept.
struct account_identity {
  account_id id;
  key_digest digest;

  friend bool operator==(const account_identity&, const account_identity&) = default;
};

/// \brief The answer to whether a request may be sent now.
struct access_decision {
  /// `reason::none` if it may be sent.
  reason refusal{reason::none};
  /// The request's account; null if it has none. Owned by the table.
  const account_declaration* account{nullptr};
};

/// \brief Returns the account that holds the key, with the key's digest; nullopt if there is none.
[[nodiscard]] std::optional<account_identity> identify(const account_table& accounts,
                                                       std::optional<std::string_view> key);

/// \brief   Decides whether a request may be sent under the current configuration.
/// \details Without a confirmed configuration no key counts as known: a request that needs one is refused,
/// and
///          one that needs none is sent without an account.
/// \param accounts     The current table; null if no accounts are configured, and everything is allowed then.
/// \param identity     What the request had on arrival.
/// \param is_public    True if the request needs no key.
/// \param is_confirmed False if the configuration may be outdated.
[[nodiscard]] access_decision check_access(const account_table* accounts,
                                           const std::optional<account_identity>& identity, bool is_public,
                                           bool is_confirmed);

}  // namespace zinnia
