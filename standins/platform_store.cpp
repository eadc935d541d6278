// Serves lists, watches and writes, and injects the faults that were set.
#include "standins/platform_store.hpp"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <chrono>
#include <cstdlib>
#include <thread>

namespace zinnia::standins {
namespace impl {
namespace {

constexpr const char* base_path = "/zinniafield/objects/";
constexpr unsigned status_ok = 200;
constexpr unsigned status_created = 201;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_gone = 410;

[[nodiscard]] server_response json_response(unsigned status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body), false};
}

/// Returns a query parameter, or 0 if it is missing.
/// \param name Name in lower case, as the server stores it.
[[nodiscard]] std::int64_t integer_parameter(const server_request& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? 0 : std::strtoll(found->second.c_str(), nullptr, 10);
}

}  // namespace
}  // namespace impl

std::string platform_store::to_json(const std::string& name, const object& value) {
  return absl::StrCat(R"({"metadata":{"name":)", nlohmann::json(name).dump(), R"(,"revision":)",
                      value.revision, R"(,"created":)", value.created,
                      R"(,"finalizers":[],"deleting":false},"spec":)", value.spec, R"(,"status":null})");
}

void platform_store::put_locked(const std::string& kind, const std::string& name, const std::string& spec) {
  auto& target = this->objects_by_kind[kind][name];
  if (target.revision != 0 && target.spec == spec) {
    return;
  }
  target.revision = ++this->revision;
  target.created = target.created == 0 ? target.revision : target.created;
  target.spec = spec;
  this->history.push_back({target.revision, kind, name, target, false});
}

void platform_store::erase_locked(const std::string& kind, const std::string& name) {
  const auto found = this->objects_by_kind[kind].find(name);
  if (found != this->objects_by_kind[kind].end()) {
    this->history.push_back({++this->revision, kind, name, found->second, true});
    this->objects_by_kind[kind].erase(found);
  }
}

void platform_store::put(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
  const absl::MutexLock lock{&this->mutex};
  this->put_locked(kind, name, spec.dump());
}

void platform_store::put_raw(const std::string& kind, const std::string& name, const std::string& text) {
  const absl::MutexLock lock{&this->mutex};
  this->put_locked(kind, name, text);
}

void platform_store::erase(const std::string& kind, const std::string& name) {
  const absl::MutexLock lock{&this->mutex};
  this->erase_locked(kind, name);
}

void platform_store::set_faults(const store_faults& faults_in) {
  const absl::MutexLock lock{&this->mutex};
  this->faults = faults_in;
}

void platform_store::discard_history() {
  const absl::MutexLock lock{&this->mutex};
  this->history.clear();
  this->oldest_watchable_revision = ++this->revision;
}

void platform_store::take_copy() {
  const absl::MutexLock lock{&this->mutex};
  this->copied_objects = this->objects_by_kind;
  this->copied_revision = this->revision;
}

void platform_store::restore_copy() {
  const absl::MutexLock lock{&this->mutex};
  this->objects_by_kind = this->copied_objects;
  this->revision = this->copied_revision;
  this->history.clear();
  this->oldest_watchable_revision = this->revision;
  ++this->era;
}

std::int64_t platform_store::calls() const {
  const absl::MutexLock lock{&this->mutex};
  return this->call_count;
}

bool platform_store::contains(const std::string& kind, const std::string& name) const {
  const absl::MutexLock lock{&this->mutex};
  const auto found = this->objects_by_kind.find(kind);
  return found != this->objects_by_kind.end() && found->second.contains(name);
}

std::int64_t platform_store::calls_for(const std::string& kind) const {
  const absl::MutexLock lock{&this->mutex};
  const auto found = this->calls_by_kind.find(kind);
  return found == this->calls_by_kind.end() ? 0 : found->second;
}

server_response platform_store::handle(const server_request& request) {
  std::int64_t era_before = 0;
  {
    const absl::MutexLock lock{&this->mutex};
    era_before = this->era;
  }
  auto response = this->dispatch(request);
  const absl::MutexLock lock{&this->mutex};
  // A restore cuts off the calls in progress.
  response.abort = response.abort || this->era != era_before;
  response.headers["Store-Era"] = std::to_string(this->era);
  return response;
}

