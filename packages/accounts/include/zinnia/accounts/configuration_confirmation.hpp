// Decides until when a node can prove that the configuration in force was recently the newest one.
#pragma once

#include "zinnia/core/clock.hpp"
#include "zinnia/core/units.hpp"

namespace zinnia {

/// \brief Part of the revocation limit that a proof does not use: the time between the check of a request and
///        its first byte at a server, and the rounding of ages to milliseconds.
inline constexpr duration confirmation_margin{100};

/// \brief   How long a proof lasts once a peer has announced a newer configuration than the one in force.
/// \details The store or a relay delivers a change within this time. A proof from before the change stays
/// true
///          meanwhile; without this time, each change would refuse requests at the nodes that hear of it
///          last.
inline constexpr duration max_announcement_lead{700};

/// \brief Returns the longest time that a watch of the configuration may wait, so that the proof is renewed
///        before it ends even if two calls in a row are lost.
[[nodiscard]] constexpr duration confirmation_watch_time(duration revocation_limit) noexcept {
  return {revocation_limit.ms / 4};
}

/// \brief   The proof that the configuration in force was the newest one at a known time. No I/O; not
///          thread-safe.
/// \details A proof counts from the time at which the query was sent: the answer may have been delayed, and
///          says nothing of the time after the store received the query. All times are of `boot_clock`, so a
///          proof also expires while the process is stopped.
class configuration_confirmation {
 public:
  /// \param revocation_limit_in Time after which a removed key must not be accepted anywhere.
  explicit configuration_confirmation(duration revocation_limit_in) : revocation_limit{revocation_limit_in} {}

  /// \brief Records that this configuration was the newest one at `query_time` or later. Has no effect on the
  ///        proof if a later query or a newer configuration has been confirmed.
  void on_confirmed(config_version version, time_point query_time);
  /// \brief Records the configuration in force at this node.
  void on_configuration(config_version version);
  /// \brief Records the configuration that a peer has announced. Only ends proofs, so it may come from a
  ///        datagram. Until this node has it, answers that confirm an older one count for nothing.
  void on_peer_configuration(config_version version, time_point now);

  /// \brief Returns the end of the proof; time 0 if there is none.
  [[nodiscard]] time_point valid_until() const noexcept;
  /// \brief Returns the oldest configuration for which the proof is valid.
  [[nodiscard]] config_version required_version() const noexcept { return this->confirmed; }
  /// \brief Returns when the query was sent that the proof is based on; time 0 if there is none.
  [[nodiscard]] time_point query_time() const noexcept { return this->confirmed_at; }

 private:
  duration revocation_limit;
  // Invariant: never decreases.
  config_version confirmed;
  // Invariant: the highest number that a peer has announced; never decreases.
  config_version announced;
  // When it became higher than the number in force.
  time_point announced_at;
  // Invariant: never decreases.
  time_point confirmed_at;
  // Invariant: never decreases.
  config_version in_force;
};

}  // namespace zinnia
