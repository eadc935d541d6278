// Requests in, pools of connections, waiting requests and health checks.
#include "zinnia/gateway/gateway.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <chrono>

#include "health_check.hpp"
#include "request_flow.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// How often waiting requests and suspended servers are looked at.
constexpr std::chrono::milliseconds tick_period{25};
/// How often kept connections are trimmed.
constexpr duration trim_period{1000};
/// Connections that a node may always have to a backend server.
constexpr std::size_t least_connections = 4;
/// When to come back while no configuration is known yet.
constexpr std::string_view start_retry_after = "0.200";

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

}  // namespace
}  // namespace impl

gateway::gateway(boost::asio::io_context& context_in, const clock_source& clock_in, metrics& counts_in,
                 gateway_options options_in)
    : context{context_in},
      clock{clock_in},
      counts{counts_in},
      options{std::move(options_in)},
      table{this->options.here, this->options.regions},
      records{this->options.fate_records},
      timer{context_in} {
  this->tick();
}

gateway::~gateway() = default;

void gateway::apply(std::shared_ptr<const routing_snapshot> snapshot_in) {
  if (this->current != nullptr && snapshot_in->sequence <= this->current->sequence) {
    return;
  }
  this->current = std::move(snapshot_in);
  const auto now = this->clock.now();
  const auto before = std::vector{this->table.all()};
  this->table.apply(*this->current, now);
  this->table.assign_warmup(this->nodes.serving, this->nodes.staffed, this->options.self);
  for (const auto& backend : before) {
    if (!this->table.is_eligible(*backend, now) || this->table.find(backend->declared().id) == nullptr) {
      this->place_again(backend);
    }
  }
}

void gateway::set_nodes(gateway_nodes nodes_in) {
  this->nodes = std::move(nodes_in);
  this->table.assign_warmup(this->nodes.serving, this->nodes.staffed, this->options.self);
}

void gateway::handle(const std::shared_ptr<caller_exchange>& exchange) {
  this->counts.add(counter::requests);
  const auto& head = exchange->head();
  const auto id = find_field(head.fields, this->options.dialect.request_id).value_or("");
  const auto answer = [&](int status, reason why, header_fields fields) {
    fields.push_back({this->options.dialect.request_id, std::string{id}});
    exchange->respond(status, fields, "");
    this->counts.refused(why);
    log_line{log_level::warn, "request_refused"}
        .field("request", id)
        .field("status", status)
        .field("reason", to_word(why))
        .field("path", head.path())
        .field("config_version",
               this->current ? static_cast<std::int64_t>(this->current->version.count()) : 0);
  };
  if (this->current == nullptr || this->current->routes == nullptr) {
    answer(impl::status_unavailable, reason::no_settings,
           {{"Retry-After", std::string{impl::start_retry_after}}});
    return;
  }
  const auto host = find_field(head.fields, "Host");
  if (!host) {
    answer(impl::status_bad_request, reason::bad_request, {});
    return;
  }
  const auto* const rule = this->current->routes->find(*host, head.path());
  if (rule == nullptr) {
    answer(impl::status_not_found, reason::no_route, {});
    return;
  }
  if (this->body_bytes + exchange->body().size() > this->options.body_memory) {
    answer(impl::status_unavailable, reason::memory_short,
           {{"Retry-After", std::string{impl::start_retry_after}}});
    return;
  }
  this->body_bytes += exchange->body().size();
  const auto ticket = this->next_ticket++;
  const auto flow = std::make_shared<request_flow>(*this, ticket, exchange, this->current, *rule);
  this->flows.emplace(ticket, flow);
  flow->start();
}

backend_pool& gateway::pool_of(const backend_state& backend) {
  const auto& declared = backend.declared();
  auto& pool = this->pools[declared.id];
  if (pool == nullptr) {
    boost::system::error_code problem;
    const auto address = boost::asio::ip::make_address_v4(declared.address.ip, problem);
    pool = std::make_unique<backend_pool>(
        this->context, boost::asio::ip::tcp::endpoint{address, declared.address.port}, this->clock);
  }
  return *pool;
}