server_response platform_store::dispatch(const server_request& request) {
  const std::string base{impl::base_path};
  const bool is_object_call = request.path.starts_with(base);
  const auto rest = is_object_call ? request.path.substr(base.size()) : std::string{};
  const auto slash = rest.find('/');
  const auto kind = rest.substr(0, slash);
  const auto name = slash == std::string::npos ? std::string{} : rest.substr(slash + 1);
  store_faults active_faults;
  {
    const absl::MutexLock lock{&this->mutex};
    ++this->call_count;
    ++this->calls_by_kind[kind];
    active_faults = this->faults;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds{active_faults.unresponsive_ms});
  if (active_faults.close_connections || active_faults.unresponsive_ms > 0) {
    return {impl::status_ok, {}, {}, true};
  }
  if (active_faults.error_status != 0) {
    return {static_cast<unsigned>(active_faults.error_status), {}, {}, false};
  }
  if (!is_object_call) {
    return {impl::status_not_found, {}, {}, false};
  }
  if (request.method != "GET") {
    return this->write(kind, name, request);
  }
  return request.query.contains("watch") ? this->watch(kind, request) : this->list(kind, request);
}

server_response platform_store::list(const std::string& kind, const server_request& request) {
  const absl::MutexLock lock{&this->mutex};
  const auto after = request.query.contains("after") ? request.query.at("after") : std::string{};
  std::string items;
  std::size_t count = 0;
  bool has_more = false;
  for (const auto& [name, value] : this->objects_by_kind[kind]) {
    if (!after.empty() && name <= after) {
      continue;
    }
    if (count == this->page_size) {
      has_more = true;
      break;
    }
    absl::StrAppend(&items, count++ == 0 ? "" : ",", to_json(name, value));
  }
  return impl::json_response(
      impl::status_ok, absl::StrCat(R"({"items":[)", items, R"(],"hasMore":)", has_more ? "true" : "false",
                                    R"(,"currentRev":)", this->revision, "}"));
}

server_response platform_store::watch(const std::string& kind, const server_request& request) {
  const auto since = impl::integer_parameter(request, "watch");
  const auto deadline = absl::Now() + absl::Milliseconds(impl::integer_parameter(request, "waitms"));
  while (true) {
    {
      const absl::MutexLock lock{&this->mutex};
      if (since < this->oldest_watchable_revision || since > this->revision) {
        return {impl::status_gone, {}, {}, false};
      }
      std::string events;
      for (const auto& entry : this->history) {
        if (entry.kind == kind && entry.revision > since && !this->faults.suppress_watch_events) {
          absl::StrAppend(&events, events.empty() ? "" : ",", R"({"deleted":)",
                          entry.deleted ? "true" : "false", R"(,"object":)", to_json(entry.name, entry.value),
                          "}");
        }
      }
      if (!events.empty() || absl::Now() >= deadline) {
        return impl::json_response(impl::status_ok, absl::StrCat(R"({"events":[)", events,
                                                                 R"(],"currentRev":)", this->revision, "}"));
      }
      if (this->faults.close_connections || this->faults.error_status != 0) {
        return {impl::status_ok, {}, {}, true};
      }
    }
    constexpr std::chrono::milliseconds poll_interval{5};
    std::this_thread::sleep_for(poll_interval);
    if (peer_has_closed(request.socket)) {
      return {impl::status_ok, {}, {}, true};
    }
  }
}

server_response platform_store::write(const std::string& kind, const std::string& name,
                                      const server_request& request) {
  const absl::MutexLock lock{&this->mutex};
  auto response = this->apply_write(kind, name, request);
  if (this->faults.lost_responses > 0) {
    --this->faults.lost_responses;
    response.abort = true;
  }
  return response;
}

server_response platform_store::apply_write(const std::string& kind, const std::string& name,
                                            const server_request& request) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  auto& objects = this->objects_by_kind[kind];
  if (request.method == "POST") {
    const auto created = body["metadata"]["name"].get<std::string>();
    if (objects.contains(created)) {
      return impl::json_response(impl::status_conflict, to_json(created, objects[created]));
    }
    this->put_locked(kind, created, body["spec"].dump());
    return impl::json_response(impl::status_created, to_json(created, objects[created]));
  }
  if (!objects.contains(name)) {
    return {impl::status_not_found, {}, {}, false};
  }
  const auto expected = request.method == "PUT" ? body["metadata"].value("revision", std::int64_t{0})
                                                : impl::integer_parameter(request, "revision");
  if (expected != 0 && expected != objects[name].revision) {
    return impl::json_response(impl::status_conflict, to_json(name, objects[name]));
  }
  if (request.method == "DELETE") {
    this->erase_locked(kind, name);
    return {impl::status_ok, {}, {}, false};
  }
  this->put_locked(kind, name, body["spec"].dump());
  return impl::json_response(impl::status_ok, to_json(name, objects[name]));
}

}  // namespace zinnia::standins
