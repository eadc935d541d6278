// The HTTP interface of a node: look-ups, requests, fates, status and metrics.
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>

#include "zinnia/observe/log.hpp"
#include "zinnia/steering/shift_plan.hpp"
#include "zinnia/traffic/traffic_node.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;
constexpr int http_too_large = 413;
constexpr int http_unprocessable = 422;
constexpr int http_bad_gateway = 502;
constexpr int http_unavailable = 503;
constexpr int http_gateway_timeout = 504;
const std::string services_prefix = "/v1/services/";
const std::string requests_prefix = "/v1/requests/";
const std::string fates_prefix = "/v1/fates/";

[[nodiscard]] http_response json_response(int status, const nlohmann::json& value) {
  return {status, {{"Content-Type", "application/json"}}, value.dump() + '\n'};
}

[[nodiscard]] http_response bad_request(const std::string& message) {
  return json_response(http_bad_request,
                       {{"verdict", "did-not-run"}, {"reason", "bad-request"}, {"detail", message}});
}

[[nodiscard]] int status_for(const exchange_answer& answer) {
  switch (answer.why) {
    case reason::bad_request:
      return http_bad_request;
    case reason::unknown_service:
      return http_not_found;
    case reason::body_too_large:
      return http_too_large;
    case reason::key_reused:
      return http_unprocessable;
    case reason::key_uncertain:
    case reason::answer_not_kept:
      return http_conflict;
    case reason::deadline_passed:
    case reason::wait_exceeds_deadline:
    case reason::backend_timeout:
      return http_gateway_timeout;
    default:
      return answer.outcome == verdict::did_not_run ? http_unavailable : http_bad_gateway;
  }
}

/// Headers that belong to one connection and are not passed on.
[[nodiscard]] bool is_passed_on(const std::string& name) {
  static const std::set<std::string> kept_back{
      "connection",        "keep-alive",     "te",           "trailer",
      "transfer-encoding", "upgrade",        "host",         "expect",
      "x-verdict",         "content-length", "x-request-id", "x-reason",
      "idempotency-key",   "x-deadline-ms",  "date",         "proxy-connection"};
  return !kept_back.contains(name);
}

[[nodiscard]] std::string header_of(const http_request& http, const std::string& name) {
  const auto found = http.headers.find(name);
  return found == http.headers.end() ? std::string{} : found->second;
}

[[nodiscard]] std::optional<std::int64_t> parse_number(const std::string& text) {
  std::int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

[[nodiscard]] std::uint64_t random_number() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return generator();
}

}  // namespace
}  // namespace impl

frontend_handlers traffic_node::make_handlers() {
  return {[this](const http_request& request) { return this->handle_quick(request); },
          [this](http_request& request) { return this->handle_request(request); },
          [this](const http_request& request, reason why) { return this->refuse_request(request, why); }};
}

std::optional<http_response> traffic_node::handle_quick(const http_request& request) {
  if (request.path.starts_with(impl::services_prefix)) {
    return std::nullopt;
  }
  if (request.path == "/v1/entries") {
    return this->handle_lookup(request);
  }
  if (request.path.starts_with(impl::fates_prefix)) {
    return this->handle_fate(request);
  }
  if (request.path.starts_with(impl::requests_prefix) && request.method == "DELETE") {
    return this->handle_cancel(request);
  }
  if (request.path == "/v1/status") {
    return this->handle_status();
  }
  if (request.path == "/metrics") {
    return this->handle_metrics();
  }
  if (request.path == "/healthz") {
    return http_response{impl::http_ok, {}, "ok\n"};
  }
  if (request.path == "/readyz") {
    const auto view = this->view();
    const bool ready = view->settings != nullptr && !view->leaving && this->clock.now() < view->valid_until;
    return http_response{
        ready ? impl::http_ok : impl::http_unavailable, {}, ready ? "ready\n" : "not ready\n"};
  }
  return impl::json_response(impl::http_not_found, {{"error", "unknown path"}, {"path", request.path}});
}

