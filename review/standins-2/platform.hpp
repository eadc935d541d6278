// The platform's side of a scene: its store, the settings files, and the processes of the system.
#pragma once

#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "http.hpp"

namespace review {

/// \brief   The platform's store: lists, watches and conditional writes, as PROTOCOL.md says.
/// \details On one host all machines reach a server by the same link. So that the links of one machine can be
/// cut,
///          each machine has a door of its own here, and reads the address of its own door at each server:
///          `addresses` of a server's entry has one for each machine, in the order of the doors.
class store {
 public:
  /// \brief Opens a door for the next machine.
  [[nodiscard]] address add_door() {
    const auto number = this->doors.size();
    this->doors.push_back(std::make_unique<listener>(address{"127.0.0.1", 0}));
    this->doors.back()->serve([this, number](stream& connection) { this->serve(connection, number); });
    return this->doors.back()->where();
  }

  void put(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
    const std::lock_guard lock{this->mutex};
    this->put_locked(kind, name, spec);
  }
  void erase(const std::string& kind, const std::string& name) {
    const std::lock_guard lock{this->mutex};
    this->erase_locked(kind, name);
  }

 private:
  struct object {
    std::int64_t revision{0};
    std::int64_t created{0};
    nlohmann::json spec;
  };
  struct event {
    std::int64_t revision{0};
    std::string kind;
    nlohmann::json text;
  };

  [[nodiscard]] static nlohmann::json describe(const std::string& name, const object& stored) {
    return {{"metadata",
             {{"name", name},
              {"revision", stored.revision},
              {"created", stored.created},
              {"finalizers", nlohmann::json::array()},
              {"deleting", false}}},
            {"spec", stored.spec},
            {"status", nullptr}};
  }
  void put_locked(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
    auto& stored = this->kinds[kind][name];
    if (stored.revision != 0 && stored.spec == spec) {
      return;
    }
    stored.revision = ++this->revision;
    stored.created = stored.created == 0 ? stored.revision : stored.created;
    stored.spec = spec;
    this->note(kind, {{"deleted", false}, {"object", describe(name, stored)}});
  }
  void erase_locked(const std::string& kind, const std::string& name) {
    const auto found = this->kinds[kind].find(name);
    if (found != this->kinds[kind].end()) {
      found->second.revision = ++this->revision;
      this->note(kind, {{"deleted", true}, {"object", describe(name, found->second)}});
      this->kinds[kind].erase(found);
    }
  }
  void note(const std::string& kind, nlohmann::json text) {
    this->history.push_back({this->revision, kind, std::move(text)});
    this->changed.notify_all();
  }

  /// Leaves in each entry of a server the address that this machine reaches.
  static void show_address(nlohmann::json& object, std::size_t door) {
    auto& spec = object["spec"];
    if (spec.is_object() && spec.contains("addresses")) {
      spec["address"] = spec["addresses"].at(door);
      spec.erase("addresses");
    }
  }
  void serve(stream& connection, std::size_t door) {
    constexpr std::chrono::hours idle{1};
    while (const auto request = connection.read(steady::now() + idle)) {
      int status = 404;
      auto body = this->answer(*request, status);
      auto shown = nlohmann::json::parse(body, nullptr, false);
      if (shown.is_object() && request->word(0) == "GET") {
        for (auto& item : shown["items"]) {
          show_address(item, door);
        }
        for (auto& event : shown["events"]) {
          show_address(event["object"], door);
        }
        body = shown.dump();
      }
      std::ostringstream text;
      text << "HTTP/1.1 " << status
           << " X\r\nContent-Type: application/json\r\nContent-Length: " << body.size() << "\r\n\r\n"
           << body;
      if (!connection.write(text.str())) {
        return;
      }
    }
  }

  [[nodiscard]] std::string answer(const http_message& request, int& status) {
    const auto target = request.word(1);
    const auto path = target.substr(0, target.find('?'));
    const std::string query = path.size() < target.size() ? target.substr(path.size() + 1) : "";
    const std::string base = "/zinniafield/objects/";
    if (path.rfind(base, 0) != 0) {
      return {};
    }
    const auto rest = path.substr(base.size());
    const auto kind = rest.substr(0, rest.find('/'));
    const std::string name = kind.size() < rest.size() ? rest.substr(kind.size() + 1) : "";
    std::unique_lock lock{this->mutex};
    if (request.word(0) != "GET") {
      return this->write(request, kind, name, query, status);
    }
    status = 200;
    if (const auto since = parameter(query, "watch"); !since.empty()) {
      return this->watch(lock, kind, std::atoll(since.c_str()),
                         std::atoi(parameter(query, "waitMs").c_str()));
    }
    nlohmann::json listed{
        {"items", nlohmann::json::array()}, {"hasMore", false}, {"currentRev", this->revision}};
    for (const auto& [known, stored] : this->kinds[kind]) {
      listed["items"].push_back(describe(known, stored));
    }
    return listed.dump();
  }

