// Registers the backend server in the store and handles its requests.
#include "backend.hpp"

#include "crashing_request.hpp"

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

/// Returns the node that sent a request: callers put its number before the first hyphen of the request id.
[[nodiscard]] std::string sending_node(const std::string& request_id) {
  return request_id.substr(0, request_id.find('-'));
}

}  // namespace
}  // namespace impl

backend::backend(request_history& history_in, standins::external_writer& store_in, std::string name_in,
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

std::string backend::set_draining(bool draining_in) {
  const absl::MutexLock lock{&this->mutex};
  this->is_draining = draining_in;
  this->write_entry();
  return this->instance_id;
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

void backend::set_statement(const own_statement& statement, statement_monitor::is_calm_predicate is_calm) {
  const absl::MutexLock lock{&this->mutex};
  this->statements.begin(statement, std::move(is_calm), soak_clock::now());
}

std::vector<std::string> backend::check_statement() {
  const absl::MutexLock lock{&this->mutex};
  return this->statements.check();
}

std::size_t backend::judged_requests() {
  const absl::MutexLock lock{&this->mutex};
  return this->statements.judged_requests();
}

void backend::add_statement(standins::server_response& response, const std::string& node) {
  const auto& statement = this->statements.statement();
  if (statement.rate_limit) {
    response.headers["Server-Limit"] = absl::StrCat(*statement.rate_limit);
  }
  if (statement.is_leaving) {
    response.headers["Server-Leaving"] = "1";
  }
  if (statement.rate_limit || statement.is_leaving || statement.busy_s) {
    this->statements.on_response(node, soak_clock::now());
  }
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
    const auto request_id = impl::header_field(request, "request-id");
    const auto expected_instance = impl::header_field(request, "expect-instance");
    const bool is_other_instance = !expected_instance.empty() && expected_instance != own_instance;
    if (!is_other_instance) {
      this->statements.on_request(impl::sending_node(request_id), soak_clock::now());
      this->on_request(own_instance, this->failure_domain, impl::sending_node(request_id));
    }
    const auto busy_s = this->statements.statement().busy_s;
    if (is_other_instance || busy_s || this->running_requests >= impl::slot_count + impl::queue_capacity) {
      standins::server_response refusal{
          is_other_instance ? impl::status_misdirected_request : impl::status_service_unavailable,
          {{"Not-Executed", "1"}, {"Request-Id", request_id}, {"Server-Load", this->load_report()}},
          "",
          false};
      if (!is_other_instance) {
        this->add_statement(refusal, impl::sending_node(request_id));
      }
      if (!is_other_instance && busy_s) {
        refusal.headers["Retry-After"] = std::to_string(*busy_s);
      }
      return refusal;
    }
    if (request.path == crashing_path) {
      this->on_crashing_request(impl::sending_node(request_id));
      return {impl::status_service_unavailable, {}, "", true};
    }
    ++this->running_requests;
  }
  const auto request_id = impl::header_field(request, "request-id");
  const auto stamp = this->history.on_execution(
      {request_id, request.method, request.path, request.body, true}, own_instance);
  std::this_thread::sleep_for(this->is_slow ? impl::slow_work_time : impl::work_time);
  const absl::MutexLock lock{&this->mutex};
  --this->running_requests;
  standins::server_response response{
      impl::status_ok,
      {{"Request-Id", request_id}, {"Server-Stamp", stamp}, {"Server-Load", this->load_report()}},
      expected_body(request_id),
      this->drops_responses.load()};
  this->add_statement(response, impl::sending_node(request_id));
  return response;
}

}  // namespace zinnia::soak