std::uint32_t traffic_node::client_of(const http_request& http) const {
  const auto query = http.query.find("client");
  const auto text = query != http.query.end() ? query->second : impl::header_of(http, "x-client-address");
  const auto parsed = parse_ipv4(text);
  return parsed ? *parsed : http.client_address;
}

http_response traffic_node::handle_lookup(const http_request& request) {
  this->counts.add(counter::lookups);
  const auto found_service = request.query.find("service");
  if (found_service == request.query.end()) {
    return impl::bad_request("service: missing; the query must name a service");
  }
  std::shared_ptr<const entry_lookup> table;
  std::shared_ptr<const traffic_view> view;
  {
    const absl::MutexLock lock{&this->mutex};
    table = this->lookup;
    view = this->current;
  }
  if (table == nullptr) {
    return impl::json_response(impl::http_unavailable, {{"reason", "no-settings"}});
  }
  const service_id service{found_service->second};
  if (!view->settings->has_service(service)) {
    return impl::json_response(impl::http_not_found,
                               {{"reason", "unknown-service"}, {"service", service.str()}});
  }
  const auto found = table->find(*view, service, this->client_of(request), this->options.identity.id);
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& entry : found.entries) {
    entries.push_back({{"node", entry.node.str()},
                       {"address", entry.address},
                       {"region", entry.region.str()},
                       {"domain", entry.domain.str()}});
  }
  const auto key = mint_key(found.caller_region, unix_time_ms(), impl::random_number());
  return impl::json_response(
      impl::http_ok,
      {{"entries", entries}, {"lifetime_ms", found.lifetime.ms}, {"idempotency_key", key.str()}});
}

http_response traffic_node::handle_fate(const http_request& request) {
  const auto record = this->fate_records.find(request_id{request.path.substr(impl::fates_prefix.size())});
  if (!record) {
    return impl::json_response(impl::http_not_found, {{"error", "not known at this entry"}});
  }
  return {impl::http_ok, {{"Content-Type", "application/json"}}, to_json_text(*record) + '\n'};
}

http_response traffic_node::handle_cancel(const http_request& request) {
  const auto id = request.path.substr(impl::requests_prefix.size());
  const absl::MutexLock lock{&this->mutex};
  if (!this->open_ids.contains(id)) {
    return impl::json_response(impl::http_not_found, {{"error", "no such request in flight at this entry"}});
  }
  this->cancelled_ids.insert(id);
  return impl::json_response(impl::http_ok, {{"cancelling", id}});
}

http_response traffic_node::handle_status() {
  const auto view = this->view();
  nlohmann::json value{{"node", this->options.identity.id.str()},
                       {"region", this->options.identity.region.str()},
                       {"domain", this->options.identity.domain.str()},
                       {"incarnation", this->options.identity.incarnation.str()},
                       {"settings_version", view->settings_version.count()},
                       {"leaving", view->leaving},
                       {"in_flight", this->total_in_flight()},
                       {"may_dispatch", this->clock.now() < view->valid_until},
                       {"buckets", nlohmann::json::array()},
                       {"upstreams", nlohmann::json::array()},
                       {"shares", nlohmann::json::array()},
                       {"shifts", nlohmann::json::array()}};
  for (const auto& bucket : view->buckets) {
    value["buckets"].push_back({{"bucket", bucket.bucket}, {"epoch", bucket.held_since.count()}});
  }
  for (const auto& upstream : view->upstreams) {
    value["upstreams"].push_back({{"id", upstream.id.str()},
                                  {"service", upstream.service.str()},
                                  {"epoch", upstream.held_since.count()},
                                  {"closed", upstream.closed},
                                  {"quarantined", this->clock.now() < upstream.quarantined_until}});
  }
  for (const auto& [key, granted] : view->shares) {
    value["shares"].push_back({{"to", key.to.str()},
                               {"service", key.service.str()},
                               {"granted", granted},
                               {"in_flight", this->slots.in_flight(key)}});
  }
  if (view->settings != nullptr) {
    for (const auto& shift : progress_of(*view->settings, unix_time_ms())) {
      value["shifts"].push_back({{"id", shift.id},
                                 {"percent", shift.percent},
                                 {"complete", shift.complete},
                                 {"waits_for", shift.waits_for}});
    }
  }
  return impl::json_response(impl::http_ok, value);
}

