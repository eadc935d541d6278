// Connects listeners, gateway and control thread, and implements the graceful stop.
#include "zinnia/node/entry_node.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <random>

#include "change_relay_server.hpp"
#include "listener_limits.hpp"
#include "notice_exchange.hpp"
#include "stop_schedule.hpp"
#include "zinnia/gateway/forwarding_limits.hpp"
#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/http_listener.hpp"
#include "zinnia/membership/notice_peers.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/node/operator_interface.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr int exit_listen_failed = 1;
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

constexpr std::chrono::milliseconds stop_check_period{50};
constexpr std::array<int, 3> handled_signals{SIGTERM, SIGINT, SIGHUP};

[[nodiscard]] boost::asio::ip::tcp::endpoint to_endpoint(const ip_endpoint& address) {
  return {boost::asio::ip::make_address_v4(address.ip), address.port};
}

/// Blocks the signals that a node handles, or lets them come.
void mask_signals(int how) noexcept {
  sigset_t handled;
  sigemptyset(&handled);
  for (const int number : handled_signals) {
    sigaddset(&handled, number);
  }
  pthread_sigmask(how, &handled, nullptr);
}

[[nodiscard]] incarnation_id make_incarnation() {
  std::random_device source;
  return incarnation_id{absl::StrCat(unix_time_ms(), "-", source())};
}

/// All parts of one process. Members are declared in the order of construction.
class node {
 public:
  node(const deployment& adapter_in, const node_settings& settings_in,
       std::shared_ptr<const settings_tree> tree_in);
  [[nodiscard]] int run();

 private:
  [[nodiscard]] gateway_options options();
  [[nodiscard]] control_events events();
  [[nodiscard]] member self() const;
  [[nodiscard]] bool listen();
  [[nodiscard]] connection_counts connections() const;
  /// Returns the nodes that serve requests of this one while it cannot reach the backend servers.
  [[nodiscard]] std::vector<forwarding_peer> forwarding_peers() const;
  void respond_to_directory_query(const std::shared_ptr<caller_exchange>& exchange);
  void respond_to_readiness_check(const std::shared_ptr<caller_exchange>& exchange);
  /// How long callers may cache a directory response, from the current settings tree.
  [[nodiscard]] duration lookup_lifetime() const;
  void wait_for_signal();
  void begin_stop();
  void continue_stop();
  /// Ends reading once it is time, and refuses what has not arrived whole when all must be answered.
  void limit_reading(time_point now);

  const deployment& adapter;
  node_settings settings;
  std::shared_ptr<const settings_tree> tree;
  boot_clock clock;
  metrics counts;
  // Outlives what the context keeps.
  memory_budget memory;
  connection_quota quota;
  boost::asio::io_context context{1};
  notice_exchange notices;
  gateway traffic;
  http_listener callers;
  http_listener readiness;
  http_listener directory;
  http_listener operators;
  http_listener peers;
  http_listener forwarded;
  // The bound port for forwarded requests; 0 without one.
  std::uint16_t forward_port{0};
  boost::asio::signal_set signals;
  boost::asio::steady_timer stop_timer;
  live_members alive;
  std::vector<shift_progress> progress;
  // Set once the node is stopping.
  std::optional<stop_schedule> stop;
  // Set once no more requests are read.
  std::optional<time_point> reading_stopped_at;
  std::unique_ptr<control_thread> control;
  // Reads the relayed changes of `control`, so it is destroyed first.
  std::unique_ptr<change_relay_server> relay_server;
};

