// Validates planned drains and moves: their targets exist, and each service keeps an upstream in use.
#include <algorithm>

#include "tree_parser.hpp"

namespace zinnia {
namespace impl {
namespace {

[[nodiscard]] bool is_drained(const settings_tree& tree, const upstream_declaration& upstream) {
  return std::any_of(tree.shifts().begin(), tree.shifts().end(), [&](const shift_intent& shift) {
    switch (shift.kind) {
      case shift_kind::drain_upstream:
        return shift.target == upstream.id.str();
      case shift_kind::drain_domain:
        return shift.target == upstream.domain.str();
      case shift_kind::drain_region:
        return shift.target == upstream.region.str();
      default:
        return false;
    }
  });
}

[[nodiscard]] std::vector<std::string> known_targets(const settings_tree& tree, shift_kind kind) {
  std::vector<std::string> known;
  if (kind == shift_kind::drain_upstream) {
    for (const auto& upstream : tree.upstreams()) {
      known.push_back(upstream.id.str());
    }
  } else if (kind == shift_kind::drain_domain) {
    for (const auto& domain : tree.domains()) {
      known.push_back(domain.id.str());
    }
  } else {
    for (const auto& region : tree.regions()) {
      known.push_back(region.str());
    }
  }
  return known;
}

void require_known(const std::string& name, const std::vector<std::string>& known,
                   const std::string& position) {
  if (std::find(known.begin(), known.end(), name) != known.end()) {
    return;
  }
  const auto nearest = nearest_name(name, known);
  throw error{reason::invalid_setting,
              "unknown target '" + name + "'" + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"),
              position};
}

}  // namespace
}  // namespace impl

void tree_parser::check_shift(const shift_intent& shift) const {
  const auto position = "shift " + shift.id;
  if (shift.percent < 1 || shift.percent > 100) {
    throw error{reason::invalid_setting,
                "percent: " + std::to_string(shift.percent) + " is out of range; allowed: 1 to 100",
                position};
  }
  // Entry nodes are VMs and not part of the tree. Upstreams and services may also be declared outside the
  // tree. The names of either cannot be checked here.
  const bool upstreams_declared_elsewhere = this->tree.upstream_list.empty();
  const bool is_declared_elsewhere =
      shift.kind == shift_kind::drain_entry ||
      (shift.kind == shift_kind::drain_upstream && upstreams_declared_elsewhere);
  if (!is_declared_elsewhere) {
    impl::require_known(shift.target, impl::known_targets(this->tree, shift.kind), position);
  }
  if (shift.kind != shift_kind::move) {
    return;
  }
  impl::require_known(shift.to.str(), impl::known_targets(this->tree, shift_kind::move), position);
  if (this->tree.service_list.empty()) {
    return;
  }
  if (!this->tree.has_service(shift.service)) {
    throw error{reason::invalid_setting, "unknown service '" + shift.service.str() + "'", position};
  }
  const auto* const link = this->tree.find_link(region_id{shift.target}, shift.to);
  if (link == nullptr || !link->caps.contains(shift.service)) {
    throw error{
        reason::invalid_setting,
        "no link with a cap for " + shift.service.str() + " from " + shift.target + " to " + shift.to.str(),
        position};
  }
}

void tree_parser::check_remaining_upstreams() const {
  for (const auto& service : this->tree.service_list) {
    bool declared = false;
    bool remains = false;
    for (const auto& upstream : this->tree.upstream_list) {
      if (upstream.service == service) {
        declared = true;
        remains = remains || !impl::is_drained(this->tree, upstream);
      }
    }
    if (declared && !remains) {
      throw error{reason::invalid_setting,
                  "the drains together leave service '" + service.str() + "' with no upstream", "shifts"};
    }
  }
}

void tree_parser::check_shifts() const {
  for (const auto& shift : this->tree.shift_list) {
    this->check_shift(shift);
  }
  this->check_remaining_upstreams();
}

}  // namespace zinnia