  [[nodiscard]] std::string watch(std::unique_lock<std::mutex>& lock, const std::string& kind,
                                  std::int64_t since, int wait_ms) {
    nlohmann::json events = nlohmann::json::array();
    const auto collect = [&] {
      for (const auto& each : this->history) {
        if (each.revision > since && each.kind == kind) {
          events.push_back(each.text);
        }
      }
      return !events.empty();
    };
    this->changed.wait_for(lock, milliseconds{wait_ms}, collect);
    return nlohmann::json{{"events", events}, {"currentRev", this->revision}}.dump();
  }

  [[nodiscard]] std::string write(const http_message& request, const std::string& kind,
                                  const std::string& name, const std::string& query, int& status) {
    auto& objects = this->kinds[kind];
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (request.word(0) == "POST") {
      const auto created = body["metadata"]["name"].get<std::string>();
      status = objects.count(created) > 0 ? 409 : 201;
      if (status == 201) {
        this->put_locked(kind, created, body["spec"]);
      }
      return describe(created, objects[created]).dump();
    }
    const auto found = objects.find(name);
    if (found == objects.end()) {
      return {};
    }
    const bool is_put = request.word(0) == "PUT";
    const auto expected = is_put ? body["metadata"].value("revision", std::int64_t{0})
                                 : std::atoll(parameter(query, "revision").c_str());
    if (expected != 0 && expected != found->second.revision) {
      status = 409;
      return describe(name, found->second).dump();
    }
    status = 200;
    if (!is_put) {
      this->erase_locked(kind, name);
      return "{}";
    }
    this->put_locked(kind, name, body["spec"]);
    return describe(name, objects[name]).dump();
  }

  [[nodiscard]] static std::string parameter(const std::string& query, const std::string& name) {
    const auto text = '&' + query;
    const auto found = text.find('&' + name + '=');
    if (found == std::string::npos) {
      return {};
    }
    const auto begin = found + name.size() + 2;
    return text.substr(begin, text.find('&', begin) - begin);
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, object>> kinds;
  std::vector<event> history;
  std::int64_t revision{100};
  std::vector<std::unique_ptr<listener>> doors;
};

/// \brief One machine of the system: its settings and its process.
struct machine {
  std::string name;
  std::string zone;
  std::string ip;
  address front;
  address ready;
  address directory;
  int first_internal_port{0};
  address store_at;
  std::string settings_file;
  std::string log_file;
  pid_t process{0};

  [[nodiscard]] std::string region() const { return this->zone.substr(0, this->zone.find('-')); }
};

/// \brief The machines of a small deployment: settings as in its site file, on loopback addresses.
class fleet {
 public:
  fleet(std::string folder_in, store& registry_in) : folder{std::move(folder_in)}, registry{registry_in} {}
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;
  fleet(fleet&&) = delete;
  fleet& operator=(fleet&&) = delete;
  ~fleet() { this->kill_all(); }

  machine& add(const std::string& zone) {
    const auto number = this->machines.size() + 1;
    auto made = std::make_unique<machine>();
    made->name = "front-" + zone + '-' + std::to_string(number);
    made->zone = zone;
    // The project's port for metrics is fixed, so each machine has an address of its own.
    made->ip = "127." + std::to_string(getpid() / 250 % 250 + 1) + '.' + std::to_string(getpid() % 250 + 1) +
               '.' + std::to_string(number);
    const int ports = first_free_ports(made->ip);
    made->front = {made->ip, ports};
    made->ready = {made->ip, ports + 1};
    made->directory = {made->ip, ports + 2};
    made->first_internal_port = ports + 3;
    made->store_at = this->registry.add_door();
    made->settings_file = this->folder + '/' + made->name + ".toml";
    made->log_file = this->folder + '/' + made->name + ".log";
    this->machines.push_back(std::move(made));
    return *this->machines.back();
  }
  [[nodiscard]] const std::vector<std::unique_ptr<machine>>& all() const noexcept { return this->machines; }

