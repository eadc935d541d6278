// What changes of the store do to the routing state and the list of nodes.
#include <algorithm>

#include "zinnia/membership/member_codec.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// How long a backend server stays in use after its entry disappeared. Entries may lapse while the store is
/// unreachable, and are back within 2 s after it recovers.
constexpr duration entry_lapse_grace{1800};
/// The same shortly after this node could not reach the store: the entry may have been missing for a long
/// time, and this node notices the recovery up to a second late.
constexpr duration lapse_grace_after_outage{1000};
/// Minimum time between the end of the grace period and the drain limit, after which a leaving server must
/// receive no more requests.
constexpr duration drain_margin{700};
/// Backend servers that are gone and remembered, in case a copy of the store still has them.
constexpr std::size_t max_removed_backends = 512;

}  // namespace
}  // namespace impl

duration control_thread::removal_grace() const {
  const bool has_just_recovered = this->clock.now() - this->store_regained_at < impl::entry_lapse_grace;
  const auto grace = has_just_recovered ? impl::lapse_grace_after_outage : impl::entry_lapse_grace;
  return std::clamp(this->settings.drain_limit - impl::drain_margin, duration{0}, grace);
}

void control_thread::remove_backend(const stored_object& entry, duration grace) {
  log_line{log_level::info, "backend_removed"}
      .field("backend", entry.name)
      .field("version", entry.version.count());
  if (const auto* const known = this->builder.find_backend(backend_id{entry.name})) {
    if (this->removed_backends.insert_or_assign(known->id, known->started_unix_ms).second) {
      this->removal_order.push_back(known->id);
    }
    if (this->removal_order.size() > impl::max_removed_backends) {
      this->removed_backends.erase(this->removal_order.front());
      this->removal_order.pop_front();
    }
  }
  this->builder.remove_backend(backend_id{entry.name}, this->clock.now(), grace);
}

void control_thread::apply_backend(const object_change& change) {
  const auto& object = change.object;
  if (change.deleted) {
    this->remove_backend(object, this->removal_grace());
    return;
  }
  const auto decoded = this->adapter.decode_backend(object, this->clock.now());
  if (!decoded || !this->settings.regions.contains(decoded->domain)) {
    this->counts.add(counter::settings_rejected);
    log_line{log_level::warn, "backend_entry_unreadable"}
        .field("backend", object.name)
        .field("version", object.version.count())
        .field("cause",
               decoded ? "unknown failure domain " + decoded->domain.str() : decoded.last_error().describe());
    // A server stays as its last readable entry said, but not where nobody knows its failure domain.
    if (decoded) {
      this->builder.remove_backend(backend_id{object.name}, this->clock.now(), this->removal_grace());
    }
    return;
  }
  log_line{log_level::info, "backend_declared"}
      .field("backend", object.name)
      .field("service", decoded->service.str())
      .field("domain", decoded->domain.str())
      .field("draining", decoded->mode == backend_mode::draining ? 1 : 0)
      .field("cold_left_ms", (decoded->cold_until - this->clock.now()).ms)
      .field("version", object.version.count());
  if (this->removed_backends.erase(decoded->id) > 0) {
    std::erase(this->removal_order, decoded->id);
  }
  this->builder.set_backend(*decoded);
}

void control_thread::apply_configuration(const object_change& change) {
  const auto& object = change.object;
  const auto found = this->adapter.decode_configuration(object);
  if (change.deleted || !found) {
    return;
  }
  const auto& decoded = *found;
  if (!decoded) {
    this->counts.add(counter::settings_rejected);
    log_line{log_level::error, "configuration_rejected"}
        .field("version", object.version.count())
        .field("cause", decoded.last_error().describe());
    return;
  }
  const bool is_newer = this->builder.set_configuration(decoded->routing);
  log_line{log_level::info, is_newer ? "configuration_accepted" : "configuration_ignored"}
      .field("config_version", static_cast<std::int64_t>(decoded->routing.version.count()))
      .field("version", object.version.count())
      .field("routes", static_cast<std::int64_t>(decoded->routing.routes.size()));
  this->config_version_seen = std::max(this->config_version_seen, object.version);
  if (is_newer) {
    this->configuration_in_force = object;
    this->events.on_limits(decoded->limits);
  }
}

void control_thread::apply_evacuation(const object_change& change) {
  log_line{log_level::info, change.deleted ? "evacuation_ended" : "evacuation_begun"}
      .field("domain", change.object.name)
      .field("version", change.object.version.count());
  const failure_domain_id domain{change.object.name};
  this->builder.set_evacuated(domain, !change.deleted);
  if (change.deleted) {
    this->ended_evacuations.insert(domain);
  } else {
    this->ended_evacuations.erase(domain);
  }
}

void control_thread::apply_tree(const object_change& change) {
  if (change.object.name != object_kinds::settings_name || change.deleted) {
    return;
  }
  const auto document = decode_settings_document(change.object.document);
  const auto tree = document ? settings_tree::parse(*document, "stored settings")
                             : result<settings_tree>{document.last_error()};
  if (!tree) {
    this->counts.add(counter::settings_rejected);
    log_line{log_level::error, "settings_tree_rejected"}
        .field("version", change.object.version.count())
        .field("cause", tree.last_error().describe());
    return;
  }
  log_line{log_level::info, "settings_tree_accepted"}
      .field("version", change.object.version.count())
      .field("author", document->author)
      .field("edit", document->edit_id);
  this->builder.set_tree(std::make_shared<const settings_tree>(*tree));
  this->tree_document = change.object.document;
}

void control_thread::apply_node(const object_change& change) {
  if (change.deleted) {
    this->members.remove(node_id{change.object.name});
    return;
  }
  const auto decoded = decode_member(change.object.name, change.object.document);
  if (!decoded) {
    log_line{log_level::warn, "node_entry_unreadable"}.field("cause", decoded.last_error().describe());
    return;
  }
  this->members.add(*decoded, this->clock.now());
}

}  // namespace zinnia
