// Keeps the latest confirmation and compares the numbers of configurations.
#include "zinnia/accounts/configuration_confirmation.hpp"

#include <algorithm>

namespace zinnia {

void configuration_confirmation::on_confirmed(config_version version, time_point query_time) {
  if (version < this->required) {
    // The answer comes from a store or a peer with older data.
    return;
  }
  this->required = version;
  this->confirmed_at = std::max(this->confirmed_at, query_time);
}

void configuration_confirmation::on_configuration(config_version version) {
  this->in_force = std::max(this->in_force, version);
}

void configuration_confirmation::on_peer_configuration(config_version version) {
  this->required = std::max(this->required, version);
}

time_point configuration_confirmation::valid_until() const noexcept {
  if (this->in_force < this->required || this->confirmed_at == time_point{}) {
    return {};
  }
  return this->confirmed_at + this->revocation_limit - confirmation_margin;
}

}  // namespace zinnia
