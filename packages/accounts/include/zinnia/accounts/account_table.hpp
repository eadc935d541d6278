// Client accounts as configured, and the lookup of an account by the key that a request carries.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia/core/ids.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/units.hpp"

namespace zinnia {

/// \brief Identifies a key to other nodes without revealing it; the same at all nodes.
using key_digest = strong_number<struct key_digest_tag, std::uint64_t>;

/// \brief A client account of the configuration.
struct account_declaration {
  account_id id;
  /// Any of these identifies the account.
  std::vector<std::string> keys;
  /// Compared before the priority of the route; 0 is the most urgent.
  int priority{0};
  /// Limits for all nodes together; 0 means no limit.
  double requests_per_second{0};
  double burst{0};
  /// Regions in which requests may be handled; all if empty.
  std::set<region_id> allowed_regions;
};

/// \brief Returns the digest of a key.
[[nodiscard]] key_digest digest_of_key(std::string_view key) noexcept;

/// \brief Immutable table of the accounts of one configuration.
class account_table {
 public:
  /// \brief   Builds the table.
  /// \returns An error if an account or a key occurs twice or is empty, or a number is out of range.
  [[nodiscard]] static result<std::shared_ptr<const account_table>> make(
      std::vector<account_declaration> accounts_in);

  /// \brief Returns the account that holds the key, or null. The time that a comparison takes does not depend
  ///        on how much of a key is right.
  [[nodiscard]] const account_declaration* find_by_key(std::string_view key) const noexcept;
  /// \brief Returns the account that holds a key with that digest, or null.
  [[nodiscard]] const account_declaration* find_by_digest(key_digest digest) const noexcept;
  [[nodiscard]] const account_declaration* find(const account_id& id) const noexcept;
  /// \brief   Returns the priority of requests that need no key and have none.
  /// \details The least urgent of all accounts, so that no caller gains by leaving out its key.
  [[nodiscard]] int priority_without_account() const noexcept { return this->least_urgent; }
  /// \brief Returns the mean rate of the accounts that have a limit; 1 if none has.
  [[nodiscard]] double mean_rate_limit() const noexcept { return this->mean_rate; }
  [[nodiscard]] const std::vector<account_declaration>& all() const noexcept { return this->accounts; }

 private:
  struct key_entry {
    std::size_t account{0};
    std::size_t key{0};
  };

  explicit account_table(std::vector<account_declaration> accounts_in) : accounts{std::move(accounts_in)} {}

  std::vector<account_declaration> accounts;
  int least_urgent{0};
  double mean_rate{1};
  // Positions in `accounts`. Invariant: no two keys have the same digest.
  absl::flat_hash_map<std::uint64_t, key_entry> by_digest;
  absl::flat_hash_map<account_id, std::size_t> by_id;
};

}  // namespace zinnia
