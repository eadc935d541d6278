// Wiring of the traffic side: views in, exchanges from peers, probes and fate batches out.
#include "zinnia/traffic/traffic_node.hpp"

#include <nlohmann/json.hpp>
#include <thread>

#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr duration probe_limit{400};

/// Counts a request while it is in this node.
class open_count {
 public:
  explicit open_count(std::atomic<std::int64_t>& counter_in) : count{counter_in} { this->count.fetch_add(1); }
  open_count(const open_count&) = delete;
  open_count& operator=(const open_count&) = delete;
  open_count(open_count&&) = delete;
  open_count& operator=(open_count&&) = delete;
  ~open_count() { this->count.fetch_sub(1); }

 private:
  std::atomic<std::int64_t>& count;
};

[[nodiscard]] std::string local_ip_of(const std::string& peer_address) {
  return peer_address.substr(0, peer_address.rfind(':'));
}

}  // namespace
}  // namespace impl

traffic_node::traffic_node(traffic_options given, object_store& platform, const clock_source& time,
                           metrics& numbers)
    : options{std::move(given)},
      store{platform},
      clock{time},
      counts{numbers},
      slots{time, this->options.identity.region},
      keys{platform, time, numbers, this->options.identity.region, this->options.identity.incarnation.str()},
      peers{this->options.identity.id, impl::local_ip_of(this->options.identity.peer_address)},
      fate_records{this->options.identity.id, this->options.fate_records},
      context{this->options.identity.id,
              this->options.identity.region,
              time,
              numbers,
              this->slots,
              this->keys,
              this->backends,
              this->peers,
              this->fate_records,
              [this] { return this->view(); }},
      path{this->context},
      current{std::make_shared<const traffic_view>()} {}

std::shared_ptr<const traffic_view> traffic_node::view() const {
  const absl::MutexLock lock{&this->mutex};
  return this->current;
}

void traffic_node::apply(std::shared_ptr<const traffic_view> view) {
  this->slots.apply(*view);
  this->keys.apply(*view);
  std::shared_ptr<const entry_lookup> fresh;
  if (view->settings != nullptr && view->settings != this->view()->settings) {
    fresh = std::make_shared<const entry_lookup>(view->settings);
  }
  const absl::MutexLock lock{&this->mutex};
  this->current = std::move(view);
  if (fresh != nullptr) {
    this->lookup = std::move(fresh);
  }
}

bool traffic_node::is_idle(const holding_id& holding) const {
  const auto bucket = bucket_of(holding);
  if (bucket >= 0) {
    return this->keys.is_idle(bucket);
  }
  const auto& text = holding.str();
  const auto service_at = text.find('/') + 1;
  const auto upstream_at = text.rfind('/') + 1;
  return this->slots.is_idle(service_id{text.substr(service_at, upstream_at - service_at - 1)},
                             upstream_id{text.substr(upstream_at)});
}

std::int64_t traffic_node::in_flight(const share_key& key) const {
  return this->slots.in_flight(key);
}

std::vector<service_load> traffic_node::loads(time_point /*now*/) const {
  return this->slots.loads();
}

bool traffic_node::is_journal_behind() const {
  return this->keys.is_behind();
}

std::int64_t traffic_node::total_in_flight() const {
  return this->open_requests.load() + this->slots.total_in_use() + this->keys.in_flight();
}

exchange_answer traffic_node::on_exchange(exchange_request received, const std::function<bool()>& cancelled) {
  const impl::open_count open{this->open_requests};
  traffic_request request;
  request.id = std::move(received.id);
  request.service = std::move(received.service);
  request.method = std::move(received.method);
  request.path = std::move(received.path);
  request.key = std::move(received.key);
  request.headers = std::move(received.headers);
  request.body = std::move(received.body);
  request.deadline = this->clock.now() + received.deadline_left;
  request.origin_region = std::move(received.origin_region);
  request.from_elsewhere = received.from_elsewhere;
  request.may_queue = received.may_queue;
  request.cancelled = cancelled;
  const bool at_home = received.stage == exchange_stage::key_home;
  auto answer = this->path.run(request, at_home ? pipeline_stage::key_home : pipeline_stage::dispatch);
  answer.id = request.id;
  return answer;
}

void traffic_node::probe_backends() {
  std::set<upstream_id> held;
  for (const auto& upstream : this->slots.held()) {
    held.insert(upstream.id);
  }
  // Side by side, so that one silent backend server does not delay what is learned of the others.
  std::vector<std::thread> probes;
  for (const auto& upstream : held) {
    probes.emplace_back(
        [this, upstream] { this->slots.report(this->backends.probe(upstream, impl::probe_limit)); });
  }
  for (auto& probe : probes) {
    probe.join();
  }
}

void traffic_node::flush_fates() {
  const auto batch = this->fate_records.take_batch();
  if (!batch) {
    return;
  }
  const auto key = "fates/" + batch->node.str() + '/' + std::to_string(batch->to_unix_ms) + '-' +
                   std::to_string(batch->sequence);
  const auto reply = put_resolved(this->store, key, encode(*batch), object_version{});
  if (reply.ok()) {
    this->counts.add(counter::fate_batches);
    return;
  }
  this->counts.add(counter::store_failures);
  this->fate_records.return_batch(*batch);
}

}  // namespace zinnia
