// Wiring of listeners, gateway and control thread, and the order of a stop.
#include "zinnia/node/entry_node.hpp"

#include <absl/strings/str_cat.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include "change_desk.hpp"
#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/http_listener.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/node/operator_interface.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr int exit_no_port = 1;
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

/// Descriptors kept for files, backend servers and the store.
constexpr std::size_t reserved_descriptors = 1200;
/// Connections to the addresses of readiness and operators.
constexpr std::size_t service_connections = 200;
/// Connections to the directory's address.
constexpr std::size_t directory_connections = 800;
/// Time before the process would be killed at which it ends by itself.
constexpr duration stop_margin{700};
/// Time for the last answers to reach their callers before the process ends; a long link's round trip.
constexpr duration last_answer_time{200};
/// A stop may end early once callers have forgotten this node and no connection is left.
constexpr duration least_stop_time{2600};
constexpr std::chrono::milliseconds stop_poll{50};

[[nodiscard]] boost::asio::ip::tcp::endpoint to_endpoint(const ip_endpoint& address) {
  return {boost::asio::ip::make_address_v4(address.ip), address.port};
}

[[nodiscard]] std::size_t most_callers(const node_settings& settings) {
  return settings.most_descriptors - std::min(settings.most_descriptors / 2, reserved_descriptors);
}

[[nodiscard]] incarnation_id make_incarnation() {
  std::random_device source;
  return incarnation_id{absl::StrCat(unix_time_ms(), "-", source())};
}

/// Everything of one process, in the order of construction.
class node {
 public:
  node(const deployment& outside_in, const node_settings& settings_in,
       std::shared_ptr<const settings_tree> tree_in);
  [[nodiscard]] int run();

 private:
  [[nodiscard]] gateway_options options() const;
  [[nodiscard]] control_events events();
  [[nodiscard]] member self() const;
  [[nodiscard]] bool listen();
  void answer_directory(const std::shared_ptr<caller_exchange>& exchange);
  void answer_readiness(const std::shared_ptr<caller_exchange>& exchange);
  /// How long callers may keep an answer of the directory.
  [[nodiscard]] duration answer_life() const;
  void wait_for_signal();
  void begin_stop();
  void continue_stop();

  const deployment& outside;
  node_settings settings;
  std::shared_ptr<const settings_tree> tree;
  boot_clock clock;
  metrics counts;
  boost::asio::io_context context{1};
  gateway traffic;
  http_listener callers;
  http_listener readiness;
  http_listener directory;
  http_listener operators;
  http_listener peers;
  boost::asio::signal_set signals;
  boost::asio::steady_timer stop_timer;
  live_members alive;
  std::vector<shift_progress> progress;
  bool stopping{false};
  time_point stop_began;
  bool reading_stopped{false};
  time_point reading_stopped_at;
  std::unique_ptr<control_thread> control;
  // Reads the control thread's board.
  std::unique_ptr<change_desk> desk;
};

node::node(const deployment& outside_in, const node_settings& settings_in,
           std::shared_ptr<const settings_tree> tree_in)
    : outside{outside_in},
      settings{settings_in},
      tree{std::move(tree_in)},
      traffic{this->context, this->clock, this->counts, this->options()},
      callers{this->context, this->clock, impl::most_callers(settings_in),
              [this](const auto& exchange) { this->traffic.handle(exchange); }},
      readiness{this->context, this->clock, service_connections,
                [this](const auto& exchange) { this->answer_readiness(exchange); }},
      directory{this->context, this->clock, directory_connections,
                [this](const auto& exchange) { this->answer_directory(exchange); }},
      operators{this->context, this->clock, service_connections,
                [this](const auto& exchange) {
                  answer_operator(*exchange, {this->traffic, this->counts, this->alive, this->progress});
                }},
      peers{this->context, this->clock, service_connections,
            [this](const auto& exchange) { this->desk->handle(exchange); }},
      signals{this->context, SIGTERM, SIGINT, SIGHUP},
      stop_timer{this->context} {}

gateway_options node::options() const {
  gateway_options chosen;
  chosen.self = this->settings.node;
  chosen.here = this->settings.here;
  chosen.regions = this->settings.regions;
  chosen.dialect = this->outside.dialect();
  chosen.retry_budget = this->settings.retry_budget;
  chosen.fate_records = this->settings.fate_records;
  return chosen;
}

member node::self() const {
  member own;
  own.id = this->settings.node;
  own.where = this->settings.here;
  own.caller_address = this->settings.callers.str();
  own.operator_address = this->settings.operators.str();
  own.peer_address = {this->settings.ip, this->settings.peer_port};
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
    boost::asio::post(this->context, [this, limits] { this->callers.set_limits(limits); });
  };
  handlers.on_nodes = [this](const known_nodes& nodes) {
    boost::asio::post(this->context, [this, nodes] {
      this->alive = nodes.alive;
      std::map<node_id, location> serving;
      for (const auto& [id, known] : this->alive) {
        if (known.serves) {
          serving.emplace(id, known.where);
        }
      }
      if (!this->alive.contains(this->settings.node)) {
        // Not ready or leaving; what it has read it still serves.
        serving.emplace(this->settings.node, this->settings.here);
      }
      this->traffic.set_nodes({std::move(serving), nodes.staffed, nodes.registered});
    });
  };
  handlers.on_board = [this] { boost::asio::post(this->context, [this] { this->desk->look(); }); };
  handlers.on_progress = [this](const std::vector<shift_progress>& shifts) {
    boost::asio::post(this->context, [this, shifts] { this->progress = shifts; });
  };
  return handlers;
}

