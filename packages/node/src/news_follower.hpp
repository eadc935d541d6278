// Hearing of the store's changes from another node instead of from the store.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/membership/member_table.hpp"
#include "zinnia/store/async_http_client.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {

/// \brief The path at which nodes ask each other for changes: `?known=V,V,...&wait_ms=N`.
inline constexpr const char* news_path = "/v1/changes";

/// \brief   Polls a source for news, one call at a time. Not thread safe.
/// \details The caller decides whom to follow and goes back to the store itself when the source is lost.
class news_follower {
 public:
  struct hooks {
    /// For each kind the version up to which everything is known here.
    std::function<std::vector<object_version>()> known;
    std::function<void(const std::vector<feed_reply>&)> on_news;
    /// The source answered nothing useful.
    std::function<void(const std::string& cause)> on_lost;
  };

  news_follower(async_http_client& calls_in, hooks hooks_in) : calls{calls_in}, events{std::move(hooks_in)} {}

  /// \brief Follows a source from now on, or nobody.
  void follow(const std::optional<member>& source_in);
  /// \brief  Asks the source if it is time to.
  /// \param  may_wait Whether the source may hold the call until there is news.
  void poll(time_point now, bool may_wait);
  [[nodiscard]] bool is_following() const noexcept { return this->source.has_value(); }
  [[nodiscard]] time_point next_at() const noexcept;

 private:
  void on_answer(const http_response& answer);

  async_http_client& calls;
  hooks events;
  std::optional<member> source;
  async_http_client::call_id call{0};
  bool call_active{false};
  time_point not_before;
};

}  // namespace zinnia
