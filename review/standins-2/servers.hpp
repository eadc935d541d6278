// The servers and the clients of a scene.
#pragma once

#include <atomic>
#include <deque>
#include <set>

#include "platform.hpp"

namespace review {

/// \brief What became of requests at the servers, by the request's id.
class run_log {
 public:
  void begin(const std::string& id) {
    const std::lock_guard lock{this->mutex};
    ++this->runs[id];
  }
  [[nodiscard]] int runs_of(const std::string& id) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->runs.find(id);
    return found == this->runs.end() ? 0 : found->second;
  }

 private:
  std::mutex mutex;
  std::map<std::string, int> runs;
};

struct server_options {
  std::string id;
  std::string service;
  std::string zone;
  int slots{3};
  int queue{9};
  int work_ms{240};
  /// Factor on the work while the server is cold.
  int cold_factor{2};
  int cold_ms{0};
};

/// \brief A sound server: it names itself, runs `slots` requests at a time, queues some, and rejects the
/// rest.
class server {
 public:
  server(server_options options_in, store& registry_in, run_log& log_in)
      : options{std::move(options_in)},
        registry{registry_in},
        log{log_in},
        cold_until{steady::now() + milliseconds{this->options.cold_ms}},
        door{{"127.0.0.1", 0}} {
    this->door.serve([this](stream& connection) { this->serve(connection); });
  }
  [[nodiscard]] const std::string& id() const noexcept { return this->options.id; }
  [[nodiscard]] const address& where() const noexcept { return this->door.where(); }

  void enter() {
    const auto left = std::chrono::duration_cast<milliseconds>(this->cold_until - steady::now()).count();
    this->registry.put("servers", this->options.id,
                       {{"service", this->options.service},
                        {"address", this->door.where().text()},
                        {"zone", this->options.zone},
                        {"version", "v1"},
                        {"slots", this->options.slots},
                        {"state", "ready"},
                        {"coldRemainingMs", std::max<std::int64_t>(left, 0)},
                        {"sequence", 1}});
  }
  /// \brief Times at which requests arrived, except those for another server, in ms after the first.
  [[nodiscard]] std::vector<steady::time_point> arrivals() {
    const std::lock_guard lock{this->mutex};
    return this->arrived;
  }
  [[nodiscard]] steady::time_point cold_end() const noexcept { return this->cold_until; }

 private:
  void serve(stream& connection) {
    constexpr std::chrono::seconds idle{10};
    while (const auto request = connection.read(steady::now() + idle)) {
      if (!this->respond(connection, *request)) {
        return;
      }
    }
  }

  [[nodiscard]] std::string load() {
    const int held = this->admitted;
    return std::to_string(std::min(held, this->options.slots)) + ',' +
           std::to_string(std::max(held - this->options.slots, 0)) + ',' +
           std::to_string(this->options.slots);
  }

