// Steps of drains and moves.
#include "zinnia/steering/shift_plan.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

constexpr std::int64_t all_percent = 100;

[[nodiscard]] std::int64_t slots_of(const settings_tree& tree, const service_id& service,
                                    const region_id& region) {
  std::int64_t slots = 0;
  for (const auto& upstream : tree.upstreams()) {
    if (upstream.service == service && upstream.region == region) {
      slots += tree.effective(service, region, upstream.domain).values.slots_per_upstream;
    }
  }
  return slots;
}

/// Position of an upstream among those that the same drain closes, and how many there are.
struct closing_place {
  std::int64_t position{0};
  std::int64_t count{0};
};

[[nodiscard]] bool drains_together(const upstream_declaration& a, const upstream_declaration& b,
                                   shift_kind kind) {
  const bool same_place = kind == shift_kind::drain_region ? a.region == b.region : a.domain == b.domain;
  return a.service == b.service && same_place;
}

[[nodiscard]] closing_place closing_place_of(const settings_tree& tree, const upstream_declaration& upstream,
                                             shift_kind kind) {
  closing_place place;
  for (const auto& other : tree.upstreams()) {
    if (drains_together(upstream, other, kind)) {
      ++place.count;
      place.position += other.id < upstream.id ? 1 : 0;
    }
  }
  return place;
}

[[nodiscard]] bool closes(const settings_tree& tree, const shift_intent& shift,
                          const upstream_declaration& upstream, std::int64_t now_unix_ms) {
  const auto values = tree.effective(upstream.service, upstream.region, upstream.domain).values;
  auto percent = shift_percent(shift, values, now_unix_ms);
  switch (shift.kind) {
    case shift_kind::drain_upstream:
      return shift.target == upstream.id.str() && percent > 0;
    case shift_kind::drain_domain:
      if (shift.target != upstream.domain.str()) {
        return false;
      }
      break;
    case shift_kind::drain_region:
      if (shift.target != upstream.region.str()) {
        return false;
      }
      percent = std::min(percent, replaceable_percent(tree, upstream.service, upstream.region));
      break;
    default:
      return false;
  }
  const auto place = closing_place_of(tree, upstream, shift.kind);
  return (place.position + 1) * all_percent <= place.count * percent;
}

[[nodiscard]] shift_progress region_progress(const settings_tree& tree, const shift_intent& shift,
                                             shift_progress progress) {
  for (const auto& service : tree.services()) {
    const auto limit = replaceable_percent(tree, service, region_id{shift.target});
    if (limit < progress.percent) {
      progress.percent = limit;
      progress.waits_for = "caps of " + service.str() + " out of " + shift.target;
    }
  }
  return progress;
}

}  // namespace
}  // namespace impl

std::int64_t shift_percent(const shift_intent& shift, const service_settings& values,
                           std::int64_t now_unix_ms) {
  if (now_unix_ms < shift.start_unix_ms) {
    return 0;
  }
  const bool at_once = shift.kind == shift_kind::drain_upstream || shift.kind == shift_kind::drain_entry;
  if (at_once || shift.start_unix_ms == 0) {
    return shift.percent;
  }
  const auto steps = (now_unix_ms - shift.start_unix_ms) / values.ramp_interval_ms + 1;
  const auto to_complete = impl::all_percent / values.ramp_step_percent + 1;
  return std::min(shift.percent, std::min(steps, to_complete) * values.ramp_step_percent);
}

bool is_closed(const settings_tree& tree, const upstream_declaration& upstream, std::int64_t now_unix_ms) {
  return std::any_of(tree.shifts().begin(), tree.shifts().end(), [&](const shift_intent& shift) {
    return impl::closes(tree, shift, upstream, now_unix_ms);
  });
}

std::vector<moved_part> moved_parts(const settings_tree& tree, const service_id& service,
                                    const region_id& from, std::int64_t now_unix_ms) {
  const auto values = tree.effective(service, from).values;
  std::vector<moved_part> parts;
  for (const auto& shift : tree.shifts()) {
    const bool applies =
        shift.kind == shift_kind::move && shift.service == service && shift.target == from.str();
    if (applies) {
      parts.push_back({shift.to, shift_percent(shift, values, now_unix_ms)});
    }
  }
  return parts;
}

std::int64_t replaceable_percent(const settings_tree& tree, const service_id& service,
                                 const region_id& from) {
  const auto slots = impl::slots_of(tree, service, from);
  if (slots == 0) {
    return impl::all_percent;
  }
  const auto service_ms = tree.effective(service, from).values.typical_service_ms;
  std::int64_t replaced = 0;
  for (const auto& link : tree.links()) {
    const auto found = link.caps.find(service);
    if (link.from == from && found != link.caps.end()) {
      // A request is in flight on the link for the way there and back as well.
      replaced += found->second * service_ms / (service_ms + 2 * link.delay_ms);
    }
  }
  return std::min(impl::all_percent, replaced * impl::all_percent / slots);
}

std::vector<shift_progress> progress_of(const settings_tree& tree, std::int64_t now_unix_ms) {
  std::vector<shift_progress> all;
  for (const auto& shift : tree.shifts()) {
    const auto values = shift.service.empty() ? tree.effective(tree.services().front()).values
                                              : tree.effective(shift.service, region_id{shift.target}).values;
    shift_progress progress{shift.id, shift_percent(shift, values, now_unix_ms), false, {}};
    if (now_unix_ms < shift.start_unix_ms) {
      progress.waits_for = "start time";
    } else if (progress.percent < shift.percent) {
      progress.waits_for = "next step";
    }
    if (shift.kind == shift_kind::drain_region) {
      progress = impl::region_progress(tree, shift, progress);
    }
    progress.complete = progress.percent >= shift.percent;
    all.push_back(progress);
  }
  return all;
}

bool is_entry_drained(const settings_tree& tree, const node_id& entry, std::int64_t now_unix_ms) {
  return std::any_of(tree.shifts().begin(), tree.shifts().end(), [&](const shift_intent& shift) {
    return shift.kind == shift_kind::drain_entry && shift.target == entry.str() &&
           now_unix_ms >= shift.start_unix_ms;
  });
}

}  // namespace zinnia
