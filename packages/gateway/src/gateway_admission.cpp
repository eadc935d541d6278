// Admission of requests: what is refused before a request is placed.
#include <absl/strings/str_format.h>

#include <algorithm>
#include <string>

#include "hop_fields.hpp"
#include "request_flow.hpp"
#include "zinnia/gateway/gateway.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Retry-After, in ms, of requests refused before placement: there is no configuration yet, or memory is
/// short.
constexpr duration unplaced_retry_after{200};
constexpr duration shortage_log_period{1000};

/// Returns how long a caller should wait before it sends a request again that was refused before placement.
[[nodiscard]] duration retry_after_of(reason why) noexcept {
  switch (why) {
    case reason::configuration_unconfirmed:
      return gateway::unconfirmed_retry_after;
    case reason::node_stopping:
      // Other nodes serve the caller at once.
    case reason::deadline_passed:
      return duration{0};
    default:
      return unplaced_retry_after;
  }
}

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

}  // namespace
}  // namespace impl

void gateway::handle(const std::shared_ptr<caller_exchange>& exchange) {
  this->counts.add(counter::requests);
  this->admit(exchange, nullptr);
}

void gateway::admit(const std::shared_ptr<caller_exchange>& exchange, const forwarded_request* forwarded) {
  std::optional<account_identity> identity;
  const auto refuse = [&](int status, reason why) {
    this->refuse_unplaced(*exchange, status, why, forwarded != nullptr, identity);
  };
  if (this->current_snapshot == nullptr || this->current_snapshot->routes == nullptr) {
    refuse(impl::status_unavailable, reason::no_settings);
    return;
  }
  const auto& head = exchange->head();
  const auto host = find_field(head.fields, "Host");
  if (!host) {
    refuse(impl::status_bad_request, reason::bad_request);
    return;
  }
  const auto* const route = this->find_route(head);
  if (route == nullptr) {
    refuse(impl::status_not_found, reason::no_route);
    return;
  }
  identity = this->identify_account(head, forwarded);
  if (const auto access = this->check_access(identity, *route); access.refusal != reason::none) {
    refuse(access.refusal == reason::unknown_key ? impl::status_unauthorized : impl::status_unavailable,
           access.refusal);
    return;
  }
  const auto ticket = this->next_ticket++;
  const auto flow = std::make_shared<request_flow>(*this, ticket, exchange, this->current_snapshot, *route,
                                                   forwarded, identity);
  this->flows.emplace(ticket, flow);
  flow->start();
}

void gateway::log_memory_shortage(time_point now) {
  const auto* const memory = this->options.memory;
  if (memory == nullptr || memory->shortages() == this->logged_shortages ||
      now - this->shortage_logged_at < impl::shortage_log_period) {
    return;
  }
  log_line{log_level::warn, "memory_short"}
      .field("used_bytes", static_cast<std::int64_t>(memory->used()))
      .field("limit_bytes", static_cast<std::int64_t>(memory->max_used()))
      .field("shortages", static_cast<std::int64_t>(memory->shortages() - this->logged_shortages));
  this->logged_shortages = memory->shortages();
  this->shortage_logged_at = now;
}

const route* gateway::find_route(const request_head& head) const {
  const auto host = find_field(head.fields, "Host");
  const bool has_routes = this->current_snapshot != nullptr && this->current_snapshot->routes != nullptr;
  return host && has_routes ? this->current_snapshot->routes->find(*host, head.path()) : nullptr;
}

time_point gateway::deadline_of(const request_head& head, const route& wanted, time_point arrived) const {
  const auto deadline = arrived + wanted.timeout;
  const auto text = find_field(head.fields, this->options.field_names.time_left_ms);
  const auto left_ms = text ? parse_number(*text) : std::nullopt;
  return left_ms ? std::min(deadline, arrived + duration{*left_ms}) : deadline;
}

void gateway::refuse_unplaced(caller_exchange& exchange, int status, reason why, bool is_forwarded,
                              const std::optional<account_identity>& identity) {
  const auto& head = exchange.head();
  const auto id = find_field(head.fields, this->options.field_names.request_id).value_or("");
  header_fields fields;
  if (status == impl::status_unavailable) {
    constexpr double ms_per_second = 1000;
    const auto seconds = static_cast<double>(impl::retry_after_of(why).ms) / ms_per_second;
    fields.push_back({"Retry-After", absl::StrFormat("%.3f", seconds)});
  }
  if (!id.empty()) {
    fields.push_back({this->options.field_names.request_id, std::string{id}});
  }
  if (is_forwarded) {
    this->counts.add(counter::forwarded_refused);
    for (auto& field : encode_hop_fields({verdict::did_not_run, why, 0})) {
      fields.push_back(std::move(field));
    }
  }
  exchange.respond(status, fields, "");
  this->counts.record_refusal(why);
  this->counts.add(counter::unauthorized, status == impl::status_unauthorized ? 1 : 0);
  log_line line{log_level::warn, "request_refused"};
  line.field("request", id)
      .field("status", status)
      .field("reason", to_string(why))
      .field("path", head.path())
      .field("forwarded", is_forwarded ? 1 : 0)
      .field("config_version",
             this->current_snapshot ? static_cast<std::int64_t>(this->current_snapshot->version.count()) : 0);
  if (identity) {
    line.field("account", identity->id.str());
  }
}

}  // namespace zinnia
