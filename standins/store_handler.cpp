// The platform's object API as HTTP requests on a fake store.
#include "standins/store_handler.hpp"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace zinnia::standins {
namespace impl {
namespace {

constexpr unsigned http_not_found = 404;
constexpr unsigned http_conflict = 409;
constexpr unsigned http_unavailable = 503;
const std::string object_path = "/v1/objects/";

[[nodiscard]] std::int64_t number_field(const std::map<std::string, std::string>& fields,
                                        const std::string& name) {
  const auto found = fields.find(name);
  return found == fields.end() ? 0 : std::strtoll(found->second.c_str(), nullptr, 10);
}

[[nodiscard]] std::string text_field(const std::map<std::string, std::string>& fields,
                                     const std::string& name) {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string{} : found->second;
}

[[nodiscard]] server_answer to_answer(const store_reply& reply) {
  server_answer answer;
  answer.headers["X-Version"] = std::to_string(reply.version.count());
  answer.body = reply.value;
  switch (reply.status) {
    case store_status::ok:
      break;
    case store_status::not_found:
      answer.status = http_not_found;
      break;
    case store_status::conflict:
      answer.status = http_conflict;
      break;
    case store_status::unavailable:
      answer.status = http_unavailable;
      break;
    case store_status::unknown:
      answer.abort = true;
      break;
  }
  return answer;
}

[[nodiscard]] server_answer to_answer(const list_reply& reply) {
  if (reply.status != store_status::ok) {
    return {http_unavailable, {}, {}, false};
  }
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& entry : reply.entries) {
    entries.push_back({{"key", entry.key}, {"version", entry.version.count()}});
  }
  const nlohmann::json body{{"newest", reply.newest.count()}, {"entries", entries}};
  return {200, {}, body.dump(), false};
}

[[nodiscard]] server_answer handle_object(fake_store& store, const server_request& request) {
  const auto key = request.path.substr(object_path.size());
  const object_version expected{number_field(request.headers, "if-version")};
  if (request.method == "PUT") {
    return to_answer(store.put(key, request.body, expected));
  }
  if (request.method == "DELETE") {
    return to_answer(store.remove(key, expected));
  }
  return to_answer(store.get(key));
}

}  // namespace
}  // namespace impl

server_answer handle_store(fake_store& store, const server_request& request) {
  if (request.path.starts_with(impl::object_path)) {
    return impl::handle_object(store, request);
  }
  if (request.path == "/v1/list") {
    return impl::to_answer(store.list(impl::text_field(request.query, "prefix")));
  }
  if (request.path == "/v1/watch") {
    return impl::to_answer(store.watch(impl::text_field(request.query, "prefix"),
                                       object_version{impl::number_field(request.query, "after")},
                                       duration{impl::number_field(request.query, "wait_ms")}));
  }
  if (request.path == "/faults" && request.method == "POST") {
    store.set_faults({impl::number_field(request.query, "down") != 0,
                      duration{impl::number_field(request.query, "delay_ms")},
                      static_cast<int>(impl::number_field(request.query, "lost_answers")),
                      static_cast<int>(impl::number_field(request.query, "lost_writes"))});
    return {200, {}, "ok\n", false};
  }
  if (request.path == "/calls") {
    return {200, {}, std::to_string(store.calls()) + "\n", false};
  }
  return {impl::http_not_found, {}, "unknown path\n", false};
}

}  // namespace zinnia::standins
