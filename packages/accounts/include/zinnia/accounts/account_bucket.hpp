// One node's share of an account's limit, and the token bucket that keeps to it.
#pragma once

#include <cstddef>
#include <deque>

#include "zinnia/accounts/account_limit_settings.hpp"
#include "zinnia/accounts/account_table.hpp"
#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief Grants that arrive later than this after the ask are ignored.
inline constexpr duration max_account_grant_age{400};

/// \brief What one node may use of an account's limit.
struct account_share {
  double rate_per_second{0};
  double cap{0};
  /// Tokens at the start of the process.
  double start{0};
  /// Tokens given away within `token_lifetime` that do not count against the cap.
  double lending{0};
  /// How long a received token may exceed the receiver's cap, counted from the ask.
  duration token_lifetime{max_account_grant_age};
};

/// \brief Returns how many of the holders divide the account's limit: at least one.
[[nodiscard]] std::size_t count_account_holders(const account_declaration& account,
                                                const account_limit_settings& settings,
                                                std::size_t holder_count) noexcept;

/// \brief   Returns the share of each of the `count` holders that divide the account's limit.
/// \details With o = what the settings tolerate above rate x window + burst: the caps add up to the burst and
///          at most 0.4 o, lent tokens are at most 0.2 o, and one start of all nodes adds at most 0.2 o. The
///          limit thus holds in a window with up to two starts of every node.
[[nodiscard]] account_share share_of_account(const account_declaration& account,
                                             const account_limit_settings& settings,
                                             std::size_t count) noexcept;

/// \brief   A token bucket whose tokens can be given to and received from other nodes. Not thread safe.
/// \details Received tokens may exceed the cap until they expire. Tokens given away count against the cap
///          until they have expired at the receiver, apart from `account_share::lending`: otherwise a node
///          could refill while its tokens lie unused at others, and all together could exceed the limit.
class account_bucket {
 public:
  /// \param since When the bucket held `account_share::start` tokens.
  account_bucket(const account_share& share_in, time_point since) noexcept;

  /// \brief Changes the share. Tokens above the new cap are dropped.
  void set_share(const account_share& share_in, time_point now) noexcept;
  [[nodiscard]] const account_share& share() const noexcept { return this->current_share; }
  [[nodiscard]] double tokens(time_point now) noexcept;
  /// \brief Returns the tokens at the last call of any other function.
  [[nodiscard]] double last_level() const noexcept { return this->level; }
  [[nodiscard]] bool has(int count, time_point now) noexcept;
  /// \brief Takes one token. Returns false if less than one is left.
  [[nodiscard]] bool try_take(time_point now) noexcept;
  /// \brief Returns one token, as far as the cap allows.
  void refund(time_point now) noexcept;
  /// \brief Takes tokens for another node. The amount must not exceed `tokens(now)`.
  void give(double amount, time_point now);
  void receive(double amount, time_point expires_at, time_point now);
  /// \brief Returns true if dropping this bucket and creating a full one later makes no difference.
  [[nodiscard]] bool is_full(time_point now) noexcept;

 private:
  struct timed_tokens {
    double amount{0};
    time_point expires_at;
  };

  void refill(time_point now) noexcept;
  [[nodiscard]] double effective_cap() const noexcept;
  static void drop_expired(std::deque<timed_tokens>& entries, double& sum, time_point now) noexcept;

  account_share current_share;
  double level{0};
  time_point refilled_at;
  std::deque<timed_tokens> received;
  double received_sum{0};
  std::deque<timed_tokens> given;
  double given_sum{0};
};

}  // namespace zinnia
