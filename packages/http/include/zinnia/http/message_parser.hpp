// Incremental parsers for requests and responses, on Boost.Beast's parser.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>

#include "zinnia/http/body_buffer.hpp"
#include "zinnia/http/message.hpp"

namespace zinnia {

/// \brief The state of a parser after a call of `feed`.
enum class parse_progress : unsigned char { needs_more, complete, malformed };

namespace impl {

/// \brief The common part of both parsers: collects header fields and passes body pieces on.
template <bool IsRequest>
class collecting_parser : public boost::beast::http::basic_parser<IsRequest> {
 public:
  using base = boost::beast::http::basic_parser<IsRequest>;
  using error_code = boost::beast::error_code;
  using text_view = boost::beast::string_view;

  /// \param header_limit The maximum size of a head in bytes.
  explicit collecting_parser(std::uint32_t header_limit) {
    this->header_limit(header_limit);
    // Users of the parser limit the body size. body_limit(boost::none) would make this version of Beast
    // reject every body with a length.
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->eager(true);
  }

  /// \brief Parses as much of `data` as possible.
  /// \param consumed Set to the number of bytes parsed.
  [[nodiscard]] parse_progress feed(std::string_view data, std::size_t& consumed) {
    consumed = 0;
    while (!this->is_done()) {
      error_code ec;
      const auto parsed =
          this->put(boost::asio::const_buffer{data.data() + consumed, data.size() - consumed}, ec);
      consumed += parsed;
      if (ec == boost::beast::http::error::need_more) {
        return parse_progress::needs_more;
      }
      if (ec) {
        this->last_error = ec;
        return parse_progress::malformed;
      }
      if (consumed == data.size() && !this->is_done()) {
        return parse_progress::needs_more;
      }
      if (parsed == 0 && !this->is_done()) {
        return parse_progress::needs_more;
      }
    }
    return parse_progress::complete;
  }

  /// \brief The error for which `feed` returned `malformed`.
  [[nodiscard]] const error_code& parse_error() const noexcept { return this->last_error; }

 protected:
  void on_field_impl(boost::beast::http::field /*known*/, text_view name, text_view value,
                     error_code& /*ec*/) override {
    // Called for trailers too, which are not forwarded.
    if (!this->header_complete) {
      this->collected_fields.push_back({std::string{name}, std::string{value}});
    }
  }
  void on_header_impl(error_code& ec) override {
    this->header_complete = true;
    if (has_unknown_framing(this->collected_fields)) {
      ec = boost::beast::http::error::bad_transfer_encoding;
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, error_code& /*ec*/) override {}
  std::size_t on_body_impl(text_view piece, error_code& /*ec*/) override {
    this->on_body_piece({piece.data(), piece.size()});
    return piece.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, text_view /*extensions*/, error_code& /*ec*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, text_view piece, error_code& /*ec*/) override {
    this->on_body_piece({piece.data(), piece.size()});
    return piece.size();
  }
  void on_finish_impl(error_code& /*ec*/) override {}
  virtual void on_body_piece(std::string_view piece) = 0;

  header_fields collected_fields;
  bool header_complete{false};
  error_code last_error;
};

}  // namespace impl

/// \brief Parses one request and stores its whole body.
class request_parser final : public impl::collecting_parser<true> {
 public:
  using collecting_parser::collecting_parser;
  /// \param body_in    The empty buffer that takes the body.
  /// \param keeps_body False to count the body's bytes and drop them.
  request_parser(std::uint32_t header_limit, body_buffer body_in, bool keeps_body)
      : collecting_parser{header_limit}, body{std::move(body_in)}, drops_body{!keeps_body} {}

  /// \brief The head; valid once `is_header_done()`, and until `take_head`.
  [[nodiscard]] const request_head& head();
  [[nodiscard]] request_head take_head();
  [[nodiscard]] body_buffer take_body() { return std::move(this->body); }
  /// \brief The number of body bytes received so far.
  [[nodiscard]] std::size_t body_size() const noexcept { return this->received_bytes; }
  /// \brief True if there was no memory for a part of the body, which is lost.
  [[nodiscard]] bool is_body_lost() const noexcept { return this->body_lost; }
  /// \brief The memory that the head takes, in bytes, also while it is incomplete.
  [[nodiscard]] std::size_t head_memory();

 protected:
  void on_request_impl(boost::beast::http::verb verb, text_view method, text_view target, int version,
                       error_code& ec) override;
  void on_response_impl(int /*status*/, text_view /*reason*/, int /*version*/, error_code& /*ec*/) override {}
  void on_body_piece(std::string_view piece) override {
    this->received_bytes += piece.size();
    this->body_lost = this->body_lost || (!this->drops_body && !this->body.try_append(piece));
  }

 private:
  request_head parsed;
  body_buffer body;
  // Of all fields of the head; 0 until they are complete.
  std::size_t field_memory{0};
  std::size_t received_bytes{0};
  bool drops_body{false};
  bool body_lost{false};
};

/// \brief   Parses one response and passes its body to a sink piece by piece.
/// \details A status outside 100 to 599 makes it malformed: it says neither if a body follows nor how the
///          request ended.
class response_parser final : public impl::collecting_parser<false> {
 public:
  using body_sink = std::function<void(std::string_view)>;
  response_parser(std::uint32_t header_limit, body_sink sink_in)
      : collecting_parser{header_limit}, sink{std::move(sink_in)} {}

  /// \brief The head; valid once `is_header_done()`.
  [[nodiscard]] const response_head& head();

 protected:
  void on_request_impl(boost::beast::http::verb /*verb*/, text_view /*method*/, text_view /*target*/,
                       int /*version*/, error_code& /*ec*/) override {}
  void on_response_impl(int status, text_view reason, int version, error_code& ec) override;
  void on_body_piece(std::string_view piece) override { this->sink(piece); }

 private:
  response_head received;
  body_sink sink;
};

}  // namespace zinnia
