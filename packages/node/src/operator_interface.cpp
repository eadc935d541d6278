// HTTP routes for operators.
#include "zinnia/node/operator_interface.hpp"

#include <array>
#include <nlohmann/json.hpp>

#include "account_report.hpp"
#include "restriction_report.hpp"

namespace zinnia {
namespace impl {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr std::string_view requests_path = "/v1/requests/";

/// Names from outside need not be valid UTF-8.
[[nodiscard]] std::string to_text(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

void respond_with_json(caller_exchange& exchange, const json& body) {
  exchange.respond(status_ok, {{"Content-Type", "application/json"}}, to_text(body));
}

void respond_with_metrics(caller_exchange& exchange, const operator_view& view) {
  auto gauges = view.traffic.gauges();
  gauges.push_back({"zinnia_configuration_confirmed", "",
                    view.traffic.is_configuration_confirmed(boot_clock{}.now()) ? 1 : 0});
  gauges.push_back({"zinnia_connections_open", "", static_cast<std::int64_t>(view.connections.open)});
  gauges.push_back({"zinnia_connections_evicted", "", static_cast<std::int64_t>(view.connections.evicted)});
  append_gauges(view.traffic.backend_restrictions(), gauges);
  append_gauges(view.traffic.account_usages(), gauges);
  exchange.respond(status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, view.counts.render(gauges));
}

void respond_with_status(caller_exchange& exchange, const operator_view& view) {
  json body{{"requests_under_way", view.traffic.requests_in_flight()},
            {"nodes_alive", json::array()},
            {"nodes_serving", json::array()},
            {"shifts", json::array()},
            {"config_version", 0},
            {"backends", 0},
            {"evacuated", json::array()}};
  for (const auto& [id, known] : view.alive) {
    body["nodes_alive"].push_back(id.str());
    if (known.serves) {
      body["nodes_serving"].push_back(id.str());
    }
  }
  for (const auto& shift : view.progress) {
    body["shifts"].push_back({{"id", shift.id},
                              {"percent", shift.percent},
                              {"complete", shift.complete},
                              {"waits_for", shift.waits_for}});
  }
  if (const auto* const snapshot = view.traffic.snapshot()) {
    body["config_version"] = snapshot->version.count();
    body["backends"] = snapshot->backends.size();
    for (const auto& domain : snapshot->evacuated) {
      body["evacuated"].push_back(domain.str());
    }
  }
  respond_with_json(exchange, body);
}

void respond_with_request_record(caller_exchange& exchange, const operator_view& view) {
  const std::string id{exchange.head().path().substr(requests_path.size())};
  const auto record = view.traffic.find_record(id);
  if (!record) {
    exchange.respond(status_not_found, {}, "");
    return;
  }
  exchange.respond(status_ok, {{"Content-Type", "application/json"}}, *record + '\n');
}

void respond_with_entry_addresses(caller_exchange& exchange, const operator_view& view) {
  const location caller{failure_domain_id{exchange.head().query_parameter("domain").value_or("")},
                        region_id{exchange.head().query_parameter("region").value_or("")}};
  respond_with_json(exchange, {{"entries", advertised_addresses(view.alive, caller)}});
}

void respond_with_restrictions(caller_exchange& exchange, const operator_view& view) {
  respond_with_json(exchange, restriction_document(view.traffic.backend_restrictions()));
}

void respond_with_accounts(caller_exchange& exchange, const operator_view& view) {
  respond_with_json(exchange, account_document(view.traffic.account_usages()));
}

struct operator_route {
  std::string_view path;
  void (*respond)(caller_exchange&, const operator_view&);
};

constexpr std::array<operator_route, 6> routes{{{"/metrics", respond_with_metrics},
                                                {"/v1/status", respond_with_status},
                                                {"/v1/servers", respond_with_restrictions},
                                                {"/v1/accounts", respond_with_accounts},
                                                {"/v1/requests/", respond_with_request_record},
                                                {"/v1/entries", respond_with_entry_addresses}}};

}  // namespace
}  // namespace impl

void respond_to_operator(caller_exchange& exchange, const operator_view& view) {
  for (const auto& route : impl::routes) {
    if (exchange.head().path().starts_with(route.path)) {
      route.respond(exchange, view);
      return;
    }
  }
  exchange.respond(impl::status_not_found, {}, "");
}

}  // namespace zinnia
