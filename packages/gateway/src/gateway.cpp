// Request admission, connection pools, dispatch of queued requests and health checks.
#include "zinnia/gateway/gateway.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <string>

#include "health_check.hpp"
#include "hop_fields.hpp"
#include "peer_forwarding.hpp"
#include "request_flow.hpp"
#include "zinnia/core/rendezvous.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Interval at which queued requests are dispatched and due health checks are started.
constexpr std::chrono::milliseconds tick_period{25};
/// Interval in ms at which expired idle connections are closed.
constexpr duration pool_cleanup_period{1000};
/// The number of connections that a node may always have to a backend server, however many nodes there are.
constexpr std::size_t min_connections = 4;

}  // namespace
}  // namespace impl

gateway::gateway(boost::asio::io_context& context_in, const clock_source& clock_in, metrics& counts_in,
                 gateway_options options_in)
    : context{context_in},
      clock{clock_in},
      counts{counts_in},
      options{std::move(options_in)},
      backends{this->options.own_location, this->options.regions},
      records{this->options.fate_records},
      peers{std::make_unique<peer_forwarding>(context_in, clock_in, this->options.own_location)},
      tick_timer{context_in} {
  // Reports may come before the first snapshot.
  this->crashes.set_longest_term(placement_settings{}.crash_quarantine);
  this->backends.set_cold_limits(this->options.cold_limits);
  this->tick();
}

gateway::~gateway() = default;

void gateway::apply(std::shared_ptr<const routing_snapshot> snapshot_in) {
  if (this->current_snapshot != nullptr && snapshot_in->sequence <= this->current_snapshot->sequence) {
    return;
  }
  this->current_snapshot = std::move(snapshot_in);
  this->apply_account_limits();
  const auto now = this->clock.now();
  const auto previous_backends = std::vector{this->backends.all()};
  this->backends.apply(*this->current_snapshot, now);
  this->backends.set_nodes(this->nodes.serving, this->nodes.regions_with_nodes, this->options.self, now,
                           this->nodes.registered_serving);
  duration longest_quarantine{0};
  for (const auto& [id, service] : this->current_snapshot->services) {
    longest_quarantine = std::max(longest_quarantine, this->backends.settings_of(id).crash_quarantine);
  }
  this->crashes.set_longest_term(longest_quarantine);
  for (const auto& backend : previous_backends) {
    if (!this->backends.is_eligible(*backend, now) ||
        this->backends.find(backend->declared().id) == nullptr) {
      this->reassign_waiting(backend);
    }
  }
}

void gateway::set_nodes(gateway_nodes nodes_in) {
  this->nodes = std::move(nodes_in);
  this->backends.set_nodes(this->nodes.serving, this->nodes.regions_with_nodes, this->options.self,
                           this->clock.now(), this->nodes.registered_serving);
  this->peers->set_peers(this->nodes.forwarding_peers, this->nodes.registered_count);
}

void gateway::apply_notices(const std::vector<holder_notice>& notices) {
  this->backends.apply_notices(notices, this->clock.now());
}

void gateway::apply_crash_reports(const std::vector<crash_report>& reports) {
  for (const auto& report : reports) {
    this->crashes.apply(report, this->clock.now());
  }
  this->publish_crashes(false);
}

void gateway::publish_crashes(bool found_here) {
  const auto reports = this->crashes.take_reports();
  if (!reports.empty() && this->options.send_crash_reports) {
    this->options.send_crash_reports(reports);
  }
  for (const auto& [crash, judgement] : this->crashes.take_judgements()) {
    const auto crashed = this->backends.find_by_hash(crash.backend);
    log_line{log_level::info, "crash_judged"}
        .field("fingerprint", absl::StrCat(absl::Hex(crash.request.count(), absl::kZeroPad16)))
        .field("judgement", to_string(judgement))
        .field("level", crash.level)
        .field("crashes", crash.crashes)
        .field("crashed", crashed == nullptr ? "" : crashed->declared().id.str())
        .field("crashed_ms_ago", crash.age.ms)
        .field("first_ms_ago", crash.first_age.ms)
        .field("found_here", found_here ? 1 : 0);
  }
  for (const auto& change : this->crashes.take_quarantine_changes()) {
    const bool is_release = change.level == 0;
    const auto crashed = this->backends.find_by_hash(change.backend);
    log_line{log_level::warn, is_release ? "request_released" : "request_quarantined"}
        .field("fingerprint", absl::StrCat(absl::Hex(change.request.count(), absl::kZeroPad16)))
        .field("crashes", change.crashes)
        .field("last_crashed", crashed == nullptr ? "" : crashed->declared().id.str())
        .field("crashed_ms_ago", change.age.ms)
        .field("found_here", found_here ? 1 : 0);
    if (!is_release) {
      this->counts.add(counter::requests_quarantined);
      this->refuse_waiting(change.request);
    }
    if (found_here && this->options.on_quarantine_change) {
      this->options.on_quarantine_change(change);
    }
  }
}

