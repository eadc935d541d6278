// One HTTP call after the other.
#include "news_follower.hpp"

#include "zinnia/store/change_relay_codec.hpp"

namespace zinnia {
namespace impl {
namespace {

/// How long a source may hold a call; a source that falls silent is noticed by its heartbeats before.
constexpr duration longest_wait{1500};
/// Time for the call's way there and back within a failure domain, with one packet sent again.
constexpr duration call_slack{400};
/// Pause between calls: one call brings the changes of this time, and a source that cannot tell everything
/// yet is not asked all the time.
constexpr duration pause{150};
constexpr long status_ok = 200;

}  // namespace
}  // namespace impl

void news_follower::follow(const std::optional<member>& source_in) {
  const bool is_same = this->source && source_in && *this->source == *source_in;
  if (is_same || (!this->source && !source_in)) {
    return;
  }
  if (this->call_active) {
    this->calls.cancel(this->call);
    this->call_active = false;
  }
  this->source = source_in;
  this->not_before = {};
}

time_point news_follower::next_at() const noexcept {
  return this->source && !this->call_active ? this->not_before : end_of_time;
}

void news_follower::poll(time_point now, bool may_wait) {
  if (!this->source || this->call_active || now < this->not_before) {
    return;
  }
  const auto wait = may_wait ? impl::longest_wait : duration{0};
  http_call request;
  request.url = "http://" + this->source->peer_address.str() + news_path +
                "?known=" + encode_versions(this->events.known()) + "&wait_ms=" + std::to_string(wait.ms);
  request.timeout = wait + impl::call_slack;
  this->not_before = now + impl::pause;
  this->call_active = true;
  this->call = this->calls.start(request, [this](const http_response& answer) { this->on_answer(answer); });
}

void news_follower::on_answer(const http_response& answer) {
  this->call_active = false;
  if (answer.status != impl::status_ok) {
    this->events.on_lost(answer.status == 0 ? answer.failure_reason
                                            : "status " + std::to_string(answer.status));
    return;
  }
  const auto news = decode_relayed_changes(answer.body);
  if (!news) {
    this->events.on_lost(news.last_error().describe());
    return;
  }
  this->events.on_news(*news);
}

}  // namespace zinnia
