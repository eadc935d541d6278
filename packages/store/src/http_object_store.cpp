// Maps the platform's HTTP answers to store replies.
#include "zinnia/store/http_object_store.hpp"

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "zinnia/store/http_call.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr long http_ok = 200;
constexpr long http_not_found = 404;
constexpr long http_conflict = 409;

[[nodiscard]] object_version version_of(const http_answer& answer) {
  const auto found = answer.headers.find("x-version");
  return object_version{found == answer.headers.end() ? 0 : std::strtoll(found->second.c_str(), nullptr, 10)};
}

/// A write without an answer may have taken effect unless the connection was never made; any status
/// other than those of the interface is an explicit refusal.
[[nodiscard]] store_status status_of(const http_answer& answer, bool is_write) {
  switch (answer.status) {
    case http_ok:
      return store_status::ok;
    case http_not_found:
      return store_status::not_found;
    case http_conflict:
      return store_status::conflict;
    case 0:
      return is_write && !answer.never_connected ? store_status::unknown : store_status::unavailable;
    default:
      return store_status::unavailable;
  }
}

[[nodiscard]] store_reply to_reply(http_answer answer, bool is_write) {
  const auto status = status_of(answer, is_write);
  return {status, version_of(answer), std::move(answer.body)};
}

[[nodiscard]] list_reply to_list(const http_answer& answer) {
  list_reply reply;
  reply.status = status_of(answer, false);
  if (reply.status != store_status::ok) {
    return reply;
  }
  const auto value = nlohmann::json::parse(answer.body, nullptr, false);
  if (value.is_discarded() || !value.contains("newest") || !value.contains("entries")) {
    reply.status = store_status::unavailable;
    return reply;
  }
  reply.newest = object_version{value["newest"].get<std::int64_t>()};
  for (const auto& entry : value["entries"]) {
    reply.entries.push_back(
        {entry.at("key").get<std::string>(), object_version{entry.at("version").get<std::int64_t>()}});
  }
  return reply;
}

[[nodiscard]] std::string if_version(object_version expected) {
  return "If-Version: " + std::to_string(expected.count());
}

}  // namespace
}  // namespace impl

store_reply http_object_store::get(const std::string& key) {
  http_call call;
  call.url = this->base + "/v1/objects/" + url_escape(key);
  call.limit = this->limit;
  return impl::to_reply(perform(call), false);
}

store_reply http_object_store::put(const std::string& key, const std::string& value,
                                   object_version expected) {
  http_call call;
  call.method = "PUT";
  call.url = this->base + "/v1/objects/" + url_escape(key);
  call.headers = {impl::if_version(expected)};
  call.body = value;
  call.limit = this->limit;
  return impl::to_reply(perform(call), true);
}

store_reply http_object_store::remove(const std::string& key, object_version expected) {
  http_call call;
  call.method = "DELETE";
  call.url = this->base + "/v1/objects/" + url_escape(key);
  call.headers = {impl::if_version(expected)};
  call.limit = this->limit;
  return impl::to_reply(perform(call), true);
}

list_reply http_object_store::list(const std::string& prefix) {
  http_call call;
  call.url = this->base + "/v1/list?prefix=" + url_escape(prefix);
  call.limit = this->limit;
  return impl::to_list(perform(call));
}

list_reply http_object_store::watch(const std::string& prefix, object_version after, duration wait) {
  http_call call;
  call.url = this->base + "/v1/watch?prefix=" + url_escape(prefix) +
             "&after=" + std::to_string(after.count()) + "&wait_ms=" + std::to_string(wait.ms);
  call.limit = this->limit + wait;
  return impl::to_list(perform(call));
}

}  // namespace zinnia
