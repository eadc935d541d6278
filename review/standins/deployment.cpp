// Processes, settings files and addresses.
#include "deployment.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>
#include <utility>

#include "http_io.hpp"

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr int directory_port = 8143;
constexpr int first_internal_port = 7660;
constexpr int last_internal_port = 7675;
/// The port of the entry's metrics, in the deploy file.
constexpr std::uint16_t metrics_port = 9464;
constexpr milliseconds poll_period{20};
constexpr double bytes_per_mb = 1e6;

[[nodiscard]] std::string settings_text(const entry_place& place, const site_settings& site,
                                        const std::string& store_address) {
  std::string text = "node = \"" + place.name + "\"\nrole = \"entry\"\nmachineClass = \"front\"\n" +
                     "serves = [\"front\",\"directory\"]\nip = \"" + place.ip + "\"\nzone = \"" + place.zone +
                     "\"\nregion = \"" + place.region + "\"\ninternalPorts = [" +
                     std::to_string(first_internal_port) + "," + std::to_string(last_internal_port) +
                     "]\nseeds = []\nbootstrap = true\ncountsAsLoss = true\ndiscovery = \"platform\"\n" +
                     "entry = \"directory\"\nheartbeatMs = 1500\n[zones]\n";
  for (const auto& [zone, region] : site.zones) {
    text += zone;
    text += " = \"" + region + "\"\n";
  }
  text += "[listen]\nfront = \"" + place.ip + ":" + std::to_string(entry_process::front_port) + "\"\n";
  text += "ready = \"" + place.ip + ":" + std::to_string(entry_process::ready_port) + "\"\n";
  text += "directory = \"" + place.ip + ":" + std::to_string(directory_port) + "\"\n";
  text += "[limits]\ncpuShare = 0.2\ncores = 1\nmemoryMb = " + std::to_string(site.memory_mb) +
          "\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n";
  text += "[bounds]\n" + site.bounds;
  text += "[platform]\naddress = \"" + store_address +
          "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n";
  return text;
}

}  // namespace

temporary_folder::temporary_folder() {
  auto name = (std::filesystem::temp_directory_path() / "zinnia-review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    std::exit(exit_not_run);
  }
  this->folder = name;
}

temporary_folder::~temporary_folder() {
  this->remove();
}

void temporary_folder::remove() const {
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

entry_process::entry_process(entry_place place_in, const site_settings& site, const platform_store& store,
                             const temporary_folder& folder)
    : where{std::move(place_in)},
      settings_file{folder.path() + "/" + this->where.name + ".toml"},
      log_file{folder.path() + "/" + this->where.name + ".log"} {
  std::ofstream{this->settings_file} << settings_text(this->where, site, store.address());
  this->start();
}

entry_process::~entry_process() {
  if (this->is_running()) {
    this->signal(SIGKILL);
    static_cast<void>(this->wait_for_end(milliseconds{5000}));
  }
}

void entry_process::start() {
  const auto settings_variable = "ZINNIAFIELD_CONFIG=" + this->settings_file;
  this->process = ::fork();
  if (this->process != 0) {
    return;
  }
  // The entry ends with this program, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = ::open(this->log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // The command of the deploy file.
  std::array<std::string, 3> words{"target/zinniad", "--tree", "deploy/tree.yaml"};
  const std::array<char*, 4> arguments{words[0].data(), words[1].data(), words[2].data(), nullptr};
  std::string settings_text_copy = settings_variable;
  std::string path = "PATH=/usr/local/bin:/usr/bin:/bin";
  const std::array<char*, 3> environment{settings_text_copy.data(), path.data(), nullptr};
  execve(words[0].c_str(), arguments.data(), environment.data());
  _exit(exit_not_run);
}

void entry_process::signal(int number) const {
  if (this->process > 0) {
    ::kill(this->process, number);
  }
}

bool entry_process::is_running() {
  if (this->process <= 0) {
    return false;
  }
  if (waitpid(this->process, nullptr, WNOHANG) == 0) {
    return true;
  }
  this->process = 0;
  return false;
}

bool entry_process::wait_for_end(milliseconds limit) {
  const auto until = steady::now() + limit;
  while (this->is_running()) {
    if (steady::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds{2});
  }
  return true;
}

bool entry_process::is_ready() const {
  const auto connection = tcp_socket::connect_to(this->where.ip, ready_port);
  constexpr int status_ok = 200;
  if (!connection.is_open() ||
      !connection.send_all("GET /zinniafield/readiness HTTP/1.1\r\nHost: entry\r\n\r\n")) {
    return false;
  }
  connection.set_receive_timeout(1000);
  message_reader reader{connection};
  const auto answer = reader.next();
  return answer && answer->status == status_ok;
}

double entry_process::resident_mb() const {
  std::ifstream file{"/proc/" + std::to_string(this->process) + "/statm"};
  double total_pages = 0;
  double resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_per_mb;
}

nlohmann::json make_configuration(const std::vector<route_rule>& routes,
                                  const std::vector<std::string>& services) {
  nlohmann::json rules = nlohmann::json::array();
  for (const auto& route : routes) {
    rules.push_back({{"name", "r" + std::to_string(rules.size())},
                     {"kind", route.kind},
                     {"targetLatencyMs", 250},
                     {"priority", 1},
                     {"sticky", false},
                     {"match", {{"pathPrefix", route.prefix}}},
                     {"action",
                      {{"service", route.service},
                       {"timeoutMs", route.timeout_ms},
                       {"maxAttempts", 2},
                       {"allowedRegions", nlohmann::json::array()}}}});
  }
  nlohmann::json clusters = nlohmann::json::array();
  for (const auto& service : services) {
    clusters.push_back({{"name", service},
                        {"healthPath", "/health"},
                        {"maxConnections", 330},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"coldStartS", 3.0},
                        {"coldPerS", 11.0}});
  }
  return {{"version", "00000007"},
          {"baseVersion", "00000005"},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"listeners", {{{"host", caller_host}, {"rules", rules}}}},
          {"clusters", clusters}};
}

std::vector<std::string> free_loopback_addresses(std::size_t count) {
  std::random_device source;
  std::uniform_int_distribution<int> octet{10, 250};
  std::vector<std::string> found;
  while (found.size() < count) {
    const auto ip = "127." + std::to_string(octet(source)) + "." + std::to_string(octet(source)) + "." +
                    std::to_string(octet(source));
    if (tcp_socket::listen_at(ip, entry_process::front_port).is_open() &&
        tcp_socket::listen_at(ip, metrics_port).is_open()) {
      found.push_back(ip);
    }
  }
  return found;
}

bool wait_until_ready(const std::vector<std::unique_ptr<entry_process>>& entries) {
  const auto until = steady::now() + milliseconds{20'000};
  for (const auto& entry : entries) {
    while (!entry->is_ready()) {
      if (steady::now() >= until) {
        return false;
      }
      std::this_thread::sleep_for(poll_period);
    }
  }
  // The entries hear of each other.
  std::this_thread::sleep_for(milliseconds{2000});
  return true;
}

void end_case(int status, std::vector<std::unique_ptr<entry_process>>& entries,
              const temporary_folder& folder) {
  entries.clear();
  folder.remove();
  std::cout.flush();
  _exit(status);
}

bool is_trouble_wanted() {
  const char* const wanted = std::getenv("TROUBLE");
  return wanted == nullptr || std::string{wanted} != "0";
}

void limit_run_time() {
  std::thread{[] {
    constexpr std::chrono::seconds limit{112};
    std::this_thread::sleep_for(limit);
    _exit(exit_not_run);
  }}.detach();
}

}  // namespace review
