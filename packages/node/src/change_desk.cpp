// Held questions and one timer for all of them.
#include "change_desk.hpp"

#include <algorithm>
#include <chrono>

#include "news_follower.hpp"
#include "zinnia/store/change_relay_codec.hpp"

namespace zinnia {
namespace impl {
namespace {

/// How often held questions are looked at for the end of their wait.
constexpr std::chrono::milliseconds look_period{250};
/// Longest time for which a question is held, whatever it asks for.
constexpr duration longest_hold{10'000};
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

}  // namespace
}  // namespace impl

void change_desk::handle(const std::shared_ptr<caller_exchange>& exchange) {
  const auto& head = exchange->head();
  if (head.path() != news_path) {
    exchange->respond(impl::status_not_found, {}, "");
    return;
  }
  const auto known = decode_versions(head.query_parameter("known").value_or(""));
  const auto wait = parse_number(head.query_parameter("wait_ms").value_or(""));
  if (!known || !wait) {
    exchange->respond(impl::status_bad_request, {}, "known: versions, wait_ms: a number\n");
    return;
  }
  const auto hold = std::min(duration{*wait}, impl::longest_hold);
  question asked{exchange, *known, this->clock.now() + hold};
  if (this->answer(asked)) {
    return;
  }
  this->held.push_back(std::move(asked));
  exchange->on_disconnect = [this, gone = exchange.get()] {
    this->held.remove_if([gone](const question& one) { return one.exchange.get() == gone; });
  };
  this->wait();
}

bool change_desk::answer(const question& asked) const {
  if (!this->board.is_watching()) {
    asked.exchange->respond(impl::status_unavailable, {}, "");
    return true;
  }
  const auto news = this->board.changes_since(asked.known);
  if (!news) {
    asked.exchange->respond(impl::status_bad_request, {}, "known: one version for each kind of object\n");
    return true;
  }
  const bool has_news = std::any_of(news->begin(), news->end(), [](const feed_reply& kind) {
    return kind.status != feed_status::ok || !kind.changes.empty();
  });
  if (!has_news && this->clock.now() < asked.until) {
    return false;
  }
  asked.exchange->respond(impl::status_ok, {{"Content-Type", "application/octet-stream"}},
                          encode_relayed_changes(*news));
  return true;
}

void change_desk::look() {
  this->held.remove_if([this](const question& asked) { return this->answer(asked); });
}

void change_desk::wait() {
  if (this->timer_active || this->held.empty()) {
    return;
  }
  this->timer_active = true;
  this->timer.expires_after(impl::look_period);
  this->timer.async_wait([this](const boost::system::error_code& stopped) {
    this->timer_active = false;
    if (!stopped) {
      this->look();
      this->wait();
    }
  });
}

}  // namespace zinnia
