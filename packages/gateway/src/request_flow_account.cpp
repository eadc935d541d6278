// What a request's account decides: whether it may be sent, where, in which order, and with which fields.
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "request_flow.hpp"
#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr int status_unauthorized = 401;
constexpr int status_bad_gateway = 502;

}  // namespace
}  // namespace impl

bool request_flow::refuse_without_access() {
  const auto& current = this->owner.current_snapshot->accounts;
  if (current != nullptr && this->snapshot->accounts == nullptr && !this->identity && !this->forwarded) {
    // Accounts were configured after the request arrived.
    const auto& fields = this->exchange->head().fields;
    this->identity = identify(*current, find_field(fields, this->owner.options.field_names.account_key));
  }
  const auto access = this->owner.check_access(this->identity, this->matched_route);
  this->accounts = current;
  this->account = access.account;
  if (access.refusal == reason::none) {
    return false;
  }
  if (this->run_verdict != verdict::did_not_run) {
    this->fail(impl::status_bad_gateway, access.refusal);
  } else if (access.refusal == reason::unknown_key) {
    this->owner.counts.add(counter::unauthorized);
    this->fail(impl::status_unauthorized, access.refusal);
  } else {
    this->leave_queue();
    this->respond_unavailable(access.refusal, gateway::unconfirmed_retry_after);
  }
  return true;
}

bool request_flow::has_accounts() const noexcept {
  return this->accounts != nullptr || this->snapshot->accounts != nullptr;
}

region_filter request_flow::allowed_regions() const noexcept {
  return {&this->matched_route.allowed_regions,
          this->account == nullptr ? nullptr : &this->account->allowed_regions};
}

request_priority request_flow::priority() const noexcept {
  const int without_account = this->accounts == nullptr ? 0 : this->accounts->priority_without_account();
  return {this->account == nullptr ? without_account : this->account->priority, this->matched_route.priority};
}

std::optional<fair_share> request_flow::fair_share_of_account() const noexcept {
  if (this->accounts == nullptr) {
    return std::nullopt;
  }
  if (this->account == nullptr) {
    return fair_share{};
  }
  const double limit = this->account->requests_per_second;
  return fair_share{stable_hash(this->account->id.str()),
                    limit > 0 ? limit : this->accounts->mean_rate_limit()};
}

header_fields request_flow::make_backend_fields(const backend_id& target) const {
  const auto& field_names = this->owner.options.field_names;
  header_fields fields{{field_names.expected_backend, target.str()}};
  if (this->account != nullptr) {
    fields.push_back({field_names.account, this->account->id.str()});
  }
  return fields;
}

backend_call request_flow::build_call(std::string_view target, const header_fields& added) const {
  const auto& field_names = this->owner.options.field_names;
  const auto& head = this->exchange->head();
  backend_call call;
  call.is_head_request = head.method == "HEAD";
  call.id_field = field_names.request_id;
  call.id = this->request_id;
  absl::StrAppend(&call.bytes, head.method, " ", absl::string_view{target.data(), target.size()},
                  " HTTP/1.1\r\n");
  auto replaced = hop_field_names();
  replaced.emplace_back(field_names.time_left_ms);
  replaced.emplace_back(field_names.expected_backend);
  if (this->has_accounts()) {
    replaced.emplace_back(field_names.account_key);
    replaced.emplace_back(field_names.account);
  }
  append_fields(call.bytes, end_to_end_fields(head.fields, replaced));
  const auto left = std::max<std::int64_t>((this->deadline - this->owner.clock.now()).ms, 1);
  absl::StrAppend(&call.bytes, field_names.time_left_ms, ": ", left, "\r\n");
  append_fields(call.bytes, added);
  const bool has_body = !this->exchange->body().empty() ||
                        (head.method != "GET" && head.method != "HEAD" && head.method != "DELETE");
  if (has_body) {
    absl::StrAppend(&call.bytes, "Content-Length: ", this->exchange->body().size(), "\r\n");
  }
  call.bytes += "\r\n";
  if (!this->exchange->body().empty()) {
    call.body = this->exchange->shared_body();
  }
  return call;
}

}  // namespace zinnia
