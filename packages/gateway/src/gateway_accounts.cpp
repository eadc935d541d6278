// What the gateway knows about client accounts beyond the current snapshot.
#include "hop_fields.hpp"
#include "zinnia/gateway/gateway.hpp"

namespace zinnia {

void gateway::set_confirmation(config_version version, time_point valid_until) {
  this->confirmed_version = version;
  this->confirmed_until = valid_until;
}

bool gateway::is_configuration_confirmed(time_point now) const noexcept {
  return !this->options.revocation_limit ||
         (now < this->confirmed_until && this->current_snapshot != nullptr &&
          this->current_snapshot->version >= this->confirmed_version);
}

std::optional<account_identity> gateway::identify_account(const request_head& head,
                                                          const forwarded_request* forwarded) const {
  if (forwarded != nullptr) {
    return forwarded->account;
  }
  const auto& accounts = this->current_snapshot->accounts;
  return accounts == nullptr
             ? std::nullopt
             : identify(*accounts, find_field(head.fields, this->options.field_names.account_key));
}

access_decision gateway::check_access(const std::optional<account_identity>& identity,
                                      const route& wanted) const {
  return zinnia::check_access(this->current_snapshot->accounts.get(), identity, wanted.is_public,
                              this->is_configuration_confirmed(this->clock.now()));
}

}  // namespace zinnia
