// Which connection goes when a listener has too many.
#include <algorithm>
#include <iterator>
#include <utility>

#include "zinnia/http/http_listener.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Candidates found at a time, so that not every new connection looks at all others.
constexpr std::size_t max_candidates = 32;

struct candidate {
  connection_standing standing{connection_standing::in_service};
  time_point since;
  std::shared_ptr<caller_connection> connection;
};

/// True if `a` should be closed before `b`.
[[nodiscard]] bool goes_first(const candidate& a, const candidate& b) noexcept {
  return std::pair{a.standing, a.since} < std::pair{b.standing, b.since};
}

}  // namespace
}  // namespace impl

bool http_listener::has_room() const noexcept {
  return this->connections.size() < this->max_connections &&
         (this->quota == nullptr || this->quota->has_room(this->quota_share));
}

void http_listener::remove(const std::shared_ptr<caller_connection>& removed) {
  this->connections.erase(removed);
  this->report_open();
}

void http_listener::report_open() noexcept {
  if (this->quota != nullptr) {
    this->quota->set_open(this->quota_share, this->connections.size());
  }
}

void http_listener::find_evictable() {
  std::vector<impl::candidate> candidates;
  candidates.reserve(this->connections.size());
  for (const auto& connection : this->connections) {
    const auto standing = connection->standing();
    if (standing < connection_standing::in_service) {
      candidates.push_back({standing, connection->standing_since(), connection});
    }
  }
  const auto kept = std::min(candidates.size(), impl::max_candidates);
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                    candidates.end(), impl::goes_first);
  candidates.resize(kept);
  this->evictable.clear();
  std::transform(candidates.rbegin(), candidates.rend(), std::back_inserter(this->evictable),
                 [](const impl::candidate& found) { return found.connection; });
}

bool http_listener::evict_one() {
  for (const bool is_fresh : {false, true}) {
    if (is_fresh) {
      this->find_evictable();
    }
    while (!this->evictable.empty()) {
      const auto evicted = this->evictable.back().lock();
      this->evictable.pop_back();
      if (evicted != nullptr && this->connections.contains(evicted) &&
          evicted->standing() < connection_standing::in_service) {
        evicted->close();
        this->remove(evicted);
        return true;
      }
    }
  }
  return false;
}

}  // namespace zinnia
