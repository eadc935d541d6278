// Running the filters, and the first of them: admission.
#include "zinnia/traffic/pipeline.hpp"

#include <algorithm>
#include <cctype>

namespace zinnia {
namespace impl {
namespace {

constexpr std::size_t longest_key = 128;

[[nodiscard]] bool is_valid_key(const std::string& key) {
  return key.size() <= longest_key && std::all_of(key.begin(), key.end(), [](unsigned char letter) {
           return std::isalnum(letter) != 0 || letter == '.' || letter == '_' || letter == '-' ||
                  letter == ':';
         });
}

/// Refuses what can be refused without asking anyone.
class admission_filter final : public filter {
 public:
  explicit admission_filter(filter_context& shared) : context{shared} {}
  [[nodiscard]] const char* name() const noexcept override { return "admission"; }

  [[nodiscard]] exchange_answer handle(traffic_request& request, const next_filter& next) override {
    constexpr duration retry_after_start{500};
    const auto view = this->context.view();
    if (view->settings == nullptr) {
      return refuse(request, reason::no_settings, retry_after_start);
    }
    if (!view->settings->has_service(request.service)) {
      return refuse(request, reason::unknown_service);
    }
    if (!is_valid_key(request.key.str())) {
      return refuse(request, reason::bad_request);
    }
    if (this->context.clock.now() >= request.deadline) {
      return refuse(request, reason::deadline_passed);
    }
    return next(request);
  }

 private:
  filter_context& context;
};

}  // namespace
}  // namespace impl

std::unique_ptr<filter> make_admission_filter(filter_context& context) {
  return std::make_unique<impl::admission_filter>(context);
}

service_settings settings_for(const traffic_view& view, const service_id& service, const region_id& region) {
  return view.settings == nullptr ? service_settings{} : view.settings->effective(service, region).values;
}

void retry_budgets::on_first_attempt(const service_id& service, std::int64_t percent) {
  const absl::MutexLock lock{&this->mutex};
  this->budgets[service].on_first_attempt(percent);
}

bool retry_budgets::try_spend(const service_id& service) {
  const absl::MutexLock lock{&this->mutex};
  return this->budgets[service].try_spend();
}

pipeline::pipeline(filter_context& shared) : context{shared} {
  this->filters.push_back(make_admission_filter(shared));
  this->filters.push_back(make_key_home_filter(shared));
  this->filters.push_back(make_placement_filter(shared));
  this->filters.push_back(make_dispatch_filter(shared));
}

exchange_answer pipeline::run(traffic_request& request, pipeline_stage from) {
  auto answer = this->run_from(request, static_cast<std::size_t>(from));
  // A refusal that the key's home did not give says nothing of earlier requests with the same key.
  const bool says_too_much = answer.outcome == verdict::did_not_run && !answer.key_known;
  if (from == pipeline_stage::admission && !request.key.empty() && says_too_much) {
    answer.outcome = verdict::may_have_run;
  }
  return answer;
}

exchange_answer pipeline::run_from(traffic_request& request, std::size_t position) {
  auto& step = *this->filters.at(position);
  this->context.fates.step(request.id, step.name());
  return step.handle(
      request, [this, position](traffic_request& passed) { return this->run_from(passed, position + 1); });
}

}  // namespace zinnia
