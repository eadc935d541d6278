// Identification of accounts and the check before each send.
#include "zinnia/accounts/account_access.hpp"

namespace zinnia {

std::optional<account_identity> identify(const account_table& accounts, std::optional<std::string_view> key) {
  const auto* const account = key ? accounts.find_by_key(*key) : nullptr;
  if (account == nullptr) {
    return std::nullopt;
  }
  return account_identity{account->id, digest_of_key(*key)};
}

access_decision check_access(const account_table* accounts, const std::optional<account_identity>& identity,
                             bool is_public, bool is_confirmed) {
  if (accounts == nullptr) {
    return {};
  }
  if (!is_confirmed) {
    return {is_public ? reason::none : reason::configuration_unconfirmed, nullptr};
  }
  const auto* const holder = identity ? accounts->find_by_digest(identity->digest) : nullptr;
  if (holder != nullptr && holder->id == identity->id) {
    return {reason::none, holder};
  }
  return {is_public ? reason::none : reason::unknown_key, nullptr};
}

}  // namespace zinnia
