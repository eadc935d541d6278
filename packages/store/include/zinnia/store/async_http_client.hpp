// A non-blocking HTTP client that runs several calls on one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "zinnia/core/clock.hpp"
#include "zinnia/store/http_call.hpp"

namespace zinnia {

/// \brief   Runs calls without blocking; callbacks run inside `wait`.
/// \details Connections are reused. libcurl never sends a write a second time by itself. Only `wake` may be
///          called from another thread.
class async_http_client {
 public:
  using call_id = std::uint64_t;
  using callback = std::function<void(const http_response&)>;

  async_http_client();
  ~async_http_client();
  async_http_client(const async_http_client&) = delete;
  async_http_client& operator=(const async_http_client&) = delete;
  async_http_client(async_http_client&&) = delete;
  async_http_client& operator=(async_http_client&&) = delete;

  /// \brief Starts a call; `done` runs once, unless the call is cancelled.
  call_id start(const http_call& call, callback done);
  /// \brief Aborts a call and closes its connection without running the callback. Ignores unknown ids.
  void cancel(call_id id);
  /// \brief   Waits for network activity and runs the callbacks of finished calls.
  /// \param   extra_descriptor Ends the wait when it becomes readable; -1 for none.
  /// \returns True if `extra_descriptor` is readable.
  bool wait(duration timeout, int extra_descriptor);
  /// \brief Ends a `wait` early. Thread-safe.
  void wake();

 private:
  struct state;
  std::unique_ptr<state> impl_state;
};

}  // namespace zinnia