  [[nodiscard]] bool reply(const stream& connection, const std::string& status, const std::string& id,
                           const std::string& fields, const std::string& body) {
    std::string text = "HTTP/1.1 " + status + "\r\nServer-Load: " + this->load() + "\r\n" + fields;
    if (!id.empty()) {
      text += "Request-Id: " + id + "\r\n";
    }
    return connection.write(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  [[nodiscard]] bool respond(const stream& connection, const http_message& request) {
    const auto id = request.field("request-id");
    if (request.word(1) == "/health") {
      const auto left = std::chrono::duration_cast<milliseconds>(this->cold_until - steady::now()).count();
      return this->reply(connection, "200 OK", id,
                         "Instance-Id: " + this->options.id +
                             "\r\nCold-Start-Ms: " + std::to_string(std::max<std::int64_t>(left, 0)) + "\r\n",
                         "");
    }
    const auto expected = request.field("expect-instance");
    if (!expected.empty() && expected != this->options.id) {
      return this->reply(connection, "421 Misdirected Request", id,
                         "Instance-Id: " + this->options.id + "\r\n", "");
    }
    if (id.empty()) {
      return this->reply(connection, "400 Bad Request", id, "Not-Executed: 1\r\n", "");
    }
    {
      const std::lock_guard lock{this->mutex};
      this->arrived.push_back(steady::now());
      if (this->admitted >= this->options.slots + this->options.queue) {
        return this->reply(connection, "503 Service Unavailable", id, "Not-Executed: 1\r\n", "");
      }
      ++this->admitted;
    }
    const bool finished = this->run(connection, id);
    {
      const std::lock_guard lock{this->mutex};
      --this->admitted;
    }
    return finished && this->reply(connection, "200 OK", id,
                                   "Server-Stamp: " + this->options.id + "\r\nKeep-Alive: timeout=10\r\n",
                                   "done " + id + '\n');
  }

  /// False if the caller has left before the work is done.
  [[nodiscard]] bool run(const stream& connection, const std::string& id) {
    {
      std::unique_lock lock{this->mutex};
      this->freed.wait(lock, [this] { return this->running < this->options.slots; });
      ++this->running;
    }
    bool finished = !connection.is_closed();
    if (finished) {
      this->log.begin(id);
      const int factor = steady::now() < this->cold_until ? this->options.cold_factor : 1;
      const auto end = steady::now() + milliseconds{this->options.work_ms * factor};
      while (finished && steady::now() < end) {
        constexpr milliseconds check_period{5};
        std::this_thread::sleep_for(check_period);
        finished = !connection.is_closed();
      }
    }
    const std::lock_guard lock{this->mutex};
    --this->running;
    this->freed.notify_one();
    return finished;
  }

  server_options options;
  store& registry;
  run_log& log;
  steady::time_point cold_until;
  std::mutex mutex;
  std::condition_variable freed;
  std::atomic<int> admitted{0};
  int running{0};
  std::vector<steady::time_point> arrived;
  listener door;
};

/// \brief One request of a client and what it got.
struct sent_request {
  std::string id;
  int status{0};
  /// The connection had carried a request before this one.
  bool was_kept{false};
  /// The node closed the connection without an answer.
  bool was_cut{false};
  std::int64_t sent_ms{0};
};

/// \brief A client as PROTOCOL.md has them: it asks the directory where to connect, keeps its connection, and
/// waits
///        as long as a refusal says.
class client {
 public:
  client(std::string name_in, std::string zone_in, std::vector<address> directories_in, record& notes_in)
      : name{std::move(name_in)},
        zone{std::move(zone_in)},
        directories{std::move(directories_in)},
        notes{notes_in},
        random_state{std::hash<std::string>{}(this->name) | 1U} {}

  /// \brief Sends one request and returns what became of it.
  [[nodiscard]] sent_request send(const std::string& method, const std::string& path, const std::string& body,
                                  int deadline_ms) {
    sent_request sent;
    sent.id = this->name + '-' + std::to_string(++this->count);
    sent.sent_ms = this->notes.elapsed_ms();
    const auto until = steady::now() + milliseconds{deadline_ms};
    constexpr milliseconds pause{100};
    if (steady::now() > this->resolved_until && !this->resolve()) {
      std::this_thread::sleep_for(pause);
      return sent;
    }
    sent.was_kept = this->connection != nullptr;
    if (this->connection == nullptr) {
      const auto chosen = this->fronts[this->random() % this->fronts.size()];
      this->connection = connect_to(chosen, milliseconds{1000});
      if (this->connection == nullptr) {
        this->resolved_until = {};
        std::this_thread::sleep_for(pause);
        return sent;
      }
    }
    std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: demo.example\r\nRequest-Id: " + sent.id +
                       "\r\nAffinity-Key: " + std::to_string(this->random() % 57) +
                       "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (method == "POST") {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    const bool is_written = this->connection->write(text + "\r\n") && this->write_paced(body);
    const auto answer = this->connection->read(until);
    if (answer) {
      sent.status = answer->status();
      if (answer->field("connection") == "close") {
        this->connection.reset();
      }
      if (sent.status == 503 || sent.status == 429) {
        const auto wait_ms = static_cast<int>(std::atof(answer->field("retry-after").c_str()) * 1000);
        std::this_thread::sleep_for(milliseconds{std::min(wait_ms, deadline_ms / 3)});
      }
      return sent;
    }
    sent.was_cut = !is_written || this->connection->is_closed();
    this->connection.reset();
    this->resolved_until = {};
    return sent;
  }

  /// \brief Bytes of bodies that this client sends in a millisecond, at most: its part of the machine's link.
  void set_pace(std::size_t bytes_per_ms_in) noexcept { this->bytes_per_ms = bytes_per_ms_in; }

  [[nodiscard]] std::uint64_t random() {
    this->random_state ^= this->random_state << 13U;
    this->random_state ^= this->random_state >> 7U;
    this->random_state ^= this->random_state << 17U;
    return this->random_state;
  }

 private:
  [[nodiscard]] bool write_paced(std::string_view body) const {
    constexpr std::size_t piece_ms = 4;
    const auto began = steady::now();
    for (std::size_t piece = 0; !body.empty(); ++piece) {
      std::this_thread::sleep_until(began + milliseconds{piece * piece_ms});
      const auto part = body.substr(0, this->bytes_per_ms * piece_ms);
      if (!this->connection->write(part)) {
        return false;
      }
      body.remove_prefix(part.size());
    }
    return true;
  }

  [[nodiscard]] bool resolve() {
    for (const auto& directory : this->directories) {
      const auto asked = connect_to(directory, milliseconds{1000});
      const auto region = this->zone.substr(0, this->zone.find('-'));
      if (asked == nullptr || !asked->write("GET /zinniafield/resolve?name=demo.example&region=" + region +
                                            "&zone=" + this->zone + " HTTP/1.1\r\nHost: x\r\n\r\n")) {
        continue;
      }
      const auto answer = asked->read(steady::now() + milliseconds{1000});
      const auto told = nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
      if (!answer || answer->status() != 200 || !told.is_object() || told["addresses"].empty()) {
        continue;
      }
      const auto previous = std::exchange(this->fronts, {});
      for (const auto& each : told["addresses"]) {
        this->fronts.push_back(parse_address(each.get<std::string>()));
      }
      this->resolved_until = steady::now() + std::chrono::seconds{std::max(told.value("ttlS", 1), 1)};
      return true;
    }
    return false;
  }

  std::string name;
  std::string zone;
  std::vector<address> directories;
  record& notes;
  std::uint64_t random_state;
  // 1000 Mbit/s.
  std::size_t bytes_per_ms{125'000};
  int count{0};
  std::vector<address> fronts;
  steady::time_point resolved_until;
  std::unique_ptr<stream> connection;
};

}  // namespace review
