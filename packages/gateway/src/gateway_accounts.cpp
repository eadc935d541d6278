// What the gateway knows about client accounts beyond the current snapshot.
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

}  // namespace zinnia
