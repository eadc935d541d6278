// Bounded by age and by number.
#include "zinnia/store/change_log.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

/// How long changes are kept; longer than any pause of a node that follows.
constexpr duration kept_for{30'000};
/// Most changes kept; a release of all backend servers of a large site.
constexpr std::size_t most_kept = 2000;

}  // namespace
}  // namespace impl

void change_log::record_changes(const std::vector<object_change>& changes, object_version synced_version,
                                time_point now) {
  if (!this->started) {
    // The first list: what came before is not in the log.
    this->started = true;
    this->from = synced_version;
    this->known = synced_version;
    return;
  }
  this->known = std::max(this->known, synced_version);
  for (const auto& change : changes) {
    this->entries.push_back({change, this->known, now});
    this->changed = std::max(this->changed, change.object.version);
  }
  while (!this->entries.empty() &&
         (this->entries.size() > impl::most_kept || now - this->entries.front().at > impl::kept_for)) {
    // Entries of one answer share a version; all of them are gone for someone who lacks one.
    this->from = std::max(this->from, this->entries.front().known_by);
    this->entries.pop_front();
  }
}

feed_reply change_log::changes_since(object_version known_there) const {
  feed_reply reply;
  if (!this->started || known_there < this->from) {
    reply.status = feed_status::history_gone;
    return reply;
  }
  reply.status = feed_status::ok;
  reply.store_version = this->known;
  for (const auto& one : this->entries) {
    if (one.known_by > known_there) {
      reply.changes.push_back(one.change);
    }
  }
  return reply;
}

}  // namespace zinnia