void gateway::repeat_quarantine_changes() {
  if (!this->options.on_quarantine_change) {
    return;
  }
  for (const auto& state : this->crashes.quarantine_states(this->clock.now())) {
    const auto name = std::to_string(state.request.count());
    const auto writer = std::max_element(
        this->nodes.serving.begin(), this->nodes.serving.end(), [&name](const auto& a, const auto& b) {
          return rendezvous_weight(a.first.str(), name) < rendezvous_weight(b.first.str(), name);
        });
    if (writer != this->nodes.serving.end() && writer->first == this->options.self) {
      this->options.on_quarantine_change(state);
    }
  }
}

void gateway::refuse_waiting(request_fingerprint request) {
  std::vector<std::shared_ptr<request_flow>> waiting;
  for (const auto& [ticket, flow] : this->flows) {
    if (flow->is_waiting(request)) {
      waiting.push_back(flow);
    }
  }
  for (const auto& flow : waiting) {
    static_cast<void>(flow->refuse_if_quarantined());
  }
}

backend_pool* gateway::pool_for(const backend_state& backend) {
  const auto& declared = backend.declared();
  boost::system::error_code problem;
  const auto ip = boost::asio::ip::make_address_v4(declared.address.ip, problem);
  if (problem) {
    log_line{log_level::error, "backend_address_unreadable"}
        .field("backend", declared.id.str())
        .field("address", declared.address.str());
    return nullptr;
  }
  const boost::asio::ip::tcp::endpoint address{ip, declared.address.port};
  auto& pool = this->pools[declared.id];
  if (pool == nullptr) {
    pool = std::make_unique<backend_pool>(this->context, address, this->clock);
  } else if (pool->endpoint() != address) {
    log_line{log_level::info, "backend_address_changed"}
        .field("backend", declared.id.str())
        .field("address", declared.address.str());
    pool->set_endpoint(address);
  }
  return pool.get();
}

void gateway::release_connection(const backend_state& backend,
                                 std::shared_ptr<backend_connection> connection) {
  if (const auto pool = this->pools.find(backend.declared().id); pool != this->pools.end()) {
    pool->second->release(std::move(connection));
  }
}

std::size_t gateway::connection_limit(const backend_state& backend) const {
  const auto* const service = this->backends.service(backend.declared().service);
  const int shared_limit = service == nullptr ? 0 : service->max_connections;
  return std::max(static_cast<std::size_t>(std::max(shared_limit, 0)) / this->nodes.registered_count,
                  impl::min_connections);
}

void gateway::apply_statement(backend_state& sender, const backend_statement& statement) {
  const auto& id = sender.declared().id;
  const auto previous = sender.rate_limit();
  const bool was_leaving = sender.is_leaving();
  const bool was_busy = sender.is_busy(this->clock.now());
  sender.on_statement(statement, this->clock.now());
  const auto current = sender.rate_limit();
  if (current && current != previous) {
    log_line{log_level::info, "backend_limit_named"}
        .field("backend", id.str())
        .field("per_second", absl::StrCat(*current))
        .field("share_per_second", absl::StrCat(sender.rate_of_this_node()));
  } else if (previous && !current) {
    log_line{log_level::info, "backend_limit_ended"}.field("backend", id.str());
  }
  if (sender.is_leaving() && !was_leaving) {
    log_line{log_level::info, "backend_leaving"}.field("backend", id.str());
    this->note_withheld(sender);
  }
  if (statement.busy_for && !was_busy) {
    log_line{log_level::info, "backend_busy"}
        .field("backend", id.str())
        .field("busy_ms", statement.busy_for->ms);
    this->note_withheld(sender);
  }
}