http_response traffic_node::handle_metrics() {
  std::vector<gauge> gauges;
  for (const auto& load : this->slots.loads()) {
    const auto label = "service=\"" + load.service.str() + '"';
    gauges.push_back({"zinnia_slots_total", label, load.slots_total});
    gauges.push_back({"zinnia_slots_free", label, load.slots_free});
    gauges.push_back({"zinnia_queued", label, load.queued});
  }
  gauges.push_back({"zinnia_settings_version", "", this->view()->settings_version.count()});
  gauges.push_back({"zinnia_in_flight", "", this->total_in_flight()});
  return {impl::http_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, this->counts.render(gauges)};
}

result<traffic_request> traffic_node::read_request(const http_request& http) {
  const auto rest = http.target.substr(impl::services_prefix.size());
  const auto slash = rest.find_first_of("/?");
  traffic_request request;
  request.service = service_id{rest.substr(0, slash)};
  request.path = slash == std::string::npos ? "/" : rest.substr(slash);
  request.path = request.path.starts_with('?') ? '/' + request.path : request.path;
  request.method = http.method;
  request.key = idempotency_key{impl::header_of(http, "idempotency-key")};
  request.body = http.body;
  request.origin_region = this->options.identity.region;
  for (const auto& [name, value] : http.headers) {
    if (impl::is_passed_on(name)) {
      request.headers.emplace_back(name, value);
    }
  }
  const auto values = settings_for(*this->view(), request.service, request.origin_region);
  auto limit = values.default_deadline_ms;
  const auto wanted = impl::header_of(http, "x-deadline-ms");
  if (!wanted.empty()) {
    const auto parsed = impl::parse_number(wanted);
    if (!parsed || *parsed < 1 || *parsed > values.longest_deadline_ms) {
      return error{reason::bad_request,
                   "X-Deadline-Ms: '" + wanted + "' is not allowed; allowed: 1 to " +
                       std::to_string(values.longest_deadline_ms),
                   ""};
    }
    limit = *parsed;
  }
  request.deadline = this->clock.now() + duration{limit};
  const absl::MutexLock lock{&this->mutex};
  const auto* const domain =
      this->lookup == nullptr ? nullptr : this->lookup->domain_of(this->client_of(http));
  request.from_elsewhere = domain != nullptr && domain->region != request.origin_region;
  return request;
}

