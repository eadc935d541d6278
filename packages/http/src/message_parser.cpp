// Conversion of parsed start lines and fields to message heads.
#include "zinnia/http/message_parser.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr int min_status = 100;
constexpr int status_switching_protocols = 101;
constexpr int max_status = 599;

}  // namespace
}  // namespace impl

void request_parser::on_request_impl(boost::beast::http::verb /*verb*/, text_view method, text_view target,
                                     int version, error_code& /*ec*/) {
  this->parsed.method = std::string{method};
  this->parsed.target = std::string{target};
  this->parsed.version = version;
}

const request_head& request_parser::head() {
  if (!this->collected_fields.empty()) {
    this->parsed.fields = std::move(this->collected_fields);
    this->collected_fields.clear();
    this->field_memory = memory_of(this->parsed.fields);
  }
  return this->parsed;
}

std::size_t request_parser::head_memory() {
  if (!this->is_header_done()) {
    return memory_of(this->collected_fields);
  }
  static_cast<void>(this->head());
  return this->field_memory;
}

request_head request_parser::take_head() {
  static_cast<void>(this->head());
  this->parsed.keep_alive = this->keep_alive();
  return std::move(this->parsed);
}

void response_parser::on_response_impl(int status, text_view reason, int /*version*/, error_code& ec) {
  // No request asks for another protocol, and what follows a switch to one is not HTTP.
  if (status < impl::min_status || status > impl::max_status || status == impl::status_switching_protocols) {
    ec = boost::beast::http::error::bad_status;
    return;
  }
  this->received.status = status;
  this->received.reason_phrase = std::string{reason};
}

const response_head& response_parser::head() {
  if (!this->collected_fields.empty()) {
    this->received.fields = std::move(this->collected_fields);
    this->collected_fields.clear();
    if (const auto length = this->content_length()) {
      this->received.content_length = *length;
    }
  }
  return this->received;
}

}  // namespace zinnia
