// Registers the backend server in the store and handles its requests.
#include "backend.hpp"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace zinnia::soak {
namespace impl {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_misdirected_request = 421;
constexpr unsigned status_service_unavailable = 503;
constexpr int slot_count = 3;
constexpr int queue_capacity = 3;
constexpr std::chrono::milliseconds work_time{20};
constexpr std::chrono::milliseconds slow_work_time{400};

[[nodiscard]] std::string header_field(const standins::server_request& request, const std::string& name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string{} : found->second;
}

}  // namespace
}  // namespace impl

backend::backend(request_history& history_in, standins::platform_store& store_in, std::string name_in,
                 std::string failure_domain_in)
    : history{history_in},
      store{store_in},
      name{std::move(name_in)},
      failure_domain{std::move(failure_domain_in)},
      instance_id{this->name + "-0"},
      server{0, [this](const auto& request) { return this->handle(request); }} {}

void backend::register_at(std::uint16_t advertised_port_in) {
  const absl::MutexLock lock{&this->mutex};
  this->advertised_port = advertised_port_in;
  this->write_entry();
}

void backend::set_draining(bool draining_in) {
  const absl::MutexLock lock{&this->mutex};
  this->is_draining = draining_in;
  this->write_entry();
}

void backend::replace_instance() {
  const absl::MutexLock lock{&this->mutex};
  this->store.erase("servers", this->instance_id);
  this->instance_id = absl::StrCat(this->name, "-", ++this->generation);
  this->is_draining = false;
  this->write_entry();
}

void backend::write_entry() {
  this->store.put("servers", this->instance_id,
                  {{"service", "desk"},
                   {"address", absl::StrCat("127.0.0.1:", this->advertised_port)},
                   {"zone", this->failure_domain},
                   {"version", "v1"},
                   {"slots", impl::slot_count},
                   {"state", this->is_draining ? "draining" : "ready"},
                   {"coldRemainingMs", 0},
                   {"sequence", this->generation}});
}

std::string backend::load_report() const {
  return absl::StrCat(std::min(this->running_requests, impl::slot_count), ",",
                      std::max(this->running_requests - impl::slot_count, 0), ",", impl::slot_count);
}

standins::server_response backend::handle(const standins::server_request& request) {
  std::string own_instance;
  {
    const absl::MutexLock lock{&this->mutex};
    own_instance = this->instance_id;
    if (request.path == "/health") {
      return {this->is_draining ? impl::status_service_unavailable : impl::status_ok,
              {{"Instance-Id", own_instance}, {"Server-Load", this->load_report()}, {"Cold-Start-Ms", "0"}},
              "",
              false};
    }
    const auto expected_instance = impl::header_field(request, "expect-instance");
    const bool is_other_instance = !expected_instance.empty() && expected_instance != own_instance;
    if (is_other_instance || this->running_requests >= impl::slot_count + impl::queue_capacity) {
      return {is_other_instance ? impl::status_misdirected_request : impl::status_service_unavailable,
              {{"Not-Executed", "1"},
               {"Request-Id", impl::header_field(request, "request-id")},
               {"Server-Load", this->load_report()}},
              "",
              false};
    }
    ++this->running_requests;
  }
  const auto request_id = impl::header_field(request, "request-id");
  const auto stamp = this->history.on_execution(
      {request_id, request.method, request.path, request.body, true}, own_instance);
  std::this_thread::sleep_for(this->is_slow ? impl::slow_work_time : impl::work_time);
  const absl::MutexLock lock{&this->mutex};
  --this->running_requests;
  return {impl::status_ok,
          {{"Request-Id", request_id}, {"Server-Stamp", stamp}, {"Server-Load", this->load_report()}},
          expected_body(request_id),
          this->drops_responses.load()};
}

}  // namespace zinnia::soak