  void start(machine& started) const {
    this->write_settings(started);
    const std::string settings = "ZINNIAFIELD_CONFIG=" + started.settings_file;
    const pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(started.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      std::string path = "PATH=/usr/bin:/bin";
      std::string lang = "LANG=C";
      std::string variable = settings;
      std::string program = "target/zinniad";
      std::string option = "--tree";
      std::string tree = "deploy/tree.yaml";
      char* arguments[] = {program.data(), option.data(), tree.data(), nullptr};
      char* variables[] = {path.data(), lang.data(), variable.data(), nullptr};
      execve(arguments[0], arguments, variables);
      _exit(127);
    }
    started.process = child;
  }
  static void signal(machine& target, int number) {
    if (target.process > 0) {
      kill(target.process, number);
    }
  }
  /// \brief True if the process has ended.
  [[nodiscard]] static bool has_ended(machine& target) {
    if (target.process > 0 && waitpid(target.process, nullptr, WNOHANG) == target.process) {
      target.process = 0;
    }
    return target.process == 0;
  }
  static void kill_now(machine& target) {
    if (target.process > 0) {
      kill(target.process, SIGKILL);
      waitpid(target.process, nullptr, 0);
      target.process = 0;
    }
  }
  void kill_all() {
    for (const auto& each : this->machines) {
      kill_now(*each);
    }
  }
  [[nodiscard]] static bool is_ready(const machine& asked) {
    const auto connection = connect_to(asked.ready, milliseconds{300});
    if (connection == nullptr ||
        !connection->write("GET /zinniafield/readiness HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return false;
    }
    const auto answer = connection->read(steady::now() + milliseconds{500});
    return answer && answer->status() == 200;
  }
  [[nodiscard]] bool wait_ready(milliseconds within) const {
    const auto until = steady::now() + within;
    while (steady::now() < until) {
      if (std::all_of(this->machines.begin(), this->machines.end(),
                      [](const auto& each) { return is_ready(*each); })) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds{100});
    }
    return false;
  }
  /// \brief Resident memory in MiB; 0 if it cannot be read.
  [[nodiscard]] static std::int64_t memory_mib(const machine& target) {
    std::ifstream file{"/proc/" + std::to_string(target.process) + "/statm"};
    std::int64_t total = 0;
    std::int64_t resident = 0;
    file >> total >> resident;
    constexpr std::int64_t mib = 1 << 20;
    return resident * sysconf(_SC_PAGESIZE) / mib;
  }

  static constexpr std::int64_t memory_limit_mib = 260;

 private:
  /// Returns the first of some free ports in a row.
  [[nodiscard]] static int first_free_ports(const std::string& ip) {
    constexpr int wanted = 20;
    for (int first = 7000;; first += wanted) {
      try {
        for (int port = first; port < first + wanted; ++port) {
          const listener free{{ip, port}};
        }
        return first;
      } catch (const std::runtime_error&) {
        // One of them is in use.
        continue;
      }
    }
  }

  void write_settings(const machine& of) const {
    std::ofstream file{of.settings_file, std::ios::trunc};
    const auto first_port = of.first_internal_port;
    file
        << "node = \"" << of.name << "\"\nrole = \"entry\"\nmachineClass = \"front\"\n"
        << "serves = [\"front\",\"directory\"]\nip = \"" << of.ip << "\"\nzone = \"" << of.zone
        << "\"\nregion = \"" << of.region() << "\"\ninternalPorts = [" << first_port << ',' << first_port + 15
        << "]\nseeds = []\nbootstrap = false\ncountsAsLoss = false\ndiscovery = \"platform\"\n"
        << "entry = \"directory\"\nheartbeatMs = 1500\n"
        << "contracts = "
           "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"platform\"]\n"
        << "[zones]\nklang-a = \"klang\"\npenang-a = \"penang\"\nkuching-a = \"kuching\"\n"
        << "klang-b = \"klang\"\npenang-b = \"penang\"\nkuching-b = \"kuching\"\n"
        << "[listen]\nfront = \"" << of.front.text() << "\"\nready = \"" << of.ready.text()
        << "\"\ndirectory = \"" << of.directory.text() << "\"\n"
        << "[limits]\ncpuShare = 0.2\ncores = 1\nmemoryMb = " << memory_limit_mib
        << "\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
        << "[faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n"
        << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 4000\nackMs = 5000\ncatchUpS = 4\n"
        << "drainMs = 2500\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2500\nrollbackSlackMs = 250\n"
        << "maxSkewMs = 6000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 58\n"
        << "coldOverage = 1.5\ncoldSlack = 5\nevacuationMs = 5000\nrecoveryS = 15\nttl_max_s = 5\nmaxShift = "
           "0.15\n"
        << "[platform]\naddress = \"" << of.store_at.text()
        << "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n"
        << "ttlMinMs = 1000\n";
  }

  std::string folder;
  store& registry;
  std::vector<std::unique_ptr<machine>> machines;
};

/// \brief Lines with the time since the start of the scene; written as they come.
class record {
 public:
  explicit record(const std::string& file_name) : file{file_name, std::ios::trunc} {}

  void line(const std::string& text) {
    const std::lock_guard lock{this->mutex};
    this->file << this->elapsed_ms() << " ms  " << text << '\n' << std::flush;
  }
  [[nodiscard]] std::int64_t elapsed_ms() const {
    return std::chrono::duration_cast<milliseconds>(steady::now() - this->began).count();
  }

 private:
  std::mutex mutex;
  std::ofstream file;
  steady::time_point began{steady::now()};
};

}  // namespace review