node::node(const deployment& adapter_in, const node_settings& settings_in,
           std::shared_ptr<const settings_tree> tree_in)
    : adapter{adapter_in},
      settings{settings_in},
      tree{std::move(tree_in)},
      memory{request_memory_limit(settings_in), this->clock},
      quota{max_accepted_connections(settings_in)},
      notices{this->context, ip_endpoint{settings_in.ip, settings_in.notice_port}, this->counts,
              [this](const auto& received) {
                this->traffic.apply_notices(received.holders);
                this->traffic.apply_crash_reports(received.crashes);
                this->traffic.apply_account_messages(received.accounts, received.sender);
              }},
      traffic{this->context, this->clock, this->counts, this->options()},
      callers{this->context, this->clock, max_accepted_connections(settings_in),
              [this](const auto& exchange) { this->traffic.handle(exchange); }},
      readiness{this->context, this->clock, max_internal_connections,
                [this](const auto& exchange) { this->respond_to_readiness_check(exchange); }},
      directory{this->context, this->clock, max_directory_connections,
                [this](const auto& exchange) { this->respond_to_directory_query(exchange); }},
      operators{this->context, this->clock, max_internal_connections,
                [this](const auto& exchange) {
                  respond_to_operator(*exchange, {this->traffic, this->counts, this->alive, this->progress,
                                                  this->connections()});
                }},
      peers{this->context, this->clock, max_internal_connections,
            [this](const auto& exchange) { this->relay_server->handle(exchange); }},
      forwarded{this->context, this->clock, max_forwarding_connections,
                [this](const auto& exchange) { this->traffic.handle_forwarded(exchange); }},
      signals{this->context, handled_signals[0], handled_signals[1], handled_signals[2]},
      stop_timer{this->context} {
  share_limits(
      {this->callers, this->readiness, this->directory, this->operators, this->peers, this->forwarded},
      this->settings, this->memory, this->quota);
  const auto refusal = [this](const request_head& head, time_point started) {
    return this->traffic.refusal_by_head(head, started);
  };
  this->callers.set_partial_request_handler(
      {refusal, [this](const auto& exchange, reason why) { this->traffic.refuse_partial(exchange, why); }});
  this->forwarded.set_partial_request_handler({refusal, [this](const auto& exchange, reason why) {
                                                 this->traffic.refuse_partial_forwarded(exchange, why);
                                               }});
}

gateway_options node::options() {
  gateway_options chosen;
  chosen.self = this->settings.node;
  chosen.own_location = this->settings.own_location;
  chosen.regions = this->settings.regions;
  chosen.field_names = this->adapter.field_names();
  chosen.retry_budget = this->settings.retry_budget;
  chosen.retries_counted_since = this->clock.now();
  chosen.memory = &this->memory;
  chosen.fate_records = this->settings.fate_records;
  chosen.send_notices = [this](std::vector<holder_notice> sent) {
    this->notices.offer(std::move(sent), this->clock.now());
  };
  chosen.send_crash_reports = [this](const auto& reports) { this->notices.send(reports); };
  chosen.repeat_crash_reports = [this](const auto& reports) { this->notices.repeat(reports); };
  chosen.on_quarantine_change = [this](const auto& change) { this->control->save_quarantine(change); };
  chosen.on_links_change = [this](bool reaches) { this->control->set_reaches_backends(reaches); };
  chosen.max_repeated_reports = max_notices_per_datagram;
  chosen.revocation_limit = this->settings.revocation_limit;
  chosen.send_account_messages = [this](const auto& to, const auto& sent) { this->notices.send(to, sent); };
  chosen.account_limits = this->settings.account_limits;
  chosen.cold_limits = this->settings.cold_limits;
  return chosen;
}

member node::self() const {
  member own;
  own.id = this->settings.node;
  own.where = this->settings.own_location;
  own.caller_address = this->settings.caller_endpoint.str();
  own.operator_address = this->settings.operator_endpoint.str();
  own.peer_address = {this->settings.ip, this->settings.peer_port};
  own.notice_port = this->notices.port();
  own.forward_port = this->forward_port;
  own.incarnation = make_incarnation();
  own.capacity = this->settings.capacity;
  return own;
}

