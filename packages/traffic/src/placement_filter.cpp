// Chooses the node whose slots a request should take, and another when the first cannot take it.
#include <algorithm>
#include <set>

#include "forward.hpp"
#include "zinnia/core/rendezvous.hpp"
#include "zinnia/steering/retry_rule.hpp"
#include "zinnia/steering/shift_plan.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr std::size_t most_tries = 4;
/// Holders asked for a slot that is free right now before the request waits anywhere.
constexpr std::size_t most_glances = 3;
constexpr std::uint64_t all_percent = 100;
/// Assumed one-way delay between regions without a declared link.
constexpr duration undeclared_distance{100};
constexpr duration no_candidate_retry_after{250};

class placement_filter final : public filter {
 public:
  explicit placement_filter(filter_context& shared) : context{shared} {}
  [[nodiscard]] const char* name() const noexcept override { return "placement"; }

  [[nodiscard]] exchange_answer handle(traffic_request& request, const next_filter& next) override {
    const auto values = settings_for(*this->context.view(), request.service, this->context.region);
    this->budgets.on_first_attempt(request.service, values.retry_budget_percent);
    attempt_state state{refuse(request, reason::no_holder, no_candidate_retry_after)};
    // First whoever near has a free slot now, then the best place to wait.
    bool goes_on = this->try_candidates(request, values, next, state, false);
    if (goes_on) {
      goes_on = this->try_candidates(request, values, next, state, true);
    }
    state.last.attempts = state.attempts;
    // An idempotent request may have run in an earlier try even if the last one certainly did not.
    state.last.outcome = state.last.outcome == verdict::ran ? verdict::ran : state.overall;
    return state.last;
  }

 private:
  struct attempt_state {
    exchange_answer last;
    std::vector<attempt_record> attempts{};
    verdict overall{verdict::did_not_run};
  };

  /// \return Whether the request is still to be placed.
  [[nodiscard]] bool try_candidates(traffic_request& request, const service_settings& values,
                                    const next_filter& next, attempt_state& state, bool may_queue) {
    std::set<node_id> tried;
    request.may_queue = may_queue;
    while (tried.size() < (may_queue ? most_tries : most_glances)) {
      const auto view = this->context.view();
      const auto order = this->candidates(*view, request, values);
      const auto target = std::find_if(order.begin(), order.end(), [&](const auto& candidate) {
        return !tried.contains(candidate.node) && (may_queue || !candidate.is_remote);
      });
      const bool elsewhere_first = !may_queue && !order.empty() && order.front().is_remote;
      if (target == order.end() || elsewhere_first) {
        return true;
      }
      tried.insert(target->node);
      state.last = target->is_self ? next(request)
                                   : forward(this->context, request, view->nodes.at(target->node),
                                             exchange_stage::holder);
      state.attempts.insert(state.attempts.end(), state.last.attempts.begin(), state.last.attempts.end());
      state.overall = combine(state.overall, state.last.outcome);
      if (!this->tries_again(request, state.last)) {
        return false;
      }
    }
    return true;
  }

  [[nodiscard]] std::vector<placement_candidate> candidates(const traffic_view& view,
                                                            const traffic_request& request,
                                                            const service_settings& values) {
    std::vector<placement_candidate> all;
    for (const auto& load : this->context.slots.loads()) {
      if (load.service == request.service) {
        all.push_back({this->context.me, this->context.region, load, {0}, true, false, true});
      }
    }
    for (const auto& [id, node] : view.nodes) {
      const auto load = node.loads.find(request.service);
      if (id == this->context.me || load == node.loads.end()) {
        continue;
      }
      all.push_back(this->remote_or_near(view, request, node, id, load->second));
    }
    // A request that came from elsewhere stays: it crossed a capped link once already.
    if (request.origin_region != this->context.region) {
      std::erase_if(all, [](const placement_candidate& candidate) { return candidate.is_remote; });
    }
    placement_policy policy{values.latency_weight, values.headroom_weight, {}, stable_hash(request.id.str())};
    policy.preferred = this->preferred_region(view, request, policy.seed);
    return rank(std::move(all), policy);
  }

  [[nodiscard]] placement_candidate remote_or_near(const traffic_view& view, const traffic_request& request,
                                                   const node_status& node, const node_id& id,
                                                   const service_load& load) {
    placement_candidate candidate{id,  node.region, load, {1}, false, node.region != this->context.region,
                                  true};
    if (candidate.is_remote) {
      const auto* const link = view.settings->find_link(this->context.region, node.region);
      candidate.distance = link == nullptr ? undeclared_distance : duration{link->delay_ms};
      candidate.share_open = this->context.slots.has_room({node.region, request.service});
    }
    return candidate;
  }

  /// A move sends its percentage of requests to its target first.
  [[nodiscard]] region_id preferred_region(const traffic_view& view, const traffic_request& request,
                                           std::uint64_t seed) const {
    auto point = static_cast<std::int64_t>(seed % all_percent);
    for (const auto& part :
         moved_parts(*view.settings, request.service, this->context.region, unix_time_ms())) {
      if (point < part.percent) {
        return part.to;
      }
      point -= part.percent;
    }
    return {};
  }

  [[nodiscard]] bool tries_again(const traffic_request& request, const exchange_answer& last) {
    const bool answered = last.outcome == verdict::ran || last.status != 0;
    const bool allowed = may_retry(last.outcome, request.is_idempotent()) && is_retryable(last.why);
    if (answered || !allowed || this->context.clock.now() >= request.deadline || request.cancelled()) {
      return false;
    }
    // Moving on from a node that sent nothing costs no budget; repeating a delivery does.
    const bool delivered = !last.attempts.empty() || last.outcome != verdict::did_not_run;
    if (delivered && !this->budgets.try_spend(request.service)) {
      this->context.counts.refused(reason::retry_budget_empty);
      return false;
    }
    this->context.counts.retried(last.why);
    return true;
  }

  filter_context& context;
  retry_budgets budgets;
};

}  // namespace
}  // namespace impl

std::unique_ptr<filter> make_placement_filter(filter_context& context) {
  return std::make_unique<impl::placement_filter>(context);
}

}  // namespace zinnia
