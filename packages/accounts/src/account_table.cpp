// Validation of the configured accounts, and lookups by key digest.
#include "zinnia/accounts/account_table.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr double max_rate = 1e9;

/// Compares all characters, so that the time taken does not tell how many of them are right.
[[nodiscard]] bool is_equal(std::string_view a, std::string_view b) noexcept {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

[[nodiscard]] std::optional<error> find_fault(const account_declaration& account) {
  const auto fault = [&](const std::string& message) {
    return error{reason::invalid_setting, message, "account " + account.id.str()};
  };
  if (account.id.empty()) {
    return fault("name: empty; allowed: at least one character");
  }
  for (const double value : {account.requests_per_second, account.burst}) {
    if (!std::isfinite(value) || value < 0 || value > max_rate) {
      return fault("limit: " + std::to_string(value) + "; allowed: 0 to 1000000000");
    }
  }
  return std::nullopt;
}

}  // namespace
}  // namespace impl

key_digest digest_of_key(std::string_view key) noexcept {
  return key_digest{stable_hash(key)};
}

result<std::shared_ptr<const account_table>> account_table::make(
    std::vector<account_declaration> accounts_in) {
  auto table = std::shared_ptr<account_table>{new account_table{std::move(accounts_in)}};
  for (std::size_t i = 0; i < table->accounts.size(); ++i) {
    const auto& account = table->accounts[i];
    if (auto fault = impl::find_fault(account)) {
      return *fault;
    }
    table->least_urgent = std::max(table->least_urgent, account.priority);
    const auto position = "account " + account.id.str();
    if (!table->by_id.emplace(account.id, i).second) {
      return error{reason::invalid_setting, "name: occurs twice; allowed: once", position};
    }
    for (std::size_t key = 0; key < account.keys.size(); ++key) {
      // Messages do not contain the key.
      if (account.keys[key].empty()) {
        return error{reason::invalid_setting, "key: empty; allowed: at least one character", position};
      }
      if (!table->by_digest.emplace(digest_of_key(account.keys[key]).count(), key_entry{i, key}).second) {
        return error{reason::invalid_setting, "key: held by two accounts or twice; allowed: once", position};
      }
    }
  }
  double sum = 0;
  int limited = 0;
  for (const auto& account : table->accounts) {
    sum += account.requests_per_second;
    limited += account.requests_per_second > 0 ? 1 : 0;
  }
  table->mean_rate = limited == 0 ? 1 : sum / limited;
  return std::shared_ptr<const account_table>{std::move(table)};
}

const account_declaration* account_table::find_by_key(std::string_view key) const noexcept {
  const auto found = this->by_digest.find(digest_of_key(key).count());
  if (found == this->by_digest.end()) {
    return nullptr;
  }
  const auto& account = this->accounts[found->second.account];
  return impl::is_equal(account.keys[found->second.key], key) ? &account : nullptr;
}

const account_declaration* account_table::find_by_digest(key_digest digest) const noexcept {
  const auto found = this->by_digest.find(digest.count());
  return found == this->by_digest.end() ? nullptr : &this->accounts[found->second.account];
}

const account_declaration* account_table::find(const account_id& id) const noexcept {
  const auto found = this->by_id.find(id);
  return found == this->by_id.end() ? nullptr : &this->accounts[found->second];
}

}  // namespace zinnia
