// Starts the packages in order and stops them in reverse.
#include "daemon.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <csignal>
#include <iostream>
#include <random>
#include <thread>

#include "zinnia/control/control_loop.hpp"
#include "zinnia/observe/log.hpp"
#include "zinnia/store/http_object_store.hpp"
#include "zinnia/traffic/traffic_node.hpp"
#include "zinnia/wire/peer_listener.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr int exit_ok = 0;
constexpr int exit_no_port = 1;
constexpr int exit_stop_limit = 3;
constexpr duration stop_poll{50};

/// Calls a function on a thread of its own, again and again.
class repeater {
 public:
  repeater(duration period_in, std::function<void()> job_in)
      : period{period_in}, job{std::move(job_in)}, thread{[this] { this->run(); }} {}
  repeater(const repeater&) = delete;
  repeater& operator=(const repeater&) = delete;
  repeater(repeater&&) = delete;
  repeater& operator=(repeater&&) = delete;
  ~repeater() {
    {
      const absl::MutexLock lock{&this->mutex};
      this->stopping = true;
    }
    this->thread.join();
  }

 private:
  void run() {
    while (true) {
      {
        const absl::MutexLock lock{&this->mutex};
        this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::Milliseconds(this->period.ms));
        if (this->stopping) {
          return;
        }
      }
      this->job();
    }
  }

  duration period;
  std::function<void()> job;
  absl::Mutex mutex;
  bool stopping{false};
  std::thread thread;
};

[[nodiscard]] incarnation_id make_incarnation() {
  std::random_device source;
  return incarnation_id{std::to_string(unix_time_ms()) + '-' + std::to_string(source())};
}

[[nodiscard]] sigset_t stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// Waits for a signal or for a drain of this entry in the settings.
void wait_for_stop(const control_loop& control) {
  const auto signals = stop_signals();
  while (!control.is_drained()) {
    const timespec pause{0, stop_poll.ms * 1'000'000};
    if (sigtimedwait(&signals, nullptr, &pause) > 0) {
      return;
    }
  }
}

[[nodiscard]] bool wait_until_left(const control_loop& control, duration limit) {
  const boot_clock clock;
  const auto deadline = clock.now() + limit;
  while (!control.has_left() && clock.now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds{stop_poll.ms});
  }
  return control.has_left();
}

}  // namespace
}  // namespace impl

int run_daemon(const daemon_options& options) {
  const auto signals = impl::stop_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  start_logging(log_level_from_word(options.log_level), options.node);
  metrics counts;
  const boot_clock clock;
  http_object_store store{options.store_url, options.store_limit};

  // Handlers reach the traffic side through this pointer, as ports are known before it exists.
  std::atomic<traffic_node*> traffic_ready{nullptr};
  std::atomic<control_loop*> control_ready{nullptr};
  peer_handlers peers;
  peers.on_control = [&](const node_id& from, peer_message message) {
    if (auto* const control = control_ready.load()) {
      control->receive(from, std::move(message));
    }
  };
  peers.on_exchange = [&](exchange_request request, const std::function<bool()>& cancelled) {
    if (auto* const traffic = traffic_ready.load()) {
      return traffic->on_exchange(std::move(request), cancelled);
    }
    exchange_answer answer;
    answer.id = request.id;
    answer.why = reason::no_settings;
    return answer;
  };
  peers.on_refused = [&](const error& cause) {
    counts.add(cause.code == reason::frame_too_large ? counter::oversized_frames : counter::malformed_frames);
    log_line{log_level::warn, "peer_refused"}
        .field("reason", std::string{to_word(cause.code)})
        .field("detail", cause.describe());
  };
  // In optionals, so that both stop before what they call into.
  std::optional<peer_listener> listener;
  listener.emplace(options.peer, std::move(peers));
  if (!listener->is_listening()) {
    std::cerr << "zinniad: listen-peer: cannot listen on " << options.peer.str() << '\n';
    return impl::exit_no_port;
  }

  traffic_options traffic_settings;
  auto& self = traffic_settings.identity;
  self.id = node_id{options.node};
  self.region = region_id{options.region};
  self.domain = failure_domain_id{options.domain};
  self.incarnation = impl::make_incarnation();
  self.peer_address = options.advertised_peer.empty()
                          ? socket_address{options.peer.ip, listener->port()}.str()
                          : options.advertised_peer;
  traffic_settings.fate_records = options.fate_records;
  traffic_settings.limits = options.limits;
  // The caller port must be known before the node tells others of it.
  std::atomic<bool> serving{false};
  frontend_handlers forwarders;
  std::optional<frontend_handlers> inner;
  const auto starting = [] {
    return http_response{503, {}, "{\"verdict\":\"did-not-run\",\"reason\":\"no-settings\"}\n"};
  };
  forwarders.quick = [&](const http_request& request) {
    return serving ? inner->quick(request) : std::optional<http_response>{starting()};
  };
  forwarders.slow = [&](http_request& request) { return inner->slow(request); };
  forwarders.refuse = [&](const http_request& request, reason why) {
    return serving ? inner->refuse(request, why) : starting();
  };
  std::optional<http_frontend> frontend;
  frontend.emplace(options.caller, options.limits, std::move(forwarders), counts);
  if (!frontend->is_listening()) {
    std::cerr << "zinniad: listen-caller: cannot listen on " << options.caller.str() << '\n';
    return impl::exit_no_port;
  }
  self.caller_address = socket_address{options.caller.ip, frontend->port()}.str();

  traffic_node traffic{traffic_settings, store, clock, counts};
  inner = traffic.make_handlers();
  traffic_ready = &traffic;
  serving = true;
  control_loop control{
      self,
      options.lease,
      traffic,
      store,
      clock,
      counts,
      [&traffic](std::shared_ptr<const traffic_view> view) { traffic.apply(std::move(view)); }};
  control_ready = &control;
  log_line{log_level::info, "started"}.field("caller", self.caller_address).field("peer", self.peer_address);
  std::cout << "listening caller=" << self.caller_address << " peer=" << self.peer_address << std::endl;

  bool graceful = false;
  {
    const impl::repeater prober{options.probe_period, [&traffic] { traffic.probe_backends(); }};
    const impl::repeater fates{options.fate_period, [&traffic] { traffic.flush_fates(); }};
    impl::wait_for_stop(control);
    log_line{log_level::info, "leaving"}.field("in_flight", traffic.total_in_flight());
    control.begin_leaving();
    graceful = impl::wait_until_left(control, options.stop_limit);
  }
  traffic.flush_fates();
  log_line{log_level::info, "stopped"}.field("graceful", graceful ? "yes" : "no");
  const bool nothing_cut = graceful || traffic.total_in_flight() == 0;
  frontend.reset();
  listener.reset();
  return nothing_cut ? impl::exit_ok : impl::exit_stop_limit;
}

}  // namespace zinnia
