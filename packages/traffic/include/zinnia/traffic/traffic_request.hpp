// A request on its way through the filters.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "zinnia/core/clock.hpp"
#include "zinnia/wire/frames.hpp"

namespace zinnia {

/// \brief One request, wherever it entered this node.
struct traffic_request {
  request_id id;
  service_id service;
  std::string method;
  /// Path and query at the backend server.
  std::string path;
  idempotency_key key;
  header_list headers;
  std::string body;
  time_point deadline{};
  /// The region whose entry took the request in.
  region_id origin_region;
  /// Its caller belongs to another region, so reserves here are not for it.
  bool from_elsewhere{false};
  /// Whether it may wait for a slot at the next holder, rather than be told that all are busy.
  bool may_queue{true};
  /// Asked often; true once nobody waits for the answer any more.
  std::function<bool()> cancelled;

  /// \brief By its method, as HTTP defines it.
  [[nodiscard]] bool is_idempotent() const {
    return this->method == "GET" || this->method == "HEAD" || this->method == "PUT" ||
           this->method == "DELETE" || this->method == "OPTIONS";
  }
};

/// \brief A refusal of this request.
[[nodiscard]] inline exchange_answer refuse(const traffic_request& request, reason why,
                                            duration retry_after = {}, verdict known = verdict::did_not_run) {
  exchange_answer answer;
  answer.id = request.id;
  answer.outcome = known;
  answer.why = why;
  answer.retry_after = retry_after;
  return answer;
}

}  // namespace zinnia
