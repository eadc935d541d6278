// The servers and the clients of a scene.
#pragma once

#include <atomic>
#include <deque>
#include <set>

#include "platform.hpp"

namespace review {

struct server_options {
  std::string id;
  std::string service;
  std::string zone;
  int slots{3};
  int queue{9};
  int work_ms{240};
};

/// \brief A request that reached a server, and the door by which it came.
struct arrival {
  std::string request;
  std::size_t door{0};
  std::int64_t at_ms{0};
};

/// \brief A sound server: it names itself, runs `slots` requests at a time, queues some, and rejects the
/// rest.
class server {
 public:
  /// \param doors_in The number of machines.
  server(server_options options_in, std::size_t doors_in, store& registry_in, record& notes_in)
      : options{std::move(options_in)}, registry{registry_in}, notes{notes_in}, doors(doors_in) {
    for (std::size_t number = 0; number < doors_in; ++number) {
      this->open(number);
    }
  }
  [[nodiscard]] const std::string& id() const noexcept { return this->options.id; }

  /// \param born The server's start; without it the entry has no such field.
  void enter(std::optional<std::int64_t> born = std::nullopt) {
    nlohmann::json addresses = nlohmann::json::array();
    for (const auto& each : this->doors) {
      addresses.push_back(each.where.text());
    }
    nlohmann::json spec{{"service", this->options.service},
                        {"addresses", addresses},
                        {"zone", this->options.zone},
                        {"version", "v1"},
                        {"slots", this->options.slots},
                        {"state", "ready"},
                        {"coldRemainingMs", 0},
                        {"sequence", 1}};
    if (born) {
      spec["born"] = *born;
    }
    this->registry.put("servers", this->options.id, spec);
  }
  /// \brief From now on the server says in all its answers that it leaves.
  void leave() { this->leaving = true; }