bool node::listen() {
  const auto start = [](http_listener& listener, const ip_endpoint& address) {
    const auto started = listener.listen(to_endpoint(address));
    if (!started) {
      std::cerr << "zinniad: " << started.last_error().describe() << '\n';
    }
    return static_cast<bool>(started);
  };
  return start(this->callers, this->settings.callers) && start(this->readiness, this->settings.readiness) &&
         start(this->directory, this->settings.directory) &&
         start(this->operators, this->settings.operators) &&
         start(this->peers, {this->settings.ip, this->settings.peer_port});
}

int node::run() {
  std::signal(SIGPIPE, SIG_IGN);
  if (!this->listen()) {
    return exit_no_port;
  }
  this->wait_for_signal();
  this->control = std::make_unique<control_thread>(this->outside, this->settings, this->tree, this->self(),
                                                   this->counts, this->events());
  this->desk = std::make_unique<change_desk>(this->context, this->clock, this->control->board());
  log_line{log_level::info, "started"}
      .field("callers", this->settings.callers.str())
      .field("domain", this->settings.here.domain.str())
      .field("region", this->settings.here.region.str());
  this->context.run();
  this->desk.reset();
  this->control.reset();
  log_line{log_level::info, "stopped"}.field("requests_under_way",
                                             static_cast<std::int64_t>(this->traffic.requests_under_way()));
  flush_log();
  return 0;
}

void node::answer_readiness(const std::shared_ptr<caller_exchange>& exchange) {
  const bool is_ready = !this->stopping && this->control != nullptr && this->control->is_ready();
  exchange->respond(is_ready ? status_ok : status_unavailable, {}, "");
}

void node::answer_directory(const std::shared_ptr<caller_exchange>& exchange) {
  const auto caller = this->outside.directory_question(exchange->head());
  if (!caller) {
    exchange->respond(status_not_found, {}, "");
    return;
  }
  this->counts.add(counter::lookups);
  const auto addresses = addresses_for(this->alive, *caller);
  if (addresses.empty()) {
    exchange->respond(status_unavailable, {}, "");
    return;
  }
  const auto life = std::min(this->answer_life(), this->settings.longest_answer_life);
  exchange->respond(status_ok, {{"Content-Type", "application/json"}},
                    this->outside.directory_answer(addresses, life));
}

duration node::answer_life() const {
  const auto* const snapshot = this->traffic.snapshot();
  const auto& tree_now = snapshot != nullptr && snapshot->tree != nullptr ? *snapshot->tree : *this->tree;
  return {tree_now.effective({}, this->settings.here.region, this->settings.here.domain)
              .values.lookup_lifetime_ms};
}

void node::wait_for_signal() {
  this->signals.async_wait([this](const boost::system::error_code& problem, int signal) {
    if (problem) {
      return;
    }
    if (signal == SIGHUP) {
      this->control->reload_settings();
    } else if (!this->stopping) {
      this->begin_stop();
    }
    this->wait_for_signal();
  });
}

void node::begin_stop() {
  this->stopping = true;
  this->stop_began = this->clock.now();
  log_line{log_level::info, "stopping"}
      .field("requests_under_way", static_cast<std::int64_t>(this->traffic.requests_under_way()))
      .field("connections", static_cast<std::int64_t>(this->callers.open_connections()));
  this->control->begin_leaving();
  this->callers.drain();
  this->continue_stop();
}

void node::continue_stop() {
  const auto elapsed = this->clock.now() - this->stop_began;
  const auto limit = this->settings.stop_limit - stop_margin;
  const bool forgotten = elapsed > least_stop_time && this->callers.open_connections() == 0;
  // What is read must be answered before the limit, however long its route lets it take.
  const auto last_read = std::max(limit - this->traffic.longest_timeout(), least_stop_time);
  if (!this->reading_stopped && (forgotten || elapsed > last_read)) {
    this->reading_stopped = true;
    this->callers.stop_reading();
    this->reading_stopped_at = this->clock.now();
  }
  const bool nothing_left = this->reading_stopped && this->traffic.requests_under_way() == 0 &&
                            !this->callers.has_work() &&
                            this->clock.now() - this->reading_stopped_at > last_answer_time;
  if (elapsed > limit || nothing_left) {
    this->context.stop();
    return;
  }
  this->stop_timer.expires_after(stop_poll);
  this->stop_timer.async_wait([this](const boost::system::error_code& problem) {
    if (!problem) {
      this->continue_stop();
    }
  });
}

}  // namespace
}  // namespace impl

int run_entry_node(const deployment& outside, const node_settings& settings,
                   std::shared_ptr<const settings_tree> tree) {
  start_logging(log_level_from_word(settings.log_level), settings.node.str());
  const int code = impl::node{outside, settings, std::move(tree)}.run();
  // Ends without static destructors: that of log4cplus waits for the threads of a pool that is not used.
  std::quick_exit(code);
}

result<std::shared_ptr<const settings_tree>> read_tree(const std::string& file_name) {
  if (file_name.empty()) {
    return std::make_shared<const settings_tree>();
  }
  std::ifstream file{file_name};
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return error{reason::invalid_setting, "tree: cannot be read; allowed: a readable file", file_name};
  }
  settings_document document;
  document.tree_text = text.str();
  auto parsed = settings_tree::parse(document, file_name);
  if (!parsed) {
    return parsed.last_error();
  }
  return std::make_shared<const settings_tree>(std::move(parsed).value());
}

}  // namespace zinnia
