// The limits of accounts in the gateway: their inputs, and messages to and from other holders.
#include <random>
#include <utility>

#include "request_flow.hpp"
#include "zinnia/gateway/gateway.hpp"

namespace zinnia {

void gateway::set_limit_holders(limit_holders holders_in) {
  this->holders = std::move(holders_in);
  if (this->limits != nullptr) {
    this->limits->set_holders(this->holders, this->clock.now());
  }
}

void gateway::apply_account_limits() {
  const auto& accounts = this->current_snapshot->accounts;
  const auto now = this->clock.now();
  if (accounts != nullptr && this->limits == nullptr) {
    std::random_device source;
    const auto high = static_cast<std::uint64_t>(source());
    this->limits =
        std::make_unique<account_limits>(this->options.account_limits, (high << 32U) | source(), now);
    this->limits->set_holders(this->holders, now);
  }
  if (this->limits != nullptr) {
    // The instance stays when no accounts are configured any more: requests may still wait for tokens.
    this->limits->set_accounts(accounts, now);
  }
}

void gateway::send_account_asks() {
  if (this->limits == nullptr || !this->options.send_account_messages) {
    return;
  }
  for (const auto& [to, ask] : this->limits->take_asks(this->clock.now())) {
    this->options.send_account_messages(to, {{ask}, {}});
  }
}

void gateway::apply_account_messages(const account_messages& messages, const ip_endpoint& sender) {
  if (this->limits == nullptr) {
    return;
  }
  const auto now = this->clock.now();
  account_messages answer;
  for (const auto& ask : messages.asks) {
    if (const auto grant = this->limits->on_ask(ask, now)) {
      answer.grants.push_back(*grant);
    }
  }
  if (!answer.grants.empty() && this->options.send_account_messages) {
    this->options.send_account_messages(sender, answer);
  }
  bool has_tokens = false;
  for (const auto& grant : messages.grants) {
    has_tokens = this->limits->on_grant(grant, now) || has_tokens;
  }
  if (has_tokens) {
    this->serve_waiting_for_tokens();
    this->send_account_asks();
  }
}

std::vector<account_usage> gateway::account_usages() const {
  return this->limits == nullptr ? std::vector<account_usage>{} : this->limits->usage(this->clock.now());
}

void gateway::serve_waiting_for_tokens() {
  std::deque<wait_ticket> still_waiting;
  for (const auto ticket : std::exchange(this->waiting_for_tokens, {})) {
    if (const auto found = this->flows.find(ticket); found != this->flows.end()) {
      const auto kept_alive = found->second;
      if (!kept_alive->try_leave_token_wait()) {
        still_waiting.push_back(ticket);
      }
    }
  }
  // Requests that began to wait meanwhile come last.
  still_waiting.insert(still_waiting.end(), this->waiting_for_tokens.begin(), this->waiting_for_tokens.end());
  this->waiting_for_tokens = std::move(still_waiting);
}

}  // namespace zinnia
