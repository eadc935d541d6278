// Recording of changes, and removal of old ones by age and by number.
#include "zinnia/store/change_log.hpp"

#include <algorithm>

#include "zinnia/store/store_era.hpp"

namespace zinnia {
namespace impl {
namespace {

/// How long changes are kept, in ms; longer than any pause of a peer that receives relayed changes.
constexpr duration max_entry_age{30'000};
/// Enough for a release of all backend servers of a large site.
constexpr std::size_t max_entries = 2000;

}  // namespace
}  // namespace impl

void change_log::record_changes(const std::vector<object_change>& changes, object_version synced_version,
                                time_point now) {
  if (!this->started) {
    // These are the objects of the first list; the log has no changes from before it. Its later pages may
    // hold newer objects.
    this->started = true;
    this->start_version = synced_version;
    this->end_version = synced_version;
    for (const auto& change : changes) {
      this->start_version = std::max(this->start_version, change.object.version);
    }
    return;
  }
  if (era_of(synced_version) > era_of(this->end_version)) {
    this->era_changes.emplace_back(this->end_version, synced_version);
  }
  this->end_version = std::max(this->end_version, synced_version);
  for (const auto& change : changes) {
    // A later page of a list may hold changes that are newer than the list.
    this->entries.push_back({change, std::max(this->end_version, change.object.version), now});
    this->latest_version = std::max(this->latest_version, change.object.version);
  }
  while (!this->entries.empty() && (this->entries.size() > impl::max_entries ||
                                    now - this->entries.front().recorded_at > impl::max_entry_age)) {
    // All changes of one response have the same `synced_version`. Once one of them is removed, the log cannot
    // serve a peer that knows less than this version.
    this->start_version = std::max(this->start_version, this->entries.front().synced_version);
    this->entries.pop_front();
  }
  while (!this->era_changes.empty() && this->era_changes.front().second <= this->start_version) {
    this->era_changes.pop_front();
  }
}

feed_reply change_log::changes_since(object_version known) const {
  feed_reply reply;
  const bool is_beyond_lost_changes =
      std::any_of(this->era_changes.begin(), this->era_changes.end(),
                  [known](const auto& each) { return each.first < known && known < each.second; });
  if (!this->started || known < this->start_version || is_beyond_lost_changes) {
    reply.status = feed_status::history_gone;
    return reply;
  }
  reply.status = feed_status::ok;
  reply.store_version = this->end_version;
  for (const auto& recorded : this->entries) {
    if (recorded.synced_version > known) {
      reply.changes.push_back(recorded.change);
    }
  }
  return reply;
}

void reject_late_replies(std::vector<feed_reply>& replies, const std::vector<object_version>& named,
                         const std::vector<object_version>& known) {
  for (std::size_t i = 0; i < replies.size() && i < named.size() && i < known.size(); ++i) {
    if (named[i] != known[i]) {
      replies[i].status = feed_status::failed;
    }
  }
}

}  // namespace zinnia
