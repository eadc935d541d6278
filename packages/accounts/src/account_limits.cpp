// Admission by token buckets, and the exchange of tokens with other holders.
#include "zinnia/accounts/account_limits.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "token_targets.hpp"
#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Time over which demand is averaged.
constexpr double demand_time_ms = 1000;
/// Refusals without a grant between them after which an account's asks pause, if it has as many holders.
constexpr std::size_t max_refusals_in_row = 8;
/// Accounts with less demand per second count as idle.
constexpr double idle_demand = 0.01;
constexpr duration cleanup_period{1000};
constexpr double ms_per_second = 1000;
constexpr double max_retry_after_ms = 60'000;

}  // namespace
}  // namespace impl

void account_limits::set_accounts(std::shared_ptr<const account_table> table_in, time_point now) {
  if (table_in == this->table) {
    // Snapshots change far more often than accounts; outstanding asks must stay valid.
    return;
  }
  this->table = std::move(table_in);
  this->limited.clear();
  if (this->table != nullptr) {
    for (const auto& account : this->table->all()) {
      if (account.requests_per_second > 0) {
        this->limited.emplace(stable_hash(account.id.str()), &account);
      }
    }
  }
  absl::erase_if(this->states, [this](const auto& item) { return !this->limited.contains(item.first); });
  this->update_states(now);
}

void account_limits::set_holders(limit_holders holders_in, time_point now) {
  if (holders_in == this->holders) {
    return;
  }
  if (!this->holders.self) {
    this->holder_since = now;
  }
  this->holders = std::move(holders_in);
  this->update_states(now);
}

void account_limits::update_states(time_point now) {
  for (auto& [hash, entry] : this->states) {
    const auto& account = *this->limited.at(hash);
    entry.account_holders = this->holders_of(account);
    entry.bucket.set_share(this->share_of(account, entry.account_holders), now);
    // Positions of holders have changed.
    entry.records.clear();
    entry.asks.clear();
    entry.refusals_in_row = 0;
  }
}

std::vector<std::size_t> account_limits::holders_of(const account_declaration& account) const {
  const auto total = this->holders.all.size();
  const auto count = count_account_holders(account, this->settings, total);
  std::vector<std::size_t> order(total);
  std::iota(order.begin(), order.end(), std::size_t{0});
  if (count < total) {
    std::vector<std::uint64_t> weights(total);
    for (std::size_t i = 0; i < total; ++i) {
      weights[i] = rendezvous_weight(this->holders.all[i].id.str(), account.id.str());
    }
    const auto first = [&weights](std::size_t a, std::size_t b) {
      return std::pair{weights[b], a} < std::pair{weights[a], b};
    };
    std::nth_element(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(), first);
    order.resize(count);
    std::sort(order.begin(), order.end());
  }
  // Nodes begin to ask at different holders.
  const auto begin = std::upper_bound(order.begin(), order.end(),
                                      this->holders.self.value_or(this->next_nonce % (total + 1)));
  std::rotate(order.begin(), begin, order.end());
  return order;
}

account_share account_limits::share_of(const account_declaration& account,
                                       const std::vector<std::size_t>& account_holders) const {
  const bool is_holder = this->holders.self && std::find(account_holders.begin(), account_holders.end(),
                                                         *this->holders.self) != account_holders.end();
  return is_holder ? share_of_account(account, this->settings, account_holders.size()) : account_share{};
}

account_limits::state* account_limits::state_of(std::uint64_t account, time_point now) {
  if (const auto found = this->states.find(account); found != this->states.end()) {
    return &found->second;
  }
  const auto declared = this->limited.find(account);
  if (declared == this->limited.end()) {
    return nullptr;
  }
  auto account_holders = this->holders_of(*declared->second);
  const auto share = this->share_of(*declared->second, account_holders);
  state entry{account_bucket{share, this->holder_since}, std::move(account_holders), {}, {}, 0, now};
  return &this->states.emplace(account, std::move(entry)).first->second;
}

void account_limits::count_demand(state& entry, time_point now, double arrivals) noexcept {
  const auto elapsed_ms = static_cast<double>(std::max<std::int64_t>((now - entry.demand_at).ms, 0));
  if (elapsed_ms > 0) {
    entry.demand *= std::exp(-elapsed_ms / impl::demand_time_ms);
    entry.demand_at = now;
  }
  entry.demand += arrivals * impl::ms_per_second / impl::demand_time_ms;
}

double account_limits::max_ask(std::uint64_t account) const {
  // At least one token: less would not admit a request.
  return std::max(impl::target_for(this->limited.at(account)->requests_per_second), 1.0);
}

double account_limits::needed(std::uint64_t account, const state& entry) const {
  double outstanding = 0;
  for (const auto& ask : entry.asks) {
    outstanding += ask.amount;
  }
  // Requests that wait can't wait for this node's own rate.
  const double earned_soon = entry.waiting > 0 ? 0 : entry.bucket.share().rate_per_second * impl::ask_ahead_s;
  const double target = std::min(std::max(impl::target_for(entry.demand), static_cast<double>(entry.waiting)),
                                 this->max_ask(account));
  return target - entry.bucket.last_level() - earned_soon - outstanding;
}

