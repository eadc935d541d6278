// Heartbeats of the control thread: sent to the other nodes, and received from them.
#include "heartbeat_socket.hpp"
#include "load_meter.hpp"
#include "peer_state_exchange.hpp"
#include "zinnia/node/control_thread.hpp"

namespace zinnia {

void control_thread::send_heartbeats(time_point now) {
  const bool reaches = this->reaches_backends;
  const bool is_confirmed = this->is_confirmed(now);
  if (now < this->next_heartbeat && reaches == this->announced_reaches_backends &&
      is_confirmed == this->announced_confirmed) {
    return;
  }
  this->announced_reaches_backends = reaches;
  this->announced_confirmed = is_confirmed;
  this->next_heartbeat = now + heartbeat_period;
  node_heartbeat outgoing;
  outgoing.id = this->self.id;
  outgoing.incarnation = this->self.incarnation;
  outgoing.ready = this->ready;
  outgoing.leaving = this->is_leaving();
  outgoing.reaches_backends = reaches;
  outgoing.is_confirmed = is_confirmed;
  outgoing.load = this->meter->load();
  outgoing.watching = this->is_watching();
  outgoing.state = this->own_state;
  if (outgoing.watching) {
    outgoing.latest_versions = this->changes_to_relay.latest_change_versions();
  }
  this->heartbeats->send(outgoing, this->members.peers());
}

void control_thread::receive_heartbeats(time_point now) {
  const int malformed = this->heartbeats->receive([&](const node_heartbeat& received) {
    this->members.on_heartbeat(received, now);
    this->on_announced_configuration(received);
    this->state_exchange->on_heartbeat(received, this->own_state, now);
  });
  for (int i = 0; i < malformed; ++i) {
    this->counts.add(counter::malformed_frames);
  }
}

}  // namespace zinnia
