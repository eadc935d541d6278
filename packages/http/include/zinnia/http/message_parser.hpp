// Incremental parsers for requests and responses, on Boost.Beast's parser.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>

#include "zinnia/http/message.hpp"

namespace zinnia {

/// \brief How far a call of `feed` got.
enum class parse_progress : unsigned char { needs_more, complete, malformed };

namespace impl {

/// \brief What both parsers share: collecting fields and body pieces.
template <bool IsRequest>
class collecting_parser : public boost::beast::http::basic_parser<IsRequest> {
 public:
  using base = boost::beast::http::basic_parser<IsRequest>;
  using error_code = boost::beast::error_code;
  using text_view = boost::beast::string_view;

  /// \param header_limit Most bytes that a head may have.
  explicit collecting_parser(std::uint32_t header_limit) {
    this->header_limit(header_limit);
    // Bodies are bounded by their readers; without a value this Beast refuses every body with a length.
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->eager(true);
  }

  /// \brief Parses as much of `data` as possible; `used` tells how many bytes are done with.
  [[nodiscard]] parse_progress feed(std::string_view data, std::size_t& used) {
    used = 0;
    while (!this->is_done()) {
      error_code problem;
      const auto taken =
          this->put(boost::asio::const_buffer{data.data() + used, data.size() - used}, problem);
      used += taken;
      if (problem == boost::beast::http::error::need_more) {
        return parse_progress::needs_more;
      }
      if (problem) {
        this->last_problem = problem;
        return parse_progress::malformed;
      }
      if (used == data.size() && !this->is_done()) {
        return parse_progress::needs_more;
      }
      if (taken == 0 && !this->is_done()) {
        return parse_progress::needs_more;
      }
    }
    return parse_progress::complete;
  }

  /// \brief Why `feed` said `malformed`.
  [[nodiscard]] const error_code& problem() const noexcept { return this->last_problem; }

 protected:
  void on_field_impl(boost::beast::http::field /*known*/, text_view name, text_view value,
                     error_code& /*problem*/) override {
    // Trailers arrive here too; they are not passed on.
    if (!this->header_seen) {
      this->collected.push_back({std::string{name}, std::string{value}});
    }
  }
  void on_header_impl(error_code& /*problem*/) override { this->header_seen = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, error_code& /*problem*/) override {
  }
  std::size_t on_body_impl(text_view piece, error_code& /*problem*/) override {
    this->take_body({piece.data(), piece.size()});
    return piece.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, text_view /*extensions*/,
                            error_code& /*problem*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, text_view piece,
                                 error_code& /*problem*/) override {
    this->take_body({piece.data(), piece.size()});
    return piece.size();
  }
  void on_finish_impl(error_code& /*problem*/) override {}
  virtual void take_body(std::string_view piece) = 0;

  header_fields collected;
  bool header_seen{false};
  error_code last_problem;
};

}  // namespace impl

/// \brief Collects one request with its whole body.
class request_parser final : public impl::collecting_parser<true> {
 public:
  using collecting_parser::collecting_parser;

  /// \brief The head; valid once `is_header_done()`.
  [[nodiscard]] request_head take_head();
  [[nodiscard]] std::string take_body_text() { return std::move(this->body); }
  [[nodiscard]] std::size_t body_size() const noexcept { return this->body.size(); }
  [[nodiscard]] const header_fields& fields() const noexcept { return this->collected; }

 protected:
  void on_request_impl(boost::beast::http::verb verb, text_view method, text_view target, int version,
                       error_code& problem) override;
  void on_response_impl(int /*status*/, text_view /*reason*/, int /*version*/,
                        error_code& /*problem*/) override {}
  void take_body(std::string_view piece) override { this->body.append(piece); }

 private:
  request_head head;
  std::string body;
};

/// \brief Reads one response and hands its body on piece by piece.
class response_parser final : public impl::collecting_parser<false> {
 public:
  using body_sink = std::function<void(std::string_view)>;
  response_parser(std::uint32_t header_limit, body_sink sink_in)
      : collecting_parser{header_limit}, sink{std::move(sink_in)} {}

  /// \brief The head; valid once `is_header_done()`.
  [[nodiscard]] const response_head& head();

 protected:
  void on_request_impl(boost::beast::http::verb /*verb*/, text_view /*method*/, text_view /*target*/,
                       int /*version*/, error_code& /*problem*/) override {}
  void on_response_impl(int status, text_view reason, int version, error_code& problem) override;
  void take_body(std::string_view piece) override { this->sink(piece); }

 private:
  response_head received;
  body_sink sink;
};

}  // namespace zinnia