std::size_t gateway::connection_limit(const backend_state& backend) const {
  const auto* const service = this->table.service(backend.declared().service);
  const int all = service == nullptr ? 0 : service->max_connections;
  return std::max(static_cast<std::size_t>(std::max(all, 0)) / this->nodes.all, impl::least_connections);
}

void gateway::pump(const std::shared_ptr<backend_state>& backend) {
  const auto now = this->clock.now();
  while (!backend->queue.empty() && this->table.is_eligible(*backend, now) &&
         this->table.has_capacity(*backend, now)) {
    const auto next = backend->queue.pop();
    if (const auto flow = this->flows.find(next->ticket); flow != this->flows.end()) {
      const auto held = flow->second;
      held->send_waiting();
    }
  }
}

void gateway::review(const std::shared_ptr<backend_state>& backend) {
  std::vector<wait_ticket> tickets;
  while (const auto due = backend->queue.pop_for_reselection(this->clock.now())) {
    tickets.push_back(due->ticket);
  }
  this->place_again(tickets);
}

void gateway::place_again(const std::shared_ptr<backend_state>& backend) {
  std::vector<wait_ticket> tickets;
  while (const auto next = backend->queue.pop()) {
    tickets.push_back(next->ticket);
  }
  this->place_again(tickets);
}

void gateway::place_again(const std::vector<wait_ticket>& tickets) {
  for (const auto ticket : tickets) {
    if (const auto flow = this->flows.find(ticket); flow != this->flows.end()) {
      const auto held = flow->second;
      held->place_again();
    }
  }
}

void gateway::tick() {
  const auto now = this->clock.now();
  for (const auto& backend : this->table.all()) {
    if (!backend->queue.empty()) {
      this->pump(backend);
      this->review(backend);
    }
  }
  this->check_health();
  if (now - this->trimmed_at > impl::trim_period) {
    this->trimmed_at = now;
    this->trim_pools();
  }
  this->timer.expires_after(impl::tick_period);
  this->timer.async_wait([this](const boost::system::error_code& stopped) {
    if (!stopped) {
      this->tick();
    }
  });
}

void gateway::trim_pools() {
  for (auto pool = this->pools.begin(); pool != this->pools.end();) {
    pool->second->trim();
    const bool is_gone = this->table.find(pool->first) == nullptr;
    if (is_gone) {
      pool->second->close_idle();
    }
    pool = is_gone && pool->second->is_unused() ? this->pools.erase(pool) : std::next(pool);
  }
}

void gateway::check_health() {
  for (const auto& backend : this->table.due_for_health_check(this->clock.now())) {
    const auto* const service = this->table.service(backend->declared().service);
    auto& check = this->checks[backend->declared().id];
    if (service != nullptr && check == nullptr) {
      check = std::make_unique<health_check>(*this, backend, service->health_path);
    }
  }
}

duration gateway::longest_timeout() const noexcept {
  duration longest{0};
  if (this->current != nullptr && this->current->routes != nullptr) {
    for (const auto& rule : this->current->routes->all()) {
      longest = std::max(longest, rule.timeout);
    }
  }
  return longest;
}

std::vector<gauge> gateway::gauges() const {
  std::int64_t suspended = 0;
  std::int64_t waiting = 0;
  std::int64_t in_flight = 0;
  for (const auto& backend : this->table.all()) {
    suspended += backend->is_suspended() ? 1 : 0;
    waiting += static_cast<std::int64_t>(backend->queue.size());
    in_flight += backend->in_flight();
  }
  return {{"zinnia_requests_under_way", "", static_cast<std::int64_t>(this->flows.size())},
          {"zinnia_requests_waiting", "", waiting},
          {"zinnia_backend_requests", "", in_flight},
          {"zinnia_backends_suspended", "", suspended},
          {"zinnia_nodes_registered", "", static_cast<std::int64_t>(this->nodes.all)},
          {"zinnia_nodes_serving", "", static_cast<std::int64_t>(this->nodes.serving.size())},
          {"zinnia_log_lines_dropped", "", static_cast<std::int64_t>(dropped_log_lines())},
          {"zinnia_config_version", "",
           this->current ? static_cast<std::int64_t>(this->current->version.count()) : 0}};
}

}  // namespace zinnia
