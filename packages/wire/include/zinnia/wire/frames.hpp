// Frames between nodes, as plain types, and their FlatBuffers form.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/peer_messages.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/verdict.hpp"

namespace zinnia {

/// \brief Version of the frames; both ends of a connection must speak the same.
inline constexpr std::uint16_t wire_protocol = 1;
/// \brief Bytes before each frame: the magic and the length.
inline constexpr std::size_t frame_header_bytes = 8;
/// \brief Largest frame, without its header: the largest body and room for the rest.
inline constexpr std::size_t largest_frame_bytes = (64 << 20) + (1 << 20);

enum class link_role : unsigned char { control, traffic };

/// \brief The first frame of each connection.
struct hello {
  std::uint16_t protocol{wire_protocol};
  node_id node;
  link_role role{link_role::control};
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/// \brief Where in the pipeline the receiving node takes the request up.
enum class exchange_stage : unsigned char { key_home, holder };

/// \brief A request handed to another node.
struct exchange_request {
  request_id id;
  service_id service;
  exchange_stage stage{exchange_stage::holder};
  std::string method;
  std::string path;
  idempotency_key key;
  /// Time left when the frame was written; deadlines do not travel as clock times.
  duration deadline_left{0};
  region_id origin_region;
  bool from_elsewhere{false};
  bool may_queue{true};
  header_list headers;
  std::string body;
};

/// \brief One delivery to a backend server, for fate records.
struct attempt_record {
  node_id node;
  upstream_id upstream;
  verdict outcome{verdict::did_not_run};
  reason why{reason::none};
  std::int64_t started_unix_ms{0};
  duration took{0};
};

/// \brief What became of an exchange.
struct exchange_answer {
  request_id id;
  int status{0};
  verdict outcome{verdict::did_not_run};
  reason why{reason::none};
  duration retry_after{0};
  header_list headers;
  std::string body;
  std::vector<attempt_record> attempts;
  /// A "did not run" of a keyed request comes from the key's home, so it holds for the key as well.
  bool key_known{false};
};

using wire_message = std::variant<hello, peer_message, exchange_request, exchange_answer>;

/// \brief A whole frame, header included.
[[nodiscard]] std::string encode_frame(const wire_message& message);

/// \brief  Reads the length from a frame's header.
/// \return The length of what follows, or why the header is refused.
[[nodiscard]] result<std::size_t> decode_frame_header(const std::string& header);

/// \brief Reads what follows the header; anything malformed is an error, never a crash.
[[nodiscard]] result<wire_message> decode_frame_body(const std::string& body);

}  // namespace zinnia
