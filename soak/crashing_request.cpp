// The bound: three sends later than `settling_time` after the third crash.
#include "crashing_request.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <chrono>

namespace zinnia::soak {
namespace impl {
namespace {

constexpr std::size_t crashes_until_known = 3;
constexpr std::size_t max_late_sends = 3;
/// Time until nodes must know of the third crash, and for which a node must have run to be judged.
constexpr std::chrono::milliseconds settling_time{3000};

}  // namespace
}  // namespace impl

void crashing_request::on_crash(const std::string& node, const statement_monitor::is_calm_predicate& is_calm,
                                soak_clock::time_point now) {
  const absl::MutexLock lock{&this->mutex};
  if (this->crash_count >= impl::crashes_until_known && now - this->third_crash_at > impl::settling_time &&
      is_calm(node, now - impl::settling_time)) {
    this->late_senders.push_back(node);
  }
  if (++this->crash_count == impl::crashes_until_known) {
    this->third_crash_at = now;
  }
}

std::optional<std::string> crashing_request::check() const {
  const absl::MutexLock lock{&this->mutex};
  if (this->late_senders.size() <= impl::max_late_sends) {
    return std::nullopt;
  }
  return absl::StrCat("a request that crashed ", this->crash_count, " servers was sent ",
                      this->late_senders.size(), " times too late, by ",
                      absl::StrJoin(this->late_senders, ", "));
}

std::size_t crashing_request::crashes() const {
  const absl::MutexLock lock{&this->mutex};
  return this->crash_count;
}

}  // namespace zinnia::soak
