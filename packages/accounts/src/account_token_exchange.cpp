// Asking other holders for tokens and answering their asks.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "token_targets.hpp"
#include "zinnia/accounts/account_limits.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr std::size_t max_asks = 4;
/// An ask is not divided into smaller parts than this.
constexpr double min_part = 0.25;
constexpr duration min_account_pause{250};
constexpr int max_pause_doublings = 2;
/// Pause of one holder after a grant of less than was asked for, as a part of the time in which it earns the
/// amount. With all of that time, one node that needs an account's whole limit got 80% of it at 12 holders;
/// with a quarter, more asks were refused and it got 82%; with half, over 85%.
constexpr double pause_part = 0.5;
constexpr double ms_per_second = 1000;
constexpr double min_holder_pause_ms = 50;
constexpr double max_holder_pause_ms = 1000;
constexpr double per_thousand = 1000;
/// The part of an asked amount that counts as all of it; amounts are rounded to thousandths.
constexpr double full_grant = 0.99;
/// A grant of less than this part of the asked amount counts as a refusal.
constexpr double least_grant = 0.05;

[[nodiscard]] std::uint32_t to_thousandths(double tokens) noexcept {
  return static_cast<std::uint32_t>(std::clamp(std::floor(tokens * per_thousand), 0.0, 1e9));
}

}  // namespace
}  // namespace impl

void account_limits::drop_lost_asks(state& entry, time_point now) {
  std::erase_if(entry.asks, [now](const sent_ask& ask) { return now - ask.sent_at > max_account_grant_age; });
}

std::vector<std::size_t> account_limits::choose_holders(const state& entry, std::size_t count,
                                                        time_point now) const {
  std::vector<std::tuple<int, std::int64_t, std::size_t, std::size_t>> found;
  for (std::size_t i = 0; i < entry.account_holders.size(); ++i) {
    const auto holder = entry.account_holders[i];
    if (holder == this->holders.self ||
        std::any_of(entry.asks.begin(), entry.asks.end(),
                    [holder](const sent_ask& ask) { return ask.holder == holder; })) {
      continue;
    }
    const auto known = entry.records.find(holder);
    const auto record = known == entry.records.end() ? holder_record{} : known->second;
    if (now >= record.paused_until) {
      found.emplace_back(this->holders.all[holder].distance, -record.last_grant_at.ms, i, holder);
    }
  }
  const auto taken = std::min(count, found.size());
  std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(taken), found.end());
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < taken; ++i) {
    chosen.push_back(std::get<3>(found[i]));
  }
  return chosen;
}

void account_limits::ask_for(std::uint64_t account, state& entry, std::vector<addressed_ask>& asks,
                             time_point now) {
  const double need = this->needed(account, entry);
  if (need < impl::min_ask || now < entry.paused_until || entry.asks.size() >= impl::max_asks) {
    return;
  }
  // Several holders are more likely to have the whole amount than one is.
  const auto wanted = static_cast<std::size_t>(std::ceil(need / impl::min_part));
  const auto chosen = this->choose_holders(entry, std::min(impl::max_asks - entry.asks.size(), wanted), now);
  for (const auto holder : chosen) {
    const auto thousandths = impl::to_thousandths(need / static_cast<double>(chosen.size()));
    const auto nonce = this->next_nonce++;
    entry.asks.push_back({nonce, holder, thousandths / impl::per_thousand, now});
    asks.push_back({this->holders.all[holder].address, {account, thousandths, nonce}});
  }
}

std::vector<addressed_ask> account_limits::take_asks(time_point now) {
  this->drop_idle(now);
  std::vector<addressed_ask> asks;
  std::erase_if(this->short_accounts, [&](std::uint64_t account) {
    const auto found = this->states.find(account);
    if (found == this->states.end()) {
      return true;
    }
    auto& entry = found->second;
    count_demand(entry, now, 0);
    static_cast<void>(entry.bucket.tokens(now));
    drop_lost_asks(entry, now);
    this->ask_for(account, entry, asks, now);
    entry.is_short = !entry.asks.empty() || this->needed(account, entry) >= impl::min_ask;
    return !entry.is_short;
  });
  return asks;
}

std::optional<account_grant> account_limits::on_ask(const account_ask& ask, time_point now) {
  auto* const entry = this->state_of(ask.account, now);
  if (entry == nullptr) {
    return std::nullopt;
  }
  count_demand(*entry, now, 0);
  const double reserve = std::max(impl::target_for(entry->demand), static_cast<double>(entry->waiting));
  const double surplus = entry->bucket.tokens(now) - reserve;
  const auto thousandths = impl::to_thousandths(
      std::min({surplus, ask.thousandths / impl::per_thousand, this->max_ask(ask.account)}));
  if (thousandths > 0) {
    entry->bucket.give(thousandths / impl::per_thousand, now);
  }
  return account_grant{ask.account, thousandths, ask.nonce};
}

bool account_limits::on_grant(const account_grant& grant, time_point now) {
  const auto found = this->states.find(grant.account);
  if (found == this->states.end()) {
    return false;
  }
  auto& entry = found->second;
  drop_lost_asks(entry, now);
  const auto ask = std::find_if(entry.asks.begin(), entry.asks.end(),
                                [&grant](const sent_ask& sent) { return sent.nonce == grant.nonce; });
  if (ask == entry.asks.end()) {
    return false;
  }
  const auto answered = *ask;
  entry.asks.erase(ask);
  const double amount = std::min(grant.thousandths / impl::per_thousand, answered.amount);
  auto& record = entry.records[answered.holder];
  // All holders have the same share.
  const auto share =
      share_of_account(*this->limited.at(grant.account), this->settings, entry.account_holders.size());
  if (amount > 0) {
    entry.bucket.receive(amount, answered.sent_at + share.token_lifetime, now);
    record.last_grant_at = now;
  }
  const bool is_refusal = amount < impl::least_grant * answered.amount;
  record.refusals = is_refusal ? std::min(record.refusals + 1, impl::max_pause_doublings + 1) : 0;
  if (amount < impl::full_grant * answered.amount) {
    const double earned_in_ms =
        std::min(answered.amount, share.cap) * impl::pause_part * impl::ms_per_second / share.rate_per_second;
    const auto pause_ms = static_cast<std::int64_t>(
        std::clamp(earned_in_ms, impl::min_holder_pause_ms, impl::max_holder_pause_ms));
    record.paused_until = now + duration{pause_ms << std::max(record.refusals - 1, 0)};
  }
  if (!is_refusal) {
    entry.refusals_in_row = 0;
    return true;
  }
  ++entry.refusals_in_row;
  const int excess = entry.refusals_in_row - this->refusals_to_pause(entry);
  if (excess >= 0) {
    entry.paused_until = now + impl::min_account_pause * (1 << std::min(excess, impl::max_pause_doublings));
  }
  return true;
}

}  // namespace zinnia
