// Reads requests, orders responses and writes them on one caller's connection.
#include "zinnia/http/caller_connection.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>
#include <vector>

#include "zinnia/http/free_memory.hpp"
#include "zinnia/http/socket_options.hpp"

namespace zinnia {
namespace impl {
namespace {

using error_code = boost::system::error_code;

/// Requests in flight per connection. Further requests stay unparsed.
constexpr std::size_t max_pipelined_requests = 16;

/// What a connection and its socket take, about.
constexpr std::size_t connection_memory = 2 << 10;
/// What a request takes while it is served, about, beside its head and body.
constexpr std::size_t request_memory = 4 << 10;
/// A buffer keeps this much memory when it is empty.
constexpr std::size_t kept_capacity = 16 << 10;

constexpr int status_bad_request = 400;
constexpr int status_content_too_large = 413;
constexpr int status_fields_too_large = 431;

/// Connections of one thread share a read buffer.
[[nodiscard]] std::array<char, 64 << 10>& read_buffer() {
  thread_local std::array<char, 64 << 10> buffer;
  return buffer;
}

}  // namespace
}  // namespace impl

caller_connection::caller_connection(boost::asio::ip::tcp::socket accepted, const caller_limits& limits_in,
                                     const clock_source& clock_in, request_handler on_request_in,
                                     const partial_request_handler& partial_requests_in,
                                     const connection_resources& resources)
    : socket{std::move(accepted)},
      limits{limits_in},
      clock{clock_in},
      on_request{std::move(on_request_in)},
      partial_requests{partial_requests_in},
      memory{resources.memory},
      receive_window{resources.receive_window},
      last_activity{clock_in.now()},
      accepted_at{this->last_activity} {
  this->own_charge.resize(impl::connection_memory);
}

void caller_connection::start() {
  impl::error_code ignored;
  this->socket.non_blocking(true, ignored);
  set_caller_tcp_options(this->socket.native_handle());
  this->wait_readable();
}

void caller_connection::wait_readable() {
  if (this->read_active || this->phase == connection_phase::closed || this->input.size() >= max_input_bytes) {
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
                              self->close_socket();
                              return;
                            }
                            self->read_available();
                          });
}

void caller_connection::read_available() {
  impl::error_code ec;
  auto& buffer = impl::read_buffer();
  const auto bytes = this->socket.read_some(boost::asio::buffer(buffer), ec);
  if (ec == boost::asio::error::would_block) {
    this->wait_readable();
    return;
  }
  if (ec || bytes == 0) {
    this->close_socket();
    return;
  }
  if (this->phase == connection_phase::open || this->refused_early) {
    this->last_activity = this->clock.now();
  }
  if (this->input_ended) {
    this->discarded_bytes += bytes;
    if (this->discarded_bytes > this->limits.max_body_bytes + impl::read_buffer().size()) {
      // More than any request that was refused can have left.
      this->close_socket();
      return;
    }
  } else {
    if (!this->has_partial_request()) {
      this->request_started = this->last_activity;
    }
    if (this->input.empty()) {
      this->parse_input({buffer.data(), bytes});
    } else {
      this->input.append(buffer.data(), bytes);
      this->parse_input(this->input);
    }
  }
  this->wait_readable();
}

void caller_connection::parse_input(std::string_view data) {
  this->parse(data);
  this->keep_input(data);
}

void caller_connection::parse(std::string_view& data) {
  while (this->phase == connection_phase::open && !this->input_ended && !data.empty() &&
         this->pending.size() < impl::max_pipelined_requests) {
    if (!this->parser) {
      this->parser = std::make_unique<request_parser>(
          this->limits.max_header_bytes, body_buffer{memory_charge{this->memory, &this->partial_request}},
          this->limits.keeps_bodies);
      this->head_accepted = false;
    }
    std::size_t consumed = 0;
    const auto progress = this->parser->feed(data, consumed);
    data.remove_prefix(consumed);
    if (progress == parse_progress::malformed) {
      const bool head_too_large = this->parser->parse_error() == boost::beast::http::error::header_limit;
      this->reject(head_too_large ? impl::status_fields_too_large : impl::status_bad_request);
      return;
    }
    if (this->parser->is_header_done() && !this->head_accepted &&
        !this->accept_head(progress == parse_progress::complete)) {
      return;
    }
    if (this->parser->body_size() > this->limits.max_body_bytes) {
      this->reject(impl::status_content_too_large);
      return;
    }
    if (this->parser->is_body_lost()) {
      this->refuse_partial_request(reason::memory_short);
      return;
    }
    if (progress == parse_progress::needs_more) {
      return;
    }
    this->deliver_request();
  }
}

bool caller_connection::accept_head(bool is_complete) {
  this->head_accepted = true;
  const auto length = this->parser->content_length();
  if (length && *length > this->limits.max_body_bytes) {
    this->reject(impl::status_content_too_large);
    return false;
  }
  if (is_complete) {
    return true;
  }
  this->recheck_partial_request();
  if (this->input_ended) {
    return false;
  }
  const auto expectation = find_field(this->parser->head().fields, "Expect");
  if (expectation && equals_ignoring_case(*expectation, "100-continue") && this->pending.empty() &&
      !this->write_active) {
    this->outgoing += "HTTP/1.1 100 Continue\r\n\r\n";
    this->flush();
  }
  return true;
}

