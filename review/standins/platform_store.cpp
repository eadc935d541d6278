// Calls of the store's interface.
#include "platform_store.hpp"

#include <chrono>
#include <thread>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
const std::string base_path = "/zinniafield/objects/";

[[nodiscard]] std::string query_value(const std::string& query, const std::string& name) {
  const auto at = ("&" + query).find("&" + name + "=");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + name.size() + 1;
  return query.substr(begin, query.find('&', begin) - begin);
}

}  // namespace

platform_store::platform_store() : listener{tcp_socket::listen_at("127.0.0.1", 0)} {
  std::thread{[this] {
    while (true) {
      std::thread{[this, connection = this->listener.accept_next()]() mutable {
        this->serve(std::move(connection));
      }}.detach();
    }
  }}.detach();
}

std::string platform_store::address() const {
  return "127.0.0.1:" + std::to_string(this->listener.port());
}

void platform_store::put(const std::string& kind, const std::string& name, const json& spec) {
  const std::lock_guard lock{this->mutex};
  static_cast<void>(this->write(kind, name, spec));
}

json platform_store::write(const std::string& kind, const std::string& name, const json& spec) {
  ++this->revision;
  auto& stored = this->objects[kind][name];
  const auto created = stored.is_null() ? json(this->revision) : stored["metadata"]["created"];
  stored = {{"metadata",
             {{"name", name},
              {"revision", this->revision},
              {"created", created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", spec},
            {"status", nullptr}};
  this->history.push_back({this->revision, kind, false, stored});
  this->changed.notify_all();
  return stored;
}

void platform_store::serve(tcp_socket connection) {
  message_reader reader{connection};
  while (const auto request = reader.next()) {
    const auto done = this->handle(*request);
    const auto text = done.body.dump();
    if (!connection.send_all("HTTP/1.1 " + std::to_string(done.status) +
                             " -\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(text.size()) + "\r\n\r\n" + text)) {
      return;
    }
  }
}

platform_store::answer platform_store::handle(const http_message& request) {
  const auto question = request.target.find('?');
  const auto path = request.target.substr(0, question);
  const auto query = question == std::string::npos ? std::string{} : request.target.substr(question + 1);
  if (!path.starts_with(base_path)) {
    return {status_not_found, json::object()};
  }
  const auto rest = path.substr(base_path.size());
  const auto slash = rest.find('/');
  const auto kind = rest.substr(0, slash);
  const auto name = slash == std::string::npos ? std::string{} : rest.substr(slash + 1);
  const auto watched = query_value(query, "watch");
  if (request.method == "GET" && !watched.empty()) {
    return this->watch(kind, std::stoll(watched), std::stoi(query_value(query, "waitMs")));
  }
  if (request.method == "GET") {
    return this->list(kind);
  }
  const auto sent = request.body.empty() ? json::object() : json::parse(request.body);
  if (request.method == "POST") {
    return this->create(kind, sent);
  }
  return request.method == "PUT" ? this->replace(kind, name, sent)
                                 : this->remove(kind, name, query_value(query, "revision"));
}

platform_store::answer platform_store::watch(const std::string& kind, std::int64_t since, int wait_ms) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds{wait_ms};
  std::unique_lock lock{this->mutex};
  json events = json::array();
  const auto collect = [&] {
    for (const auto& each : this->history) {
      if (each.revision > since && each.kind == kind) {
        events.push_back({{"deleted", each.deleted}, {"object", each.object}});
      }
    }
    return !events.empty();
  };
  this->changed.wait_until(lock, deadline, collect);
  return {status_ok, {{"events", events}, {"currentRev", this->revision}}};
}

platform_store::answer platform_store::list(const std::string& kind) {
  const std::lock_guard lock{this->mutex};
  json items = json::array();
  for (const auto& [name, object] : this->objects[kind]) {
    items.push_back(object);
  }
  return {status_ok, {{"items", items}, {"hasMore", false}, {"currentRev", this->revision}}};
}

platform_store::answer platform_store::create(const std::string& kind, const json& sent) {
  const std::lock_guard lock{this->mutex};
  const auto name = sent.at("metadata").at("name").get<std::string>();
  const auto found = this->objects[kind].find(name);
  if (found != this->objects[kind].end()) {
    return {status_conflict, found->second};
  }
  return {status_ok, this->write(kind, name, sent.value("spec", json{}))};
}

platform_store::answer platform_store::replace(const std::string& kind, const std::string& name,
                                               const json& sent) {
  const std::lock_guard lock{this->mutex};
  const auto found = this->objects[kind].find(name);
  if (found == this->objects[kind].end()) {
    return {status_not_found, json::object()};
  }
  const auto& metadata = sent.at("metadata");
  if (metadata.contains("revision") && metadata["revision"] != found->second["metadata"]["revision"]) {
    return {status_conflict, found->second};
  }
  return {status_ok, this->write(kind, name, sent.value("spec", json{}))};
}

platform_store::answer platform_store::remove(const std::string& kind, const std::string& name,
                                              const std::string& expected) {
  const std::lock_guard lock{this->mutex};
  const auto found = this->objects[kind].find(name);
  if (found == this->objects[kind].end()) {
    return {status_not_found, json::object()};
  }
  if (!expected.empty() && expected != found->second["metadata"]["revision"].dump()) {
    return {status_conflict, found->second};
  }
  ++this->revision;
  auto last = found->second;
  last["metadata"]["revision"] = this->revision;
  this->objects[kind].erase(found);
  this->history.push_back({this->revision, kind, true, last});
  this->changed.notify_all();
  return {status_ok, last};
}

}  // namespace review
