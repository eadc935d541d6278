// Connects to a backend server, sends a request and reads its response.
#include "zinnia/http/backend_connection.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <vector>

#include "zinnia/core/rendezvous.hpp"
#include "zinnia/http/free_memory.hpp"
#include "zinnia/http/socket_options.hpp"

namespace zinnia {
namespace impl {
namespace {

using error_code = boost::system::error_code;

/// Allows for the longest round trip (110 ms) and a slow accept, but not for a retransmission.
constexpr std::chrono::milliseconds connect_timeout{500};
/// Applies if the backend server states no keep-alive timeout. Below the usual server default of 10 s.
constexpr duration default_idle_timeout{8000};
/// Subtracted from a stated timeout, so that no request crosses the backend server's close on the wire.
constexpr duration idle_timeout_margin{1500};
constexpr std::uint32_t max_response_header_bytes = 64 << 10;
/// Input that the parser cannot use yet, such as part of a chunk extension or a trailer.
constexpr std::size_t max_unparsed_bytes = 64 << 10;
/// Interim responses (1xx) and responses to other requests before the response to a request.
constexpr int max_skipped_responses = 16;
constexpr int first_final_status = 200;
constexpr int first_failure_status = 300;
/// Calls whose identifiers are remembered. A response that is sent once more comes soon after the first time.
constexpr std::size_t remembered_ids = 32;

[[nodiscard]] std::array<char, 64 << 10>& response_buffer() {
  thread_local std::array<char, 64 << 10> buffer;
  return buffer;
}

/// Returns how long an idle connection may be reused, based on the response's Keep-Alive field.
[[nodiscard]] duration keep_alive_timeout(const response_head& head) {
  const auto field = find_field(head.fields, "Keep-Alive");
  if (!field) {
    return default_idle_timeout;
  }
  for (absl::string_view part : absl::StrSplit(absl::string_view{field->data(), field->size()}, ',')) {
    part = absl::StripAsciiWhitespace(part);
    constexpr absl::string_view name = "timeout=";
    if (absl::StartsWithIgnoreCase(part, name)) {
      part.remove_prefix(name.size());
      const auto seconds = parse_number({part.data(), part.size()});
      constexpr std::int64_t ms_per_second = 1000;
      constexpr std::int64_t max_seconds = 3600;
      return seconds && *seconds <= max_seconds ? duration{*seconds * ms_per_second} - idle_timeout_margin
                                                : default_idle_timeout;
    }
  }
  return default_idle_timeout;
}

}  // namespace
}  // namespace impl

backend_connection::backend_connection(boost::asio::io_context& context,
                                       boost::asio::ip::tcp::endpoint address_in,
                                       const clock_source& clock_in)
    : socket{context}, address{std::move(address_in)}, clock{clock_in}, connect_timer{context} {}

void backend_connection::start(backend_call call, backend_call_handler& call_handler) {
  this->current = std::move(call);
  this->handler = &call_handler;
  this->request_written = false;
  this->write_failed = false;
  this->any_byte_received = false;
  this->response_discarded = false;
  this->response_unnamed = false;
  this->skipped_responses = 0;
  this->paused = false;
  this->connect_duration.reset();
  this->started_at = this->clock.now();
  if (!this->current.id.empty()) {
    this->carried_ids.push_back(stable_hash(this->current.id));
    if (this->carried_ids.size() > impl::remembered_ids) {
      this->carried_ids.pop_front();
    }
  }
  this->make_parser();
  if (this->phase == connection_phase::idle) {
    this->send_request();
    return;
  }
  this->phase = connection_phase::connecting;
  this->connect_timer.expires_after(impl::connect_timeout);
  this->connect_timer.async_wait([self = this->shared_from_this()](const impl::error_code& ec) {
    if (!ec && self->phase == connection_phase::connecting) {
      self->fail(verdict::did_not_run, reason::connect_failed);
    }
  });
  this->socket.async_connect(this->address, [self = this->shared_from_this()](const impl::error_code& ec) {
    if (self->phase != connection_phase::connecting) {
      return;
    }
    if (ec) {
      self->fail(verdict::did_not_run, reason::connect_failed, ec == boost::asio::error::connection_refused);
      return;
    }
    self->on_connected();
  });
}

void backend_connection::on_connected() {
  this->connect_timer.cancel();
  this->connect_duration = this->clock.now() - this->started_at;
  impl::error_code ignored;
  this->socket.non_blocking(true, ignored);
  set_tcp_options(this->socket.native_handle());
  this->send_request();
  this->wait_readable();
}

void backend_connection::send_request() {
  this->phase = connection_phase::busy;
  std::vector<boost::asio::const_buffer> parts{boost::asio::buffer(this->current.bytes)};
  if (this->current.body != nullptr) {
    for (const auto block : this->current.body->blocks()) {
      parts.emplace_back(block.data(), block.size());
    }
  }
  boost::asio::async_write(this->socket, parts,
                           [self = this->shared_from_this()](const impl::error_code& ec, std::size_t bytes) {
                             if (self->phase != connection_phase::busy) {
                               return;
                             }
                             if (ec) {
                               self->write_failed = true;
                               // A response may already be readable, for example an early rejection.
                               if (!self->read_active) {
                                 self->fail(bytes == 0 ? verdict::did_not_run : verdict::may_have_run,
                                            reason::reset_before_first_byte);
                               }
                               return;
                             }
                             self->request_written = true;
                           });
}

void backend_connection::wait_readable() {
  if (this->read_active || this->paused || this->phase == connection_phase::closed) {
    return;
  }
  this->read_active = true;
  this->socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                          [self = this->shared_from_this()](const impl::error_code& ec) {
                            self->read_active = false;
                            if (self->phase == connection_phase::closed) {
                              return;
                            }
                            if (ec) {
                              self->fail(verdict::may_have_run, reason::reset_before_first_byte);
                              return;
                            }
                            self->read_available();
                          });
}