void gateway::note_withheld(const backend_state& sender) {
  const auto& service = sender.declared().service;
  const auto& all = this->backends.all();
  const auto now = this->clock.now();
  const bool is_last = std::none_of(all.begin(), all.end(), [&](const auto& backend) {
    return backend->declared().service == service && this->backends.is_in_use(*backend, now);
  });
  if (is_last) {
    this->counts.add(counter::services_without_backend);
    log_line{log_level::warn, "service_without_backend"}
        .field("service", service.str())
        .field("backend", sender.declared().id.str());
  }
}

void gateway::dispatch_waiting(const std::shared_ptr<backend_state>& backend) {
  const auto now = this->clock.now();
  while (!this->links.is_lost(now) && !backend->queue.empty() && this->backends.is_eligible(*backend, now) &&
         this->backends.has_capacity(*backend, now)) {
    const auto next = backend->queue.pop();
    if (const auto flow = this->flows.find(next->ticket); flow != this->flows.end()) {
      const auto kept_alive = flow->second;
      kept_alive->send_waiting();
    }
  }
}

void gateway::reassign_overdue(const std::shared_ptr<backend_state>& backend) {
  std::vector<wait_ticket> tickets;
  while (const auto due = backend->queue.pop_for_reselection(this->clock.now())) {
    tickets.push_back(due->ticket);
  }
  this->reassign_waiting(tickets);
}

void gateway::reassign_waiting(const std::shared_ptr<backend_state>& backend) {
  std::vector<wait_ticket> tickets;
  while (const auto next = backend->queue.pop()) {
    tickets.push_back(next->ticket);
  }
  this->reassign_waiting(tickets);
}

void gateway::reassign_waiting(const std::vector<wait_ticket>& tickets) {
  for (const auto ticket : tickets) {
    if (const auto flow = this->flows.find(ticket); flow != this->flows.end()) {
      const auto kept_alive = flow->second;
      kept_alive->reassign();
    }
  }
}

void gateway::tick() {
  const auto now = this->clock.now();
  for (const auto& backend : this->backends.all()) {
    if (!backend->queue.empty() && !this->backends.is_in_use(*backend, now)) {
      this->reassign_waiting(backend);
    } else if (!backend->queue.empty()) {
      this->dispatch_waiting(backend);
      this->reassign_overdue(backend);
    }
  }
  this->update_links();
  this->resume_held_retries();
  this->forward_stranded_requests();
  this->start_health_checks();
  this->serve_waiting_for_tokens();
  this->send_account_asks();
  this->log_memory_shortage(now);
  auto notices = this->backends.take_notices();
  if (this->options.send_notices) {
    this->options.send_notices(std::move(notices));
  }
  const auto repeated = this->crashes.reports_to_repeat(this->options.max_repeated_reports, now);
  if (!repeated.empty() && this->options.repeat_crash_reports) {
    this->options.repeat_crash_reports(repeated);
  }
  if (now - this->pools_cleaned_at > impl::pool_cleanup_period) {
    this->pools_cleaned_at = now;
    this->clean_up_pools();
    this->peers->clean_up();
  }
  this->tick_timer.expires_after(impl::tick_period);
  this->tick_timer.async_wait([this](const boost::system::error_code& stopped) {
    if (!stopped) {
      this->tick();
    }
  });
}

void gateway::clean_up_pools() {
  for (auto pool = this->pools.begin(); pool != this->pools.end();) {
    pool->second->close_expired();
    const bool is_gone = this->backends.find(pool->first) == nullptr;
    if (is_gone) {
      pool->second->close_idle();
    }
    pool = is_gone && pool->second->is_unused() ? this->pools.erase(pool) : std::next(pool);
  }
}

