// The time limits of edits, and the lines that tell who did not keep to them.
#include "edit_monitor.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace zinnia::soak {
namespace impl {
namespace {

using std::chrono::milliseconds;

struct edit_rule {
  const char* text;
  /// Time from the store's confirmation until nodes in touch must act on the edit.
  milliseconds time_limit;
};

/// By `handling`.
constexpr std::array<edit_rule, 4> rules{{{"added route refused with 404", milliseconds{2500}},
                                          {"dropped route served", milliseconds{2500}},
                                          {"draining server got requests", milliseconds{2500}},
                                          {"evacuated failure domain got requests", milliseconds{5000}}}};
/// Time after which a process that has acted on a configuration may not act on an older one.
constexpr milliseconds rollback_slack{250};

[[nodiscard]] const edit_rule& rule_of(handling what) {
  return rules.at(static_cast<std::size_t>(what));
}

[[nodiscard]] milliseconds to_ms(soak_clock::duration value) {
  return std::chrono::duration_cast<milliseconds>(value);
}

}  // namespace
}  // namespace impl

void edit_monitor::forbid(handling what, const std::string& target, soak_clock::time_point now) {
  const absl::MutexLock lock{&this->mutex};
  this->edits[{what, target}] = {now, {}};
}

void edit_monitor::allow(handling what, const std::string& target) {
  const absl::MutexLock lock{&this->mutex};
  this->edits.erase({what, target});
}

void edit_monitor::on_handled(handling what, const std::string& target, const incarnation& process,
                              soak_clock::time_point at) {
  const absl::MutexLock lock{&this->mutex};
  if (what == handling::route_refused || what == handling::route_served) {
    const auto opposite = what == handling::route_served ? handling::route_refused : handling::route_served;
    if (const auto edited = this->edits.find({opposite, target}); edited != this->edits.end()) {
      edited->second.acted_on.try_emplace(process, soak_clock::now());
      ++this->acted;
    }
  }
  const auto edited = this->edits.find({what, target});
  if (edited == this->edits.end()) {
    return;
  }
  const auto& [confirmed_at, acted_on] = edited->second;
  const auto first_act = acted_on.find(process);
  const bool went_back = first_act != acted_on.end() && at > first_act->second + impl::rollback_slack;
  const bool is_late = at > confirmed_at + impl::rule_of(what).time_limit;
  if (!went_back && !(is_late && this->is_in_touch(process.first, at))) {
    this->excused += is_late ? 1 : 0;
    return;
  }
  auto& found = this->findings[{edited->first, process.first, went_back}];
  found.last_after = impl::to_ms(at - confirmed_at);
  found.first_after = found.count++ == 0 ? found.last_after : std::min(found.first_after, found.last_after);
}

std::vector<std::string> edit_monitor::check() const {
  const absl::MutexLock lock{&this->mutex};
  std::vector<std::string> violations;
  for (const auto& [key, found] : this->findings) {
    const auto& [edited, node, went_back] = key;
    violations.push_back(
        absl::StrCat(impl::rule_of(edited.first).text, ": ", edited.second, ", ", found.count, " times by ",
                     node, went_back ? " that had acted on it" : "", ", ", found.first_after.count(), " to ",
                     found.last_after.count(), " ms after the store confirmed it"));
  }
  return violations;
}

std::string edit_monitor::summary() const {
  const absl::MutexLock lock{&this->mutex};
  return absl::StrCat("acted on confirmed edits: ", this->acted,
                      ", against them while out of touch: ", this->excused);
}

}  // namespace zinnia::soak