void backend_connection::read_available() {
  if (this->paused) {
    return;
  }
  impl::error_code ec;
  auto& buffer = impl::response_buffer();
  const auto bytes = this->socket.read_some(boost::asio::buffer(buffer), ec);
  if (ec == boost::asio::error::would_block) {
    this->wait_readable();
    return;
  }
  if (this->phase == connection_phase::idle) {
    // The backend server closed the connection or sent bytes that belong to no request.
    this->close_socket();
    return;
  }
  if (ec == boost::asio::error::eof && this->parser->is_header_done() && this->parser->need_eof() &&
      !this->discarding_response) {
    // A socket reports a reset once. If a write has met it, the end of the stream is all that a read finds,
    // and the write's handler may be queued behind this one.
    boost::asio::post(this->socket.get_executor(),
                      [self = this->shared_from_this()] { self->complete_at_end_of_stream(); });
    return;
  }
  if (ec || bytes == 0) {
    this->fail(verdict::may_have_run,
               this->any_byte_received ? reason::reset_mid_answer : reason::reset_before_first_byte);
    return;
  }
  this->any_byte_received = true;
  const auto self = this->shared_from_this();
  this->consume({buffer.data(), bytes});
  this->wait_readable();
}

void backend_connection::consume(std::string_view data) {
  this->input.append(data);
  while (this->phase == connection_phase::busy && this->handler != nullptr && !this->input.empty()) {
    std::size_t consumed = 0;
    const auto progress = this->parser->feed(this->input, consumed);
    if (this->phase != connection_phase::busy || this->handler == nullptr) {
      return;
    }
    this->input.erase(0, consumed);
    if (this->input.empty()) {
      free_memory(this->input);
    }
    if (progress == parse_progress::malformed) {
      this->fail(verdict::may_have_run, reason::backend_error);
      return;
    }
    if (this->parser->is_header_done() && !this->deliver_head()) {
      return;
    }
    if (progress == parse_progress::needs_more) {
      if (this->input.size() > impl::max_unparsed_bytes) {
        this->fail(verdict::may_have_run, reason::backend_error);
      }
      return;
    }
    if (this->discarding_response || this->parser->head().status < impl::first_final_status) {
      this->response_discarded = this->response_discarded || this->discarding_response;
      if (++this->skipped_responses > impl::max_skipped_responses) {
        this->fail(verdict::may_have_run, reason::backend_error);
        return;
      }
      this->make_parser();
      continue;
    }
    this->complete_response(true);
    return;
  }
}