control_events node::events() {
  control_events handlers;
  handlers.on_snapshot = [this](const std::shared_ptr<const routing_snapshot>& snapshot) {
    boost::asio::post(this->context, [this, snapshot] { this->traffic.apply(snapshot); });
  };
  handlers.on_limits = [this](const caller_limits& limits) {
    boost::asio::post(this->context, [this, limits] {
      this->callers.set_limits(limits);
      auto hop_limits = limits;
      hop_limits.max_header_bytes += max_hop_field_bytes;
      this->forwarded.set_limits(hop_limits);
    });
  };
  handlers.on_nodes = [this](const membership_view& nodes) {
    boost::asio::post(this->context, [this, nodes] {
      this->alive = nodes.alive;
      this->notices.set_peers(holder_notice_peers(this->alive, this->settings.node), nodes.report_peers);
      std::map<node_id, location> serving;
      for (const auto& [id, known] : this->alive) {
        if (known.serves) {
          serving.emplace(id, known.where);
        }
      }
      if (!this->alive.contains(this->settings.node)) {
        // This node is not ready or is leaving; it still serves the requests that it has read.
        serving.emplace(this->settings.node, this->settings.own_location);
      }
      this->traffic.set_limit_holders(nodes.holders);
      this->traffic.set_nodes({std::move(serving), nodes.regions_with_nodes, nodes.registered_count,
                               this->forwarding_peers(), nodes.holders.all.size(), nodes.is_list_complete});
    });
  };
  handlers.on_relay_update = [this] {
    boost::asio::post(this->context, [this] { this->relay_server->respond_to_held_requests(); });
  };
  handlers.on_stored_quarantines = [this](const std::vector<crash_report>& stored) {
    boost::asio::post(this->context, [this, stored] { this->traffic.apply_crash_reports(stored); });
  };
  handlers.on_store_restored = [this] {
    boost::asio::post(this->context, [this] { this->traffic.repeat_quarantine_changes(); });
  };
  handlers.on_confirmation = [this](config_version version, time_point until) {
    boost::asio::post(this->context,
                      [this, version, until] { this->traffic.set_confirmation(version, until); });
  };
  handlers.on_shift_progress = [this](const std::vector<shift_progress>& shifts) {
    boost::asio::post(this->context, [this, shifts] { this->progress = shifts; });
  };
  return handlers;
}

std::vector<forwarding_peer> node::forwarding_peers() const {
  std::vector<forwarding_peer> chosen;
  for (const auto& [id, known] : this->alive) {
    if (id != this->settings.node && known.reaches_backends && known.forward_port != 0) {
      chosen.push_back({id, known.where, {known.peer_address.ip, known.forward_port}});
    }
  }
  return chosen;
}

bool node::listen() {
  const auto start = [](http_listener& listener, const ip_endpoint& address) {
    const auto started = listener.listen(to_endpoint(address));
    if (!started) {
      std::cerr << "zinniad: " << started.last_error().describe() << '\n';
    }
    return started ? *started : std::uint16_t{0};
  };
  const bool is_listening = start(this->callers, this->settings.caller_endpoint) != 0 &&
                            start(this->readiness, this->settings.readiness_endpoint) != 0 &&
                            start(this->directory, this->settings.directory_endpoint) != 0 &&
                            start(this->operators, this->settings.operator_endpoint) != 0 &&
                            start(this->peers, {this->settings.ip, this->settings.peer_port}) != 0;
  if (is_listening && this->settings.forward_port) {
    // After the fixed ports, as the system may choose any that is free. A node without it only gets no
    // forwarded requests.
    this->forward_port = start(this->forwarded, {this->settings.ip, *this->settings.forward_port});
  }
  return is_listening;
}

connection_counts node::connections() const {
  connection_counts sum;
  for (const auto* const listener : {&this->callers, &this->readiness, &this->directory, &this->operators,
                                     &this->peers, &this->forwarded}) {
    sum.open += listener->open_connections();
    sum.evicted += listener->evicted_connections();
  }
  return sum;
}

int node::run() {
  std::signal(SIGPIPE, SIG_IGN);
  if (!this->listen()) {
    return exit_listen_failed;
  }
  this->wait_for_signal();
  mask_signals(SIG_UNBLOCK);
  gateway_nodes unknown;
  unknown.is_list_complete = false;
  this->traffic.set_nodes(std::move(unknown));
  this->control = std::make_unique<control_thread>(this->adapter, this->settings, this->tree, this->self(),
                                                   this->counts, this->events());
  this->relay_server =
      std::make_unique<change_relay_server>(this->context, this->clock, this->control->relayed_changes());
  log_line{log_level::info, "started"}
      .field("callers", this->settings.caller_endpoint.str())
      .field("domain", this->settings.own_location.domain.str())
      .field("region", this->settings.own_location.region.str());
  this->context.run();
  this->relay_server.reset();
  this->control.reset();
  // The handlers go with this object; a signal that comes later must not end the process.
  mask_signals(SIG_BLOCK);
  log_line{log_level::info, "stopped"}.field("requests_under_way",
                                             static_cast<std::int64_t>(this->traffic.requests_in_flight()));
  flush_log();
  return 0;
}

