// Several HTTP calls at once on one thread, by libcurl's multi interface.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "zinnia/core/clock.hpp"
#include "zinnia/store/http_call.hpp"

namespace zinnia {

/// \brief   Runs calls without blocking; answers arrive during `wait`.
/// \details Connections are kept between calls. Writes are never sent twice by the library itself.
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

  /// \brief Starts a call; `done` is called once unless the call is cancelled.
  call_id start(const http_call& call, callback done);
  /// \brief Ends a call and its connection; its callback is not called.
  void cancel(call_id id);
  /// \brief   Waits until something happens, and calls back for the calls that ended.
  /// \param   extra_descriptor Also ends the wait when readable; -1 for none.
  /// \returns Whether the extra descriptor is readable.
  bool wait(duration longest, int extra_descriptor);
  /// \brief Ends a `wait` early; may be called from any thread.
  void wake();

 private:
  struct state;
  std::unique_ptr<state> impl_state;
};

}  // namespace zinnia
