// Division of an account's limit, and refilling of a bucket under a cap that changes.
#include "zinnia/accounts/account_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace impl {
namespace {

/// Least rate that is worth giving to another holder, in requests per second: with less, a node would admit
/// less than one request in 2 s without asking others.
constexpr double min_useful_rate = 0.5;
/// Parts of the tolerance above the limit; see `share_of_account`.
constexpr double cap_fraction = 0.4;
constexpr double lending_fraction = 0.2;
constexpr double start_fraction = 0.2;
/// A cap of less than one token would never admit a request.
constexpr double max_cap_addition = 1;
constexpr double ms_per_second = 1000;
/// Received tokens are kept for the time in which their giver earns one, so that fractions add up to a token,
/// but no longer than this.
constexpr duration max_token_lifetime{2000};
/// Tokens are sent in thousandths; sums of them may miss a whole token by rounding errors.
constexpr double tolerance = 1e-6;

/// Returns by how many requests the settings allow to exceed the limit in a window.
[[nodiscard]] double allowed_excess(const account_declaration& account,
                                    const account_limit_settings& settings) noexcept {
  const double window_s = static_cast<double>(settings.window.ms) / ms_per_second;
  return settings.overage * (account.requests_per_second * window_s + account.burst) + settings.slack;
}

}  // namespace
}  // namespace impl

std::size_t count_account_holders(const account_declaration& account, const account_limit_settings& settings,
                                  std::size_t holder_count) noexcept {
  const double by_rate = std::floor(account.requests_per_second / impl::min_useful_rate);
  const double by_cap =
      std::floor(account.burst + impl::cap_fraction * impl::allowed_excess(account, settings));
  const double count = std::min({by_rate, by_cap, static_cast<double>(holder_count)});
  return count < 1 ? 1 : static_cast<std::size_t>(count);
}

account_share share_of_account(const account_declaration& account, const account_limit_settings& settings,
                               std::size_t count) noexcept {
  const auto parts = static_cast<double>(std::max<std::size_t>(count, 1));
  const double excess = impl::allowed_excess(account, settings) / parts;
  account_share share;
  share.rate_per_second = account.requests_per_second / parts;
  share.cap = account.burst / parts + std::min(impl::cap_fraction * excess, impl::max_cap_addition);
  if (parts == 1) {
    share.cap = std::max(share.cap, 1.0);
  }
  share.start = std::min(impl::start_fraction * excess, share.cap);
  share.lending = impl::lending_fraction * excess;
  const auto token_ms = static_cast<std::int64_t>(impl::ms_per_second / share.rate_per_second);
  share.token_lifetime = std::clamp(duration{token_ms}, max_account_grant_age, impl::max_token_lifetime);
  return share;
}

account_bucket::account_bucket(const account_share& share_in, time_point since) noexcept
    : current_share{share_in}, level{share_in.start}, refilled_at{since} {}

void account_bucket::drop_expired(std::deque<timed_tokens>& entries, double& sum, time_point now) noexcept {
  while (!entries.empty() && entries.front().expires_at <= now) {
    sum -= entries.front().amount;
    entries.pop_front();
  }
  if (entries.empty()) {
    sum = 0;
  }
}

double account_bucket::effective_cap() const noexcept {
  return std::max(this->current_share.cap - std::max(this->given_sum - this->current_share.lending, 0.0),
                  0.0);
}

void account_bucket::refill(time_point now) noexcept {
  const auto elapsed_ms = static_cast<double>(std::max<std::int64_t>((now - this->refilled_at).ms, 0));
  this->refilled_at = std::max(this->refilled_at, now);
  drop_expired(this->given, this->given_sum, now);
  drop_expired(this->received, this->received_sum, now);
  const double cap = this->effective_cap();
  if (this->level < cap) {
    const double earned = this->current_share.rate_per_second * elapsed_ms / impl::ms_per_second;
    this->level = std::min(this->level + earned, cap);
  }
  // Received tokens that have expired count only as far as there is room for them.
  this->level = std::min(this->level, cap + this->received_sum);
}

void account_bucket::set_share(const account_share& share_in, time_point now) noexcept {
  this->refill(now);
  this->current_share = share_in;
  this->level = std::min(this->level, this->effective_cap() + this->received_sum);
}

double account_bucket::tokens(time_point now) noexcept {
  this->refill(now);
  return this->level;
}

bool account_bucket::has(int count, time_point now) noexcept {
  return this->tokens(now) + impl::tolerance >= count;
}

bool account_bucket::try_take(time_point now) noexcept {
  if (!this->has(1, now)) {
    return false;
  }
  this->level = std::max(this->level - 1, 0.0);
  return true;
}

void account_bucket::refund(time_point now) noexcept {
  this->refill(now);
  const double cap = this->effective_cap();
  if (this->level < cap) {
    this->level = std::min(this->level + 1, cap);
  }
}

void account_bucket::give(double amount, time_point now) {
  this->refill(now);
  this->level = std::max(this->level - amount, 0.0);
  this->given.push_back({amount, now + this->current_share.token_lifetime});
  this->given_sum += amount;
}

void account_bucket::receive(double amount, time_point expires_at, time_point now) {
  this->refill(now);
  this->level += amount;
  const auto position =
      std::upper_bound(this->received.begin(), this->received.end(), expires_at,
                       [](time_point value, const timed_tokens& entry) { return value < entry.expires_at; });
  this->received.insert(position, {amount, expires_at});
  this->received_sum += amount;
}

bool account_bucket::is_full(time_point now) noexcept {
  this->refill(now);
  return this->given.empty() && this->received.empty() &&
         this->level + impl::tolerance >= this->current_share.cap;
}

}  // namespace zinnia