void node::respond_to_readiness_check(const std::shared_ptr<caller_exchange>& exchange) {
  const bool is_ready = !this->stop && this->control != nullptr && this->control->is_ready();
  exchange->respond(is_ready ? status_ok : status_unavailable, {}, "");
}

void node::respond_to_directory_query(const std::shared_ptr<caller_exchange>& exchange) {
  const auto caller = this->adapter.parse_directory_query(exchange->head());
  if (!caller) {
    exchange->respond(status_not_found, {}, "");
    return;
  }
  this->counts.add(counter::lookups);
  const auto addresses = advertised_addresses(this->alive, *caller);
  if (addresses.empty()) {
    exchange->respond(status_unavailable, {}, "");
    return;
  }
  const auto lifetime = std::min(this->lookup_lifetime(), this->settings.max_lookup_lifetime);
  exchange->respond(status_ok, {{"Content-Type", "application/json"}},
                    this->adapter.format_directory_response(addresses, lifetime));
}

duration node::lookup_lifetime() const {
  const auto* const snapshot = this->traffic.snapshot();
  const auto& current_tree = snapshot != nullptr && snapshot->tree != nullptr ? *snapshot->tree : *this->tree;
  return {current_tree.effective({}, this->settings.own_location.region, this->settings.own_location.domain)
              .values.lookup_lifetime_ms};
}

void node::wait_for_signal() {
  this->signals.async_wait([this](const boost::system::error_code& problem, int signal) {
    if (problem) {
      return;
    }
    if (signal == SIGHUP) {
      this->control->reload_settings();
    } else if (!this->stop) {
      this->begin_stop();
    }
    this->wait_for_signal();
  });
}

void node::begin_stop() {
  this->stop.emplace(this->clock.now(), this->settings.stop_limit);
  log_line{log_level::info, "stopping"}
      .field("requests_under_way", static_cast<std::int64_t>(this->traffic.requests_in_flight()))
      .field("connections", static_cast<std::int64_t>(this->callers.open_connections()));
  this->control->begin_leaving();
  this->callers.drain();
  this->forwarded.drain();
  this->traffic.begin_stop(this->stop->answer_by());
  this->callers.recheck_partial_requests();
  this->forwarded.recheck_partial_requests();
  this->continue_stop();
}

void node::limit_reading(time_point now) {
  const bool is_idle = now > this->stop->read_at_least_until() && this->callers.open_connections() == 0;
  const bool is_late = now > this->stop->read_until(this->traffic.max_route_timeout());
  if (!this->reading_stopped_at && (is_idle || is_late)) {
    this->callers.stop_reading();
    this->forwarded.stop_reading();
    this->reading_stopped_at = now;
    log_line{log_level::info, "reading_stopped"}
        .field("requests_under_way", static_cast<std::int64_t>(this->traffic.requests_in_flight()))
        .field("arriving", static_cast<std::int64_t>(this->callers.arriving_requests() +
                                                     this->forwarded.arriving_requests()));
  }
  if (now > this->stop->answer_by()) {
    this->callers.refuse_partial_requests(reason::node_stopping);
    this->forwarded.refuse_partial_requests(reason::node_stopping);
  }
}

void node::continue_stop() {
  const auto now = this->clock.now();
  this->limit_reading(now);
  const bool is_finished = this->reading_stopped_at && this->traffic.requests_in_flight() == 0 &&
                           !this->callers.has_requests_in_flight() &&
                           !this->forwarded.has_requests_in_flight() &&
                           now - *this->reading_stopped_at > stop_schedule::max_flush_time;
  if (now > this->stop->end_by() || is_finished) {
    this->context.stop();
    return;
  }
  this->stop_timer.expires_after(stop_check_period);
  this->stop_timer.async_wait([this](const boost::system::error_code& problem) {
    if (!problem) {
      this->continue_stop();
    }
  });
}

}  // namespace
}  // namespace impl

void hold_signals() noexcept {
  impl::mask_signals(SIG_BLOCK);
}

int run_entry_node(const deployment& adapter, const node_settings& settings,
                   std::shared_ptr<const settings_tree> tree) {
  start_logging(parse_log_level(settings.log_level), settings.node.str());
  const int code = impl::node{adapter, settings, std::move(tree)}.run();
  // Skips static destructors: the destructor of log4cplus waits for the threads of a pool that is not used.
  std::quick_exit(code);
}

}  // namespace zinnia
