// Registration and requests.
#include "backend.hpp"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace zinnia::soak {
namespace impl {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unavailable = 503;
constexpr int slots = 3;
constexpr int queue = 3;
constexpr std::chrono::milliseconds work{20};
constexpr std::chrono::milliseconds slow_work{400};

[[nodiscard]] std::string header(const standins::server_request& request, const std::string& name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string{} : found->second;
}

}  // namespace
}  // namespace impl

backend::backend(ledger& book_in, standins::platform_store& store_in, std::string name_in,
                 std::string domain_in)
    : book{book_in},
      store{store_in},
      name{std::move(name_in)},
      domain{std::move(domain_in)},
      id{this->name + "-0"},
      server{0, [this](const auto& request) { return this->handle(request); }} {}

void backend::enter(std::uint16_t address_port_in) {
  const absl::MutexLock lock{&this->mutex};
  this->address_port = address_port_in;
  this->write();
}

void backend::drain(bool draining_in) {
  const absl::MutexLock lock{&this->mutex};
  this->draining = draining_in;
  this->write();
}

void backend::replace() {
  const absl::MutexLock lock{&this->mutex};
  this->store.erase("servers", this->id);
  this->id = absl::StrCat(this->name, "-", ++this->generation);
  this->draining = false;
  this->write();
}

void backend::write() {
  this->store.put("servers", this->id,
                  {{"service", "desk"},
                   {"address", absl::StrCat("127.0.0.1:", this->address_port)},
                   {"zone", this->domain},
                   {"version", "v1"},
                   {"slots", impl::slots},
                   {"state", this->draining ? "draining" : "ready"},
                   {"coldRemainingMs", 0},
                   {"sequence", this->generation}});
}

std::string backend::load() const {
  return absl::StrCat(std::min(this->running, impl::slots), ",", std::max(this->running - impl::slots, 0),
                      ",", impl::slots);
}

standins::server_response backend::handle(const standins::server_request& request) {
  std::string instance;
  {
    const absl::MutexLock lock{&this->mutex};
    instance = this->id;
    if (request.path == "/health") {
      return {this->draining ? impl::status_unavailable : impl::status_ok,
              {{"Instance-Id", instance}, {"Server-Load", this->load()}, {"Cold-Start-Ms", "0"}},
              "",
              false};
    }
    const auto expected = impl::header(request, "expect-instance");
    const bool is_other = !expected.empty() && expected != instance;
    if (is_other || this->running >= impl::slots + impl::queue) {
      return {is_other ? impl::status_misdirected : impl::status_unavailable,
              {{"Not-Executed", "1"},
               {"Request-Id", impl::header(request, "request-id")},
               {"Server-Load", this->load()}},
              "",
              false};
    }
    ++this->running;
  }
  const auto request_id = impl::header(request, "request-id");
  const auto stamp =
      this->book.on_run({request_id, request.method, request.path, request.body, true}, instance);
  std::this_thread::sleep_for(this->is_slow ? impl::slow_work : impl::work);
  const absl::MutexLock lock{&this->mutex};
  --this->running;
  return {impl::status_ok,
          {{"Request-Id", request_id}, {"Server-Stamp", stamp}, {"Server-Load", this->load()}},
          expected_body(request_id),
          this->loses_answers.load()};
}

}  // namespace zinnia::soak
