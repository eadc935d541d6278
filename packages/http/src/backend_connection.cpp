// Connecting, sending one request and reading its answer.
#include "zinnia/http/backend_connection.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <array>
#include <boost/asio/write.hpp>
#include <chrono>

#include "zinnia/http/socket_options.hpp"

namespace zinnia {
namespace impl {
namespace {

using error_code = boost::system::error_code;

/// Longest time to connect: the longest round trip (110 ms) and a slow accept, but not a lost packet's
/// resend.
constexpr std::chrono::milliseconds connect_limit{500};
/// How long a connection is kept when the backend server states no time; below the usual 10 s.
constexpr duration default_idle_limit{8000};
/// Taken off a stated time, so that a request does not cross the backend server's close.
constexpr duration idle_margin{1500};
/// Largest head of an answer.
constexpr std::uint32_t answer_header_limit = 64 << 10;
constexpr int first_final_status = 200;

[[nodiscard]] std::array<char, 64 << 10>& answer_buffer() {
  thread_local std::array<char, 64 << 10> buffer;
  return buffer;
}

/// The time for which a kept connection may be used again, from its Keep-Alive field.
[[nodiscard]] duration reuse_time(const response_head& head) {
  const auto field = find_field(head.fields, "Keep-Alive");
  if (!field) {
    return default_idle_limit;
  }
  for (absl::string_view part : absl::StrSplit(absl::string_view{field->data(), field->size()}, ',')) {
    part = absl::StripAsciiWhitespace(part);
    constexpr absl::string_view name = "timeout=";
    if (absl::StartsWithIgnoreCase(part, name)) {
      part.remove_prefix(name.size());
      const auto seconds = parse_number({part.data(), part.size()});
      constexpr std::int64_t ms_per_second = 1000;
      constexpr std::int64_t longest_seconds = 3600;
      return seconds && *seconds <= longest_seconds ? duration{*seconds * ms_per_second} - idle_margin
                                                    : default_idle_limit;
    }
  }
  return default_idle_limit;
}

}  // namespace
}  // namespace impl

backend_connection::backend_connection(boost::asio::io_context& context,
                                       boost::asio::ip::tcp::endpoint address_in,
                                       const clock_source& clock_in)
    : socket{context}, address{std::move(address_in)}, clock{clock_in}, connect_timer{context} {}

void backend_connection::start(backend_call call, backend_call_handler& events) {
  this->current = std::move(call);
  this->listener = &events;
  this->request_written = false;
  this->any_byte_received = false;
  this->was_skipped = false;
  this->paused = false;
  this->connected_in.reset();
  this->started_at = this->clock.now();
  this->make_parser();
  if (this->phase == connection_phase::idle) {
    this->send_request();
    return;
  }
  this->phase = connection_phase::connecting;
  this->connect_timer.expires_after(impl::connect_limit);
  this->connect_timer.async_wait([self = this->shared_from_this()](const impl::error_code& stopped) {
    if (!stopped && self->phase == connection_phase::connecting) {
      self->fail(verdict::did_not_run, reason::connect_failed);
    }
  });
  this->socket.async_connect(this->address,
                             [self = this->shared_from_this()](const impl::error_code& problem) {
                               if (self->phase != connection_phase::connecting) {
                                 return;
                               }
                               if (problem) {
                                 self->fail(verdict::did_not_run, reason::connect_failed);
                                 return;
                               }
                               self->on_connected();
                             });
}

void backend_connection::on_connected() {
  this->connect_timer.cancel();
  this->connected_in = this->clock.now() - this->started_at;
  impl::error_code ignored;
  this->socket.non_blocking(true, ignored);
  set_tcp_options(this->socket.native_handle());
  this->send_request();
  this->wait_readable();
}

void backend_connection::send_request() {
  this->phase = connection_phase::busy;
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->current.bytes),
      [self = this->shared_from_this()](const impl::error_code& problem, std::size_t bytes) {
        if (self->phase != connection_phase::busy) {
          return;
        }
        if (problem) {
          // An answer may already be waiting to be read, for example a refusal.
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
                          [self = this->shared_from_this()](const impl::error_code& problem) {
                            self->read_active = false;
                            if (self->phase == connection_phase::closed) {
                              return;
                            }
                            if (problem) {
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
  impl::error_code problem;
  auto& buffer = impl::answer_buffer();
  const auto bytes = this->socket.read_some(boost::asio::buffer(buffer), problem);
  if (problem == boost::asio::error::would_block) {
    this->wait_readable();
    return;
  }
  if (this->phase == connection_phase::idle) {
    // Closed by the backend server, or bytes that belong to no request.
    this->close_socket();
    return;
  }
  if (problem == boost::asio::error::eof && this->parser->is_header_done() && this->parser->need_eof() &&
      !this->skipping) {
    this->complete_answer(false);
    return;
  }
  if (problem || bytes == 0) {
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
  while (this->phase == connection_phase::busy && this->listener != nullptr && !this->input.empty()) {
    std::size_t used = 0;
    const auto progress = this->parser->feed(this->input, used);
    if (this->phase != connection_phase::busy || this->listener == nullptr) {
      return;
    }
    this->input.erase(0, used);
    if (progress == parse_progress::malformed) {
      this->fail(verdict::may_have_run, reason::backend_error);
      return;
    }
    if (this->parser->is_header_done() && !this->deliver_head()) {
      return;
    }
    if (progress == parse_progress::needs_more) {
      return;
    }
    if (this->skipping || this->parser->head().status < impl::first_final_status) {
      this->was_skipped = this->was_skipped || this->skipping;
      this->make_parser();
      continue;
    }
    this->complete_answer(true);
    return;
  }
}

bool backend_connection::deliver_head() {
  if (this->head_delivered || this->listener == nullptr) {
    return this->listener != nullptr;
  }
  this->head_delivered = true;
  const auto& head = this->parser->head();
  if (head.status < impl::first_final_status) {
    return true;
  }
  if (!this->current.id_field.empty()) {
    const auto id = find_field(head.fields, this->current.id_field);
    if (id && *id != this->current.id) {
      this->skipping = true;
      return true;
    }
  }
  this->listener->on_head(head);
  return this->listener != nullptr;
}

void backend_connection::make_parser() {
  this->head_delivered = false;
  this->skipping = false;
  this->parser = std::make_unique<response_parser>(impl::answer_header_limit, [this](std::string_view piece) {
    if (this->deliver_head() && !this->skipping && this->listener != nullptr) {
      this->listener->on_body(piece);
    }
  });
  if (this->current.is_head_request) {
    this->parser->skip(true);
  }
}

void backend_connection::complete_answer(bool keeps_open) {
  if (!this->deliver_head()) {
    return;
  }
  backend_call_result end;
  end.complete = true;
  end.outcome = verdict::ran;
  end.closes = !this->parser->keep_alive();
  const bool reusable = keeps_open && !end.closes && this->request_written && !this->was_skipped &&
                        this->input.empty() && !this->parser->need_eof();
  if (reusable) {
    this->phase = connection_phase::idle;
    this->idle_until = this->clock.now() + impl::reuse_time(this->parser->head());
    this->current.bytes.clear();
    this->wait_readable();
  } else {
    this->close_socket();
  }
  this->finish(end);
}

void backend_connection::fail(verdict outcome, reason why) {
  const bool was_idle = this->phase == connection_phase::idle;
  this->close_socket();
  if (!was_idle) {
    backend_call_result end;
    end.outcome = outcome;
    end.failure_reason = why;
    this->finish(end);
  }
}

void backend_connection::finish(const backend_call_result& end) {
  if (this->listener != nullptr) {
    auto* const receiver = this->listener;
    this->listener = nullptr;
    receiver->on_end(end);
  }
}

void backend_connection::cancel() {
  this->listener = nullptr;
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