int account_limits::refusals_to_pause(const state& entry) const {
  const bool is_holder = std::find(entry.account_holders.begin(), entry.account_holders.end(),
                                   this->holders.self) != entry.account_holders.end();
  const auto others = entry.account_holders.size() - (is_holder ? 1 : 0);
  return std::max(static_cast<int>(std::min(others, impl::max_refusals_in_row)), 1);
}

bool account_limits::can_wait(std::uint64_t account, const state& entry, time_point now) const {
  // After a pause, requests wait again only once an ask has been granted.
  if (entry.waiting >= this->max_ask(account) || now < entry.paused_until ||
      entry.refusals_in_row >= this->refusals_to_pause(entry)) {
    return false;
  }
  return !entry.asks.empty() || !this->choose_holders(entry, 1, now).empty();
}

duration account_limits::time_to_token(std::uint64_t account, state& entry, time_point now) const {
  const double own_rate = entry.bucket.share().rate_per_second;
  const double rate = own_rate > 0 ? own_rate : this->limited.at(account)->requests_per_second;
  const double missing = std::max(1 + entry.waiting - entry.bucket.tokens(now), 0.0);
  const double wait_ms = std::min(std::ceil(missing * impl::ms_per_second / rate), impl::max_retry_after_ms);
  return {static_cast<std::int64_t>(wait_ms)};
}

void account_limits::note_short(std::uint64_t account, state& entry, time_point now) {
  static_cast<void>(entry.bucket.tokens(now));
  if (!entry.is_short && this->needed(account, entry) >= impl::min_ask) {
    entry.is_short = true;
    this->short_accounts.push_back(account);
  }
}

account_decision account_limits::try_admit(const account_id& account, time_point now) {
  const auto hash = stable_hash(account.str());
  auto* const entry = this->state_of(hash, now);
  if (entry == nullptr) {
    return {};
  }
  count_demand(*entry, now, 1);
  // Requests that wait come first.
  if (entry->bucket.has(1 + entry->waiting, now) && entry->bucket.try_take(now)) {
    this->count_admission(*entry, now);
    this->note_short(hash, *entry, now);
    return {};
  }
  if (this->can_wait(hash, *entry, now)) {
    ++entry->waiting;
    this->note_short(hash, *entry, now);
    return {account_admission::waits, {}};
  }
  ++entry->rejected;
  this->note_short(hash, *entry, now);
  return {account_admission::over_limit, this->time_to_token(hash, *entry, now)};
}

account_admission account_limits::try_again(const account_id& account, time_point now) {
  auto* const entry = this->state_of(stable_hash(account.str()), now);
  if (entry == nullptr) {
    return account_admission::admitted;
  }
  if (!entry->bucket.try_take(now)) {
    return account_admission::waits;
  }
  entry->waiting = std::max(entry->waiting - 1, 0);
  this->count_admission(*entry, now);
  return account_admission::admitted;
}

duration account_limits::stop_waiting(const account_id& account, bool is_rejected, time_point now) {
  const auto hash = stable_hash(account.str());
  auto* const entry = this->state_of(hash, now);
  if (entry == nullptr) {
    return {};
  }
  entry->waiting = std::max(entry->waiting - 1, 0);
  entry->rejected += is_rejected ? 1 : 0;
  return this->time_to_token(hash, *entry, now);
}

void account_limits::refund(const account_id& account, time_point now) {
  if (auto* const entry = this->state_of(stable_hash(account.str()), now)) {
    entry->bucket.refund(now);
  }
}

void account_limits::update_window(state& entry, time_point now) const noexcept {
  const auto index = now.ms / std::max<std::int64_t>(this->settings.window.ms, 1);
  if (index != entry.window_index) {
    entry.in_previous_window = index == entry.window_index + 1 ? entry.in_window : 0;
    entry.in_window = 0;
    entry.window_index = index;
  }
}

void account_limits::count_admission(state& entry, time_point now) const noexcept {
  this->update_window(entry, now);
  ++entry.in_window;
  ++entry.admitted;
}

std::vector<account_usage> account_limits::usage(time_point now) const {
  std::vector<account_usage> found;
  for (const auto& [hash, known] : this->states) {
    const auto& account = *this->limited.at(hash);
    auto entry = known;
    count_demand(entry, now, 0);
    this->update_window(entry, now);
    // The part of the previous window that is within one window from now.
    const auto window_ms = std::max<std::int64_t>(this->settings.window.ms, 1);
    const double part = 1 - static_cast<double>(now.ms % window_ms) / static_cast<double>(window_ms);
    const auto earlier = static_cast<std::uint64_t>(part * static_cast<double>(entry.in_previous_window));
    found.push_back({account.id, account.requests_per_second, account.burst, entry.bucket.tokens(now),
                     entry.demand, entry.in_window + earlier, entry.admitted, entry.rejected});
  }
  return found;
}

void account_limits::drop_idle(time_point now) {
  if (now - this->cleaned_at < impl::cleanup_period) {
    return;
  }
  this->cleaned_at = now;
  absl::erase_if(this->states, [now](auto& item) {
    auto& entry = item.second;
    count_demand(entry, now, 0);
    return entry.demand < impl::idle_demand && entry.asks.empty() && entry.waiting == 0 && !entry.is_short &&
           entry.bucket.is_full(now);
  });
}

}  // namespace zinnia