  /// \brief Cuts the link of one machine: its connections are reset, and new ones refused.
  void cut(std::size_t door) {
    const std::lock_guard lock{this->mutex};
    this->doors[door].open->stop();
    for (const int each : this->doors[door].connections) {
      const linger reset{1, 0};
      setsockopt(each, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(each, SHUT_RD);
    }
  }
  /// \brief Ends the cut.
  void heal(std::size_t door) { this->open(door); }

  [[nodiscard]] std::vector<arrival> arrivals() {
    const std::lock_guard lock{this->mutex};
    return this->arrived;
  }

 private:
  struct door_state {
    address where{"127.0.0.1", 0};
    std::unique_ptr<listener> open;
    std::set<int> connections;
  };

  /// Listens on a port that the kernel gives to no outgoing connection, so that it is still free after a cut.
  [[nodiscard]] static std::unique_ptr<listener> listen_anywhere() {
    constexpr int first_port = 10'000;
    constexpr int last_port = 32'000;
    static int next_port = first_port + getpid() % 50 * 400;
    for (int tried = first_port; tried < last_port; ++tried) {
      next_port = next_port < last_port ? next_port + 1 : first_port;
      try {
        return std::make_unique<listener>(address{"127.0.0.1", next_port});
      } catch (const std::runtime_error&) {
        // It is in use.
        continue;
      }
    }
    throw std::runtime_error{"no free port"};
  }

  void open(std::size_t number) {
    auto& door = this->doors[number];
    door.open.reset();
    door.open = door.where.port == 0 ? listen_anywhere() : std::make_unique<listener>(door.where);
    door.where = door.open->where();
    door.open->serve([this, number](stream& connection) { this->serve(connection, number); });
  }

  void serve(stream& connection, std::size_t door) {
    {
      const std::lock_guard lock{this->mutex};
      this->doors[door].connections.insert(connection.native());
    }
    constexpr std::chrono::seconds idle{10};
    while (const auto request = connection.read(steady::now() + idle)) {
      if (!this->respond(connection, *request, door)) {
        break;
      }
    }
    const std::lock_guard lock{this->mutex};
    this->doors[door].connections.erase(connection.native());
  }

  [[nodiscard]] std::string load() const {
    const int held = this->admitted;
    return std::to_string(std::min(held, this->options.slots)) + ',' +
           std::to_string(std::max(held - this->options.slots, 0)) + ',' +
           std::to_string(this->options.slots);
  }

  [[nodiscard]] bool reply(const stream& connection, const std::string& status, const std::string& id,
                           const std::string& fields, const std::string& body) const {
    std::string text = "HTTP/1.1 " + status + "\r\nServer-Load: " + this->load() + "\r\n" + fields;
    if (this->leaving) {
      text += "Server-Leaving: 1\r\n";
    }
    if (!id.empty()) {
      text += "Request-Id: " + id + "\r\n";
    }
    return connection.write(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  [[nodiscard]] bool respond(const stream& connection, const http_message& request, std::size_t door) {
    const auto id = request.field("request-id");
    const std::string own = "Instance-Id: " + this->options.id + "\r\n";
    if (request.word(1) == "/health") {
      const auto* const status = this->leaving ? "503 Service Unavailable" : "200 OK";
      return this->reply(connection, status, id, own + "Cold-Start-Ms: 0\r\n", "");
    }
    const auto expected = request.field("expect-instance");
    if (!expected.empty() && expected != this->options.id) {
      return this->reply(connection, "421 Misdirected Request", id, own, "");
    }
    if (id.empty()) {
      return this->reply(connection, "400 Bad Request", id, "Not-Executed: 1\r\n", "");
    }
    bool has_room = false;
    {
      const std::lock_guard lock{this->mutex};
      this->arrived.push_back({id, door, this->notes.elapsed_ms()});
      has_room = this->admitted < this->options.slots + this->options.queue;
      this->admitted += has_room ? 1 : 0;
    }
    if (!has_room) {
      return this->reply(connection, "503 Service Unavailable", id, "Not-Executed: 1\r\n", "");
    }
    const bool finished = this->run(connection);
    --this->admitted;
    return finished && this->reply(connection, "200 OK", id,
                                   "Server-Stamp: " + this->options.id + "\r\nKeep-Alive: timeout=10\r\n",
                                   "done " + id + '\n');
  }

  /// False if the caller has left before the work is done.
  [[nodiscard]] bool run(const stream& connection) {
    {
      std::unique_lock lock{this->mutex};
      this->freed.wait(lock, [this] { return this->running < this->options.slots; });
      ++this->running;
    }
    const auto end = steady::now() + milliseconds{this->options.work_ms};
    bool finished = !connection.is_closed();
    while (finished && steady::now() < end) {
      constexpr milliseconds check_period{5};
      std::this_thread::sleep_for(check_period);
      finished = !connection.is_closed();
    }
    const std::lock_guard lock{this->mutex};
    --this->running;
    this->freed.notify_one();
    return finished;
  }

  server_options options;
  store& registry;
  record& notes;
  std::mutex mutex;
  std::condition_variable freed;
  std::vector<door_state> doors;
  std::atomic<int> admitted{0};
  std::atomic<bool> leaving{false};
  int running{0};
  std::vector<arrival> arrived;
};

/// \brief One request of a client and what it got.
struct sent_request {
  std::string id;
  /// The machine that it was sent to.
  address to;
  std::int64_t sent_ms{0};
  /// 0 without an answer.
  int status{0};
  std::int64_t answered_ms{0};
  /// The server that signed the answer, and whether the answer says that this server leaves.
  std::string signed_by;
  bool says_leaving{false};
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

  /// \brief Some clients keep the directory's answer three times as long as it says.
  void set_patience(int factor) noexcept { this->ttl_factor = factor; }

  /// \brief Sends one request and returns what became of it.
  [[nodiscard]] sent_request get(const std::string& path, int deadline_ms) {
    sent_request sent;
    sent.id = this->name + '-' + std::to_string(++this->count);
    sent.sent_ms = this->notes.elapsed_ms();
    const auto until = steady::now() + milliseconds{deadline_ms};
    constexpr milliseconds pause{100};
    constexpr milliseconds connect_time{1000};
    if (steady::now() > this->resolved_until && !this->resolve()) {
      std::this_thread::sleep_for(pause);
      return sent;
    }
    if (this->connection == nullptr) {
      this->connected_to = this->fronts[this->random() % this->fronts.size()];
      this->connection = connect_to(this->connected_to, connect_time);
      if (this->connection == nullptr) {
        this->resolved_until = {};
        std::this_thread::sleep_for(pause);
        return sent;
      }
    }
    sent.to = this->connected_to;
    constexpr std::uint64_t things = 57;
    const bool is_written =
        this->connection->write("GET " + path + " HTTP/1.1\r\nHost: demo.example\r\nRequest-Id: " + sent.id +
                                "\r\nAffinity-Key: " + std::to_string(this->random() % things) +
                                "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n\r\n");
    const auto answer = is_written ? this->connection->read(until) : std::nullopt;
    sent.answered_ms = this->notes.elapsed_ms();
    if (!answer) {
      this->connection.reset();
      this->resolved_until = {};
      return sent;
    }
    sent.status = answer->status();
    sent.signed_by = answer->field("server-stamp");
    sent.says_leaving = answer->field("server-leaving") == "1";
    if (answer->field("connection") == "close") {
      this->connection.reset();
    }
    if (sent.status == 503 || sent.status == 429) {
      constexpr double ms_per_s = 1000;
      const auto wait_ms = static_cast<int>(std::atof(answer->field("retry-after").c_str()) * ms_per_s);
      std::this_thread::sleep_for(milliseconds{std::min(wait_ms, deadline_ms / 3)});
    }
    return sent;
  }

  [[nodiscard]] std::uint64_t random() {
    this->random_state ^= this->random_state << 13U;
    this->random_state ^= this->random_state >> 7U;
    this->random_state ^= this->random_state << 17U;
    return this->random_state;
  }

 private:
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
      this->fronts.clear();
      for (const auto& each : told["addresses"]) {
        this->fronts.push_back(parse_address(each.get<std::string>()));
      }
      this->resolved_until =
          steady::now() + std::chrono::seconds{std::max(told.value("ttlS", 1), 1) * this->ttl_factor};
      if (std::none_of(this->fronts.begin(), this->fronts.end(),
                       [this](const address& each) { return each.ip == this->connected_to.ip; })) {
        this->connection.reset();
      }
      return true;
    }
    return false;
  }

  std::string name;
  std::string zone;
  std::vector<address> directories;
  record& notes;
  std::uint64_t random_state;
  int ttl_factor{1};
  address connected_to;
  int count{0};
  std::vector<address> fronts;
  steady::time_point resolved_until;
  std::unique_ptr<stream> connection;
};

}  // namespace review
