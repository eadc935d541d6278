// Keeps the latest confirmation and compares the numbers of configurations.
#include "zinnia/accounts/configuration_confirmation.hpp"

#include <algorithm>

namespace zinnia {

void configuration_confirmation::on_confirmed(config_version version, time_point query_time) {
  if (version < std::max(this->confirmed, this->announced)) {
    // The answer comes from a store or a peer with older data.
    return;
  }
  this->confirmed = version;
  this->confirmed_at = std::max(this->confirmed_at, query_time);
}

void configuration_confirmation::on_configuration(config_version version) {
  this->in_force = std::max(this->in_force, version);
}

void configuration_confirmation::on_peer_configuration(config_version version, time_point now) {
  if (version > this->in_force && this->announced <= this->in_force) {
    this->announced_at = now;
  }
  this->announced = std::max(this->announced, version);
}

time_point configuration_confirmation::valid_until() const noexcept {
  if (this->in_force < this->confirmed || this->confirmed_at == time_point{}) {
    return {};
  }
  const auto end = this->confirmed_at + this->revocation_limit - confirmation_margin;
  return this->in_force < this->announced ? std::min(end, this->announced_at + max_announcement_lead) : end;
}

}  // namespace zinnia
