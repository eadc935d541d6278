// Tells other nodes of the store's changes, as soon as there are any.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/http/caller_connection.hpp"
#include "zinnia/store/change_relay_buffer.hpp"

namespace zinnia {

/// \brief   Answers nodes that ask for changes; holds a question until there is news or its wait is over.
/// \details All calls come from the thread that runs the context. 503 while this node does not watch the
/// store.
class change_desk {
 public:
  change_desk(boost::asio::io_context& context, const clock_source& clock_in,
              const change_relay_buffer& board_in)
      : clock{clock_in}, board{board_in}, timer{context} {}

  void handle(const std::shared_ptr<caller_exchange>& exchange);
  /// \brief Looks at the held questions again.
  void look();

 private:
  struct question {
    std::shared_ptr<caller_exchange> exchange;
    std::vector<object_version> known;
    time_point until;
  };

  /// Whether the question was answered.
  [[nodiscard]] bool answer(const question& asked) const;
  void wait();

  const clock_source& clock;
  const change_relay_buffer& board;
  boost::asio::steady_timer timer;
  std::list<question> held;
  bool timer_active{false};
};

}  // namespace zinnia
