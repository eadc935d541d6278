// The entry of this node in the store, and the removal of expired entries.
#include "zinnia/membership/member_codec.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Pause between writes of node entries. Longer than the store needs to respond and deliver the change event.
constexpr duration node_entry_write_pause{1500};
/// How often expired nodes are looked up.
constexpr duration expiry_check_period{2000};

}  // namespace
}  // namespace impl

void control_thread::maintain_registration(time_point now) {
  const auto& feed = this->node_watch().feed;
  if (!feed.is_complete() || feed.is_listing() || this->write_active || now < this->write_allowed_at) {
    return;
  }
  const auto own_entry = feed.objects().find(this->self.id.str());
  const bool is_present = own_entry != feed.objects().end();
  if (this->leaving) {
    if (is_present && !this->removal_sent) {
      this->removal_sent = true;
      this->write_object(this->adapter.store().remove_call(object_kinds::nodes, this->self.id.str(),
                                                           own_entry->second.version),
                         "leave", this->self.id.str());
    }
    return;
  }
  const auto document = encode_member(this->self);
  if (!is_present && now < this->store_restored_at + this->registration_delay()) {
    return;
  }
  if (!is_present) {
    this->write_object(this->adapter.store().create_call(object_kinds::nodes, this->self.id.str(), document),
                       "register", this->self.id.str());
    return;
  }
  const auto known = decode_member(own_entry->first, own_entry->second.document);
  if (!known || known->incarnation != this->self.incarnation) {
    this->write_object(this->adapter.store().replace_call(object_kinds::nodes, this->self.id.str(), document,
                                                          own_entry->second.version),
                       "register", this->self.id.str());
  }
}

void control_thread::remove_expired_nodes(time_point now) {
  if (now < this->next_expiry_check || this->write_active || this->leaving ||
      this->node_watch().feed.is_listing()) {
    return;
  }
  this->next_expiry_check = now + impl::expiry_check_period;
  const auto& objects = this->node_watch().feed.objects();
  for (const auto& expired : this->members.nodes_to_remove(now)) {
    if (const auto entry = objects.find(expired.str()); entry != objects.end()) {
      this->write_object(
          this->adapter.store().remove_call(object_kinds::nodes, expired.str(), entry->second.version),
          "forget", expired.str());
      return;
    }
  }
}

void control_thread::write_object(const http_call& call, const char* purpose, const std::string& name) {
  this->write_active = true;
  // The watch delivers the change itself. Until then nothing else is written.
  this->write_allowed_at = this->clock.now() + impl::node_entry_write_pause;
  this->counts.add(counter::store_calls);
  this->calls.start(call, [this, purpose, name](const http_response& response) {
    this->write_active = false;
    const bool is_done = this->adapter.store().decode_write(response) == write_status::ok;
    log_line{is_done ? log_level::info : log_level::warn, "store_written"}
        .field("purpose", purpose)
        .field("node_entry", name)
        .field("status", response.status)
        .field("cause", response.failure_reason);
    if (!is_done) {
      // Repeated after the pause between writes; the watch shows whether the entry is still there.
      this->removal_sent = false;
    }
  });
}

}  // namespace zinnia