http_response traffic_node::handle_request(http_request& http) {
  const auto started = this->clock.now();
  this->counts.add(counter::requests);
  this->open_requests.fetch_add(1);
  auto read = this->read_request(http);
  exchange_answer answer;
  fate_record record;
  const auto number = this->next_number.fetch_add(1);
  record.id = make_request_id(this->options.identity.id, unix_time_ms(), number);
  record.received_unix_ms = unix_time_ms();
  record.method = http.method;
  record.path = http.path;
  record.key = idempotency_key{impl::header_of(http, "idempotency-key")};
  if (!read) {
    this->fate_records.begin(record);
    answer.why = read.last_error().code;
    answer.body = read.last_error().message;
    answer.outcome = record.key.empty() ? verdict::did_not_run : verdict::may_have_run;
  } else {
    auto& request = read.value();
    request.id = record.id;
    record.service = request.service;
    record.key = request.key;
    this->fate_records.begin(record);
    {
      const absl::MutexLock lock{&this->mutex};
      this->open_ids.insert(request.id.str());
    }
    request.cancelled = [this, id = request.id.str(), closed = http.cancelled] {
      const absl::MutexLock lock{&this->mutex};
      return this->cancelled_ids.contains(id) || closed();
    };
    answer = this->path.run(request, pipeline_stage::admission);
    const absl::MutexLock lock{&this->mutex};
    this->open_ids.erase(request.id.str());
    this->cancelled_ids.erase(request.id.str());
  }
  answer.id = record.id;
  for (const auto& [name, value] : answer.headers) {
    if (name == first_request_header) {
      this->fate_records.step(record.id, "replay_of " + value);
    }
  }
  this->fate_records.finish(record.id, answer);
  if (answer.why != reason::none) {
    this->counts.refused(answer.why);
  }
  this->counts.ended(answer.outcome);
  this->counts.record(timing::request, this->clock.now() - started);
  this->open_requests.fetch_sub(1);
  log_line{log_level::debug, "request_finished"}
      .field("request", record.id.str())
      .field("service", record.service.str())
      .field("verdict", std::string{to_word(answer.outcome)})
      .field("reason", std::string{to_word(answer.why)})
      .field("status", answer.status)
      .field("took_ms", (this->clock.now() - started).ms);
  return this->to_response(answer);
}

http_response traffic_node::refuse_request(const http_request& http, reason why) {
  constexpr duration retry_after_busy{200};
  fate_record record;
  record.id = make_request_id(this->options.identity.id, unix_time_ms(), this->next_number.fetch_add(1));
  record.received_unix_ms = unix_time_ms();
  record.method = http.method;
  record.path = http.path;
  this->fate_records.begin(record);
  exchange_answer answer;
  answer.id = record.id;
  answer.why = why;
  // Refused before its key's home was asked.
  answer.outcome =
      impl::header_of(http, "idempotency-key").empty() ? verdict::did_not_run : verdict::may_have_run;
  answer.retry_after = why == reason::workers_busy ? retry_after_busy : duration{0};
  this->fate_records.finish(record.id, answer);
  this->counts.refused(why);
  return this->to_response(answer);
}

http_response traffic_node::to_response(const exchange_answer& answer) const {
  http_response response;
  const bool is_answer = answer.status != 0;
  const std::string verdict_word{to_word(answer.outcome)};
  const std::string reason_word{to_word(answer.why)};
  response.headers = {{"X-Request-Id", answer.id.str()}, {"X-Verdict", verdict_word}};
  if (answer.why != reason::none) {
    response.headers.emplace_back("X-Reason", reason_word);
  }
  if (is_answer) {
    response.status = answer.status;
    response.body = answer.body;
    for (const auto& [name, value] : answer.headers) {
      if (impl::is_passed_on(name)) {
        response.headers.emplace_back(name, value);
      }
    }
    return response;
  }
  response.status = impl::status_for(answer);
  nlohmann::json body{{"verdict", verdict_word},
                      {"reason", reason_word},
                      {"request", answer.id.str()},
                      {"retry", answer.retry_after.ms > 0},
                      {"retry_after_ms", answer.retry_after.ms}};
  if (!answer.body.empty()) {
    body["detail"] = answer.body;
  }
  if (answer.retry_after.ms > 0) {
    response.headers.emplace_back("Retry-After-Ms", std::to_string(answer.retry_after.ms));
    const auto view = this->view();
    for (const auto& [id, node] : view->nodes) {
      if (id != this->options.identity.id && node.region == this->options.identity.region && !node.leaving) {
        body["retry_at"] = node.entry.caller_address;
        response.headers.emplace_back("X-Retry-At", node.entry.caller_address);
        break;
      }
    }
  }
  response.headers.emplace_back("Content-Type", "application/json");
  response.body = body.dump() + '\n';
  return response;
}

}  // namespace zinnia