bool backend_connection::deliver_head() {
  if (this->head_delivered || this->handler == nullptr) {
    return this->handler != nullptr;
  }
  this->head_delivered = true;
  const auto& head = this->parser->head();
  if (head.status < impl::first_final_status) {
    return true;
  }
  if (this->is_current_response(head)) {
    this->handler->on_head(head);
  }
  return this->handler != nullptr;
}

bool backend_connection::is_current_response(const response_head& head) {
  if (this->current.id_field.empty()) {
    return true;
  }
  const auto id = find_field(head.fields, this->current.id_field);
  this->discarding_response =
      id && (this->current.id.empty() ? this->has_carried(*id) : *id != this->current.id);
  if (!id && this->responses_name_requests && !this->current.id.empty() && !this->current.is_relayed) {
    // It may be an earlier response once more, while this request runs.
    this->fail(verdict::may_have_run, reason::answer_unsound);
    return false;
  }
  this->responses_name_requests = this->responses_name_requests || id;
  this->response_unnamed = !id;
  return !this->discarding_response;
}

bool backend_connection::is_ambiguous_if_repeated() const noexcept {
  // A success without a name is as ambiguous, but no request is sent to another server because of it.
  return this->response_unnamed && !this->current.is_relayed &&
         this->parser->head().status >= impl::first_failure_status;
}

bool backend_connection::has_carried(std::string_view id) const noexcept {
  return !id.empty() && std::find(this->carried_ids.begin(), this->carried_ids.end(), stable_hash(id)) !=
                            this->carried_ids.end();
}

void backend_connection::make_parser() {
  this->head_delivered = false;
  this->discarding_response = false;
  this->parser =
      std::make_unique<response_parser>(impl::max_response_header_bytes, [this](std::string_view piece) {
        if (this->deliver_head() && !this->discarding_response && this->handler != nullptr) {
          this->handler->on_body(piece);
        }
      });
  if (this->current.is_head_request) {
    this->parser->skip(true);
  }
}

void backend_connection::complete_at_end_of_stream() {
  if (this->phase != connection_phase::busy) {
    return;
  }
  if (this->write_failed) {
    this->fail(verdict::may_have_run, reason::reset_mid_answer);
    return;
  }
  this->complete_response(false);
}

void backend_connection::complete_response(bool keeps_open) {
  if (!this->deliver_head()) {
    return;
  }
  backend_call_result end;
  end.complete = true;
  end.outcome = verdict::ran;
  end.closes_connection = !this->parser->keep_alive();
  const bool reusable = keeps_open && !end.closes_connection && this->request_written &&
                        !this->response_discarded && !this->is_ambiguous_if_repeated() &&
                        this->input.empty() && !this->parser->need_eof();
  if (reusable) {
    this->phase = connection_phase::idle;
    this->idle_until = this->clock.now() + impl::keep_alive_timeout(this->parser->head());
    this->free_request();
    this->wait_readable();
  } else if (this->request_written) {
    this->close_socket();
  } else {
    this->give_up_call();
  }
  this->finish(end);
}

void backend_connection::free_request() noexcept {
  free_memory(this->current.bytes);
  this->current.body.reset();
}

void backend_connection::fail(verdict outcome, reason failure_reason, bool is_refused) {
  const bool was_idle = this->phase == connection_phase::idle;
  this->give_up_call();
  if (!was_idle) {
    backend_call_result end;
    end.outcome = outcome;
    end.failure_reason = failure_reason;
    end.connection_refused = is_refused;
    this->finish(end);
  }
}

void backend_connection::finish(const backend_call_result& end) {
  if (this->handler != nullptr) {
    auto* const call_handler = this->handler;
    this->handler = nullptr;
    call_handler->on_end(end);
  }
}

void backend_connection::cancel() {
  this->handler = nullptr;
  this->give_up_call();
}

void backend_connection::give_up_call() {
  if (this->phase == connection_phase::busy) {
    // A reset drops what the server has not received yet; otherwise it could arrive and run long afterwards.
    impl::error_code ignored;
    this->socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
  }
  this->close_socket();
}

void backend_connection::close_socket() {
  this->phase = connection_phase::closed;
  impl::error_code ignored;
  this->socket.close(ignored);
  this->connect_timer.cancel();
}

void backend_connection::set_paused(bool paused_in) {
  if (this->paused == paused_in) {
    return;
  }
  this->paused = paused_in;
  if (!paused_in) {
    this->wait_readable();
  }
}

}  // namespace zinnia
