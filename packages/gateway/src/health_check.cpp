// One health check: request, response and report to the backend server's state.
#include "health_check.hpp"

#include <absl/strings/str_cat.h>

#include <boost/asio/post.hpp>
#include <chrono>

#include "statement_decoding.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Includes the time that the check may wait for a slot at the server, as any request does.
constexpr std::chrono::milliseconds health_check_timeout{1000};
constexpr int status_ok = 200;
/// Pause before a check is repeated that did not show if the server has crashed.
constexpr duration unclear_check_pause{250};

}  // namespace
}  // namespace impl

health_check::health_check(gateway& owner_in, std::shared_ptr<backend_state> backend_in,
                           const boost::asio::ip::tcp::endpoint& address, const std::string& path)
    : owner{owner_in}, backend{std::move(backend_in)}, timeout_timer{owner_in.context} {
  this->started_at = this->owner.clock.now();
  this->backend->on_health_check_started();
  const auto& declared = this->backend->declared();
  this->connection = std::make_shared<backend_connection>(this->owner.context, address, this->owner.clock);
  this->timeout_timer.expires_after(impl::health_check_timeout);
  this->timeout_timer.async_wait([this](const boost::system::error_code& stopped) {
    if (!stopped) {
      this->finish(false);
    }
  });
  backend_call call;
  call.bytes = absl::StrCat("GET ", path, " HTTP/1.1\r\nHost: ", declared.address.str(),
                            "\r\nConnection: close\r\n\r\n");
  this->connection->start(std::move(call), *this);
}

health_check::~health_check() {
  this->connection->cancel();
}

void health_check::on_head(const response_head& head) {
  this->answered = true;
  this->owner.links.on_check_answered(this->backend->hash(), this->started_at, this->owner.clock.now());
  this->owner.update_links();
  const auto& field_names = this->owner.options.field_names;
  const auto instance = find_field(head.fields, field_names.backend_id);
  this->responding_instance = std::string{instance.value_or("")};
  this->healthy = head.status == impl::status_ok && instance == this->backend->declared().id.str();
  if (instance == this->backend->declared().id.str()) {
    auto statement = decode_statement(head, field_names, this->backend->declared().id);
    // The reported load includes this check, which is not a request of this node.
    statement.load.reset();
    // Nor need the response to a check name the limit on requests.
    statement.names_no_rate_limit = false;
    this->owner.apply_statement(*this->backend, statement);
  }
  if (const auto left = find_field(head.fields, field_names.cold_left_ms)) {
    this->cold_left = duration{parse_number(*left).value_or(0)};
  }
}

void health_check::on_end(const backend_call_result& end) {
  this->finish(this->healthy && end.complete);
  this->report_crash_state(end);
  this->owner.resume_held_retries();
}

void health_check::report_crash_state(const backend_call_result& end) {
  const auto now = this->owner.clock.now();
  const bool is_other_instance =
      !this->responding_instance.empty() && this->responding_instance != this->backend->declared().id.str();
  if (end.connection_refused) {
    this->owner.on_backend_refused(*this->backend);
  } else if (is_other_instance) {
    this->backend->suspend_until_checked(now);
    this->owner.on_backend_crashed(this->backend->hash(), now);
  } else if (end.complete) {
    this->owner.crashes.on_alive(this->backend->hash());
  } else if (this->owner.crashes.awaits_confirmation(this->backend->hash(), now)) {
    this->backend->request_health_check(now + impl::unclear_check_pause);
  }
}

void health_check::finish(bool is_healthy) {
  if (this->finished) {
    return;
  }
  this->finished = true;
  this->connection->cancel();
  this->timeout_timer.cancel();
  if (!this->answered) {
    this->owner.links.on_check_failed(this->backend->hash(), this->owner.clock.now());
  }
  this->backend->on_health_check(is_healthy, this->cold_left, this->owner.clock.now());
  log_line{log_level::info, "health_checked"}
      .field("backend", this->backend->declared().id.str())
      .field("healthy", is_healthy ? 1 : 0)
      .field("cold_left_ms", this->cold_left.ms);
  // Deferred: the connection or the timer that called this function still uses this object.
  boost::asio::post(this->owner.context, [&checks = this->owner.health_checks,
                                          id = this->backend->declared().id] { checks.erase(id); });
}

}  // namespace zinnia