void caller_connection::deliver_request() {
  // The call to a backend server has a copy of the head.
  const auto needed = impl::request_memory + 2 * this->parser->head_memory();
  memory_charge charge{this->memory, &this->partial_request};
  if (!charge.try_resize(needed, this->pending.empty() ? memory_share::all : memory_share::common)) {
    this->refuse_partial_request(reason::memory_short);
    return;
  }
  auto head = this->parser->take_head();
  auto body = this->parser->take_body();
  body.detach_from_holder();
  charge.detach_from_holder();
  this->parser.reset();
  this->partial_request.unlink();
  if (!head.keep_alive || this->reading_stopped) {
    this->end_input();
  }
  const auto started = std::exchange(this->request_started, this->clock.now());
  auto exchange = std::make_shared<caller_exchange>(this->shared_from_this(), std::move(head),
                                                    std::move(body), started, this->request_started);
  exchange->request_charge = std::move(charge);
  this->has_carried_request = true;
  this->pending.push_back(exchange);
  this->on_request(exchange);
}

void caller_connection::end_input() {
  this->input_ended = true;
  free_memory(this->input);
  this->parser.reset();
  this->input_charge.resize(0);
  this->partial_request.unlink();
}

void caller_connection::reject(int status) {
  this->end_input();
  request_head placeholder;
  placeholder.keep_alive = false;
  auto exchange = std::make_shared<caller_exchange>(this->shared_from_this(), std::move(placeholder),
                                                    body_buffer{}, this->request_started, this->clock.now());
  this->pending.push_back(exchange);
  exchange->respond(status, {}, "");
}

bool caller_connection::decide_close(const caller_exchange& exchange, bool ends_with_connection) {
  const bool is_last = !this->pending.empty() && this->pending.back().get() == &exchange;
  const bool closes_connection =
      ends_with_connection ||
      (is_last && (this->draining || this->input_ended || !exchange.request.keep_alive));
  if (closes_connection) {
    // Requests pipelined after this one count as unread; the caller sends them again.
    this->end_input();
  }
  return closes_connection;
}

void caller_connection::flush() {
  if (this->phase != connection_phase::open || this->write_active) {
    return;
  }
  while (!this->pending.empty()) {
    const auto first = this->pending.front();
    first->move_output_to(this->outgoing);
    this->output_charge.resize(this->outgoing.capacity());
    if (!first->finished) {
      break;
    }
    const bool closes_connection = first->closes_connection;
    first->release();
    this->pending.pop_front();
    if (closes_connection || (this->input_ended && this->pending.empty())) {
      this->begin_linger();
      break;
    }
    if (!this->pending.empty() && this->pending.front()->first_in_pipeline_callback) {
      const auto callback = std::move(this->pending.front()->first_in_pipeline_callback);
      this->pending.front()->first_in_pipeline_callback = nullptr;
      callback();
      if (this->write_active || this->phase != connection_phase::open) {
        return;
      }
    }
  }
  if (this->outgoing.empty()) {
    if (this->phase == connection_phase::lingering) {
      this->shutdown_output();
    }
    return;
  }
  this->write_active = true;
  if (this->memory != nullptr) {
    this->memory->note_progress(this->unread_response);
  }
  this->write_next_piece();
}

void caller_connection::write_next_piece() {
  const auto rest = boost::asio::buffer(this->outgoing) + this->outgoing_written;
  this->socket.async_write_some(
      rest, [self = this->shared_from_this()](const impl::error_code& ec, std::size_t bytes) {
        if (self->phase == connection_phase::closed) {
          self->write_active = false;
          return;
        }
        if (ec) {
          self->write_active = false;
          self->close_socket();
          return;
        }
        self->last_activity = self->clock.now();
        self->note_output_progress(bytes);
        self->outgoing_written += bytes;
        if (self->outgoing_written < self->outgoing.size()) {
          self->write_next_piece();
          return;
        }
        self->write_active = false;
        self->unread_response.unlink();
        self->outgoing.clear();
        if (self->outgoing.capacity() > impl::kept_capacity) {
          free_memory(self->outgoing);
        }
        self->output_charge.resize(self->outgoing.capacity());
        self->outgoing_written = 0;
        self->on_written();
      });
}

void caller_connection::on_written() {
  if (this->phase == connection_phase::lingering) {
    this->shutdown_output();
    return;
  }
  this->flush();
  if (!this->write_active) {
    // A later response may have paused because of this one.
    const std::vector<std::shared_ptr<caller_exchange>> waiting(this->pending.begin(), this->pending.end());
    for (const auto& exchange : waiting) {
      if (const auto callback = exchange->on_writable) {
        callback();
      }
    }
  }
  this->parse_input(this->input);
  if (this->input_ended && !this->write_active && this->pending.empty()) {
    this->close_if_idle();
  }
  this->wait_readable();
}

void caller_connection::begin_linger() {
  this->phase = connection_phase::lingering;
  this->last_activity = this->clock.now();
}

void caller_connection::close_if_idle() {
  if (this->phase != connection_phase::open || !this->is_idle() || this->write_active) {
    return;
  }
  this->input_ended = true;
  this->begin_linger();
  this->shutdown_output();
}

void caller_connection::shutdown_output() {
  this->last_activity = this->clock.now();
  this->set_reset_on_close(false);
  impl::error_code ignored;
  this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
}

void caller_connection::set_reset_on_close(bool resets) {
  impl::error_code ignored;
  this->socket.set_option(boost::asio::socket_base::linger{resets, 0}, ignored);
}

void caller_connection::close_socket() {
  if (this->phase == connection_phase::closed) {
    return;
  }
  this->phase = connection_phase::closed;
  impl::error_code ignored;
  this->socket.close(ignored);
  this->end_input();
  this->unread_response.unlink();
  const auto abandoned = std::move(this->pending);
  this->pending.clear();
  for (const auto& exchange : abandoned) {
    const auto callback = std::move(exchange->on_disconnect);
    exchange->release();
    if (callback) {
      callback();
    }
  }
}

}  // namespace zinnia
