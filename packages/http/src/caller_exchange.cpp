// Formats the response to one request and hands it to the connection in order.
#include "zinnia/http/caller_exchange.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

#include "zinnia/http/caller_connection.hpp"
#include "zinnia/http/free_memory.hpp"

namespace zinnia {
namespace impl {
namespace {

/// The source of a response body should pause when more output of its connection than this is unsent.
constexpr std::size_t max_output_bytes = 128 << 10;
/// The same while memory is short.
constexpr std::size_t max_output_bytes_if_short = 16 << 10;

[[nodiscard]] bool has_no_body(const request_head& request, int status) noexcept {
  constexpr int status_no_content = 204;
  constexpr int status_not_modified = 304;
  return request.method == "HEAD" || status == status_no_content || status == status_not_modified;
}

}  // namespace
}  // namespace impl

caller_exchange::caller_exchange(std::shared_ptr<caller_connection> owner, request_head head_in,
                                 body_buffer body_in, time_point started_in, time_point received_in)
    : connection{std::move(owner)},
      request{std::move(head_in)},
      request_body{std::make_shared<const body_buffer>(std::move(body_in))},
      request_charge{this->connection->memory},
      started{started_in},
      received{received_in},
      output_charge{this->connection->memory, &this->connection->unread_response} {}

void caller_exchange::release_body() {
  static const auto empty = std::make_shared<const body_buffer>();
  this->request_body = empty;
}

void caller_exchange::respond(int status, const header_fields& fields, std::string_view text) {
  response_head head;
  head.status = status;
  head.fields = fields;
  head.content_length = text.size();
  this->begin(head);
  this->write(text);
  this->finish();
}

void caller_exchange::begin(const response_head& head) {
  if (!this->is_open() || this->head_written) {
    return;
  }
  this->head_written = true;
  this->omits_body = impl::has_no_body(this->request, head.status);
  constexpr int version_1_1 = 11;
  const bool may_chunk = this->request.version >= version_1_1;
  this->chunked = !head.content_length && may_chunk && !this->omits_body;
  const bool lacks_length = !head.content_length && !may_chunk;
  if (lacks_length) {
    this->request.keep_alive = false;
  }
  const bool ends_with_connection = lacks_length && !this->omits_body;
  if (ends_with_connection) {
    // The caller takes an orderly end of the connection for the end of the body.
    this->connection->set_reset_on_close(true);
  }
  this->closes_connection = this->connection->decide_close(*this, ends_with_connection);
  const auto phrase =
      head.reason_phrase.empty() ? standard_reason_phrase(head.status) : std::string_view{head.reason_phrase};
  absl::StrAppend(&this->output, "HTTP/1.1 ", head.status, " ",
                  absl::string_view{phrase.data(), phrase.size()}, "\r\n");
  append_fields(this->output, head.fields);
  if (head.content_length) {
    absl::StrAppend(&this->output, "Content-Length: ", *head.content_length, "\r\n");
  } else if (this->chunked) {
    this->output += "Transfer-Encoding: chunked\r\n";
  }
  if (this->closes_connection) {
    this->output += "Connection: close\r\n";
  }
  this->output += "\r\n";
  this->pass_output_on();
}

void caller_exchange::pass_output_on() {
  this->output_charge.resize(this->output.capacity());
  this->connection->flush();
}

void caller_exchange::move_output_to(std::string& sent) {
  if (sent.empty()) {
    sent.swap(this->output);
  } else {
    sent += this->output;
  }
  free_memory(this->output);
  this->output_charge.resize(0);
}

void caller_exchange::write(std::string_view piece) {
  if (!this->is_open() || piece.empty() || this->omits_body) {
    return;
  }
  if (this->chunked) {
    absl::StrAppendFormat(&this->output, "%x\r\n", piece.size());
  }
  this->output += piece;
  if (this->chunked) {
    this->output += "\r\n";
  }
  this->pass_output_on();
}

void caller_exchange::finish() {
  if (!this->is_open()) {
    return;
  }
  if (this->chunked) {
    this->output += "0\r\n\r\n";
  }
  this->finished = true;
  this->on_disconnect = nullptr;
  this->on_writable = nullptr;
  // flush() may release the connection's reference to this exchange.
  const auto self = this->shared_from_this();
  this->pass_output_on();
}

void caller_exchange::abort() {
  if (this->connection != nullptr) {
    const auto owner = this->connection;
    this->on_disconnect = nullptr;
    owner->close_socket();
  }
}

bool caller_exchange::is_congested() const noexcept {
  return this->connection != nullptr &&
         this->connection->unsent_bytes() >
             (this->connection->is_memory_short() ? impl::max_output_bytes_if_short : impl::max_output_bytes);
}

bool caller_exchange::has_unsent_output() const noexcept {
  return this->connection != nullptr && (!this->output.empty() || this->connection->write_active);
}

void caller_exchange::set_deadline(time_point deadline_in) noexcept {
  if (this->connection != nullptr) {
    this->connection->caller_deadline = std::max(this->connection->caller_deadline, deadline_in);
  }
}

bool caller_exchange::is_behind_breakable_response() const noexcept {
  if (this->connection == nullptr) {
    return false;
  }
  const auto& pending = this->connection->pending;
  const auto self = std::find_if(pending.begin(), pending.end(),
                                 [this](const auto& exchange) { return exchange.get() == this; });
  return std::any_of(pending.begin(), self,
                     [](const auto& earlier) { return earlier->may_break && !earlier->finished; });
}

void caller_exchange::when_first_in_pipeline(std::function<void()> callback) {
  if (this->connection == nullptr) {
    return;
  }
  if (this->connection->pending.front().get() == this) {
    callback();
  } else {
    this->first_in_pipeline_callback = std::move(callback);
  }
}

void caller_exchange::release() {
  this->connection = nullptr;
  free_memory(this->output);
  this->output_charge = {};
  this->on_disconnect = nullptr;
  this->on_writable = nullptr;
  this->first_in_pipeline_callback = nullptr;
}

}  // namespace zinnia