void gateway::start_health_checks() {
  for (const auto& backend : this->backends.due_for_health_check(this->clock.now())) {
    static_cast<void>(this->start_health_check(backend));
  }
}

retry_limiter& gateway::retry_limiter_for(const service_id& service) {
  return this->retry_limiters.try_emplace(service, this->options.retries_counted_since).first->second;
}

bool gateway::try_consume_retry(const service_id& service) {
  const bool is_allowed = this->retry_limiter_for(service).try_consume(
      this->options.retry_budget, this->nodes.retry_sharers(), this->clock.now());
  this->counts.add(counter::retries_over_budget, is_allowed ? 0 : 1);
  return is_allowed;
}

duration gateway::max_route_timeout() const noexcept {
  duration longest{0};
  if (this->current_snapshot != nullptr && this->current_snapshot->routes != nullptr) {
    for (const auto& route : this->current_snapshot->routes->all()) {
      longest = std::max(longest, route.timeout);
    }
  }
  return longest;
}

std::vector<gauge> gateway::gauges() const {
  const auto now = this->clock.now();
  std::int64_t suspended = 0;
  std::int64_t busy = 0;
  std::int64_t leaving = 0;
  std::int64_t limited = 0;
  std::int64_t waiting = 0;
  std::int64_t in_flight = 0;
  for (const auto& backend : this->backends.all()) {
    suspended += backend->is_suspended() ? 1 : 0;
    busy += backend->is_busy(now) ? 1 : 0;
    leaving += backend->is_leaving() ? 1 : 0;
    limited += backend->rate_limit() ? 1 : 0;
    waiting += static_cast<std::int64_t>(backend->queue.size());
    in_flight += backend->in_flight();
  }
  std::vector<gauge> values{
      {"zinnia_requests_under_way", "", static_cast<std::int64_t>(this->flows.size())},
      {"zinnia_requests_waiting", "", waiting},
      {"zinnia_backend_requests", "", in_flight},
      {"zinnia_backends_suspended", "", suspended},
      {"zinnia_backends_busy", "", busy},
      {"zinnia_backends_leaving", "", leaving},
      {"zinnia_backends_limited", "", limited},
      {"zinnia_backends_suspected_crashed", "",
       static_cast<std::int64_t>(this->crashes.unconfirmed_count(now))},
      {"zinnia_requests_suspected", "", static_cast<std::int64_t>(this->crashes.count_from_level(1, now))},
      {"zinnia_requests_quarantined", "",
       static_cast<std::int64_t>(this->crashes.count_from_level(crash_ledger::quarantine_level, now))},
      {"zinnia_links_lost", "", this->links.is_lost(now) ? 1 : 0},
      {"zinnia_links_half_open", "", this->links.state() == link_condition::half_open ? 1 : 0},
      {"zinnia_nodes_registered", "", static_cast<std::int64_t>(this->nodes.registered_count)},
      {"zinnia_nodes_serving", "", static_cast<std::int64_t>(this->nodes.serving.size())},
      {"zinnia_log_lines_dropped", "", static_cast<std::int64_t>(dropped_log_lines())},
      {"zinnia_config_version", "",
       this->current_snapshot ? static_cast<std::int64_t>(this->current_snapshot->version.count()) : 0}};
  if (const auto* const memory = this->options.memory) {
    values.push_back({"zinnia_memory_used_bytes", "", static_cast<std::int64_t>(memory->used())});
    values.push_back({"zinnia_memory_limit_bytes", "", static_cast<std::int64_t>(memory->max_used())});
    values.push_back({"zinnia_memory_shortages", "", static_cast<std::int64_t>(memory->shortages())});
  }
  for (const auto& [service, limiter] : this->retry_limiters) {
    const auto used = limiter.usage(this->options.retry_budget, this->nodes.retry_sharers(), now);
    const auto labels = label("service", service.str());
    values.push_back({"zinnia_retry_window_requests", labels, used.requests});
    values.push_back({"zinnia_retry_window_retries", labels, used.retries});
    values.push_back({"zinnia_retry_tokens", labels, static_cast<std::int64_t>(used.available)});
  }
  return values;
}

}  // namespace zinnia
