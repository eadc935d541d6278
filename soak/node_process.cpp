// Starts nodes with posix_spawn and reaps them with waitpid.
#include "node_process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <thread>
#include <vector>

namespace zinnia::soak {
namespace impl {
namespace {

constexpr std::chrono::milliseconds exit_poll_interval{10};
constexpr int log_file_mode = 0644;

[[nodiscard]] std::string format_endpoint(const std::string& ip, std::uint16_t port) {
  return ip + ':' + std::to_string(port);
}

/// Returns an address in 127.0.0.0/8 derived from the process id, so that concurrent soak runs use different
/// addresses.
[[nodiscard]] std::string node_loopback_address(int node_index) {
  constexpr int octet_values = 250;
  const int process_id = getpid();
  return "127." + std::to_string(1 + process_id / octet_values % octet_values) + '.' +
         std::to_string(1 + process_id % octet_values) + '.' + std::to_string(1 + node_index);
}

/// Returns the texts as the system takes them: pointers, and a null pointer at the end.
[[nodiscard]] std::vector<char*> as_pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (auto& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

/// Returns true if the process has a handler for the signal, or holds it back. A process that blocks all
/// signals does so for a moment before `main`, while the log library starts its threads.
[[nodiscard]] bool handles_signal(pid_t pid, int number) {
  std::ifstream status{"/proc/" + std::to_string(pid) + "/status"};
  const auto contains = [](const std::string& line, std::size_t name_size, int which) {
    constexpr int hexadecimal = 16;
    return (std::strtoull(line.c_str() + name_size, nullptr, hexadecimal) >> (which - 1) & 1) != 0;
  };
  for (std::string line; std::getline(status, line);) {
    for (const std::string name : {"SigCgt:", "SigBlk:"}) {
      if (line.starts_with(name) && contains(line, name.size(), number) &&
          !contains(line, name.size(), SIGUSR1)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace
}  // namespace impl

node_ports find_free_ports(int node_index) {
  node_ports ports;
  ports.ip = impl::node_loopback_address(node_index);
  std::vector<int> sockets;
  for (auto* const port : {&ports.caller_port, &ports.readiness_port, &ports.directory_port,
                           &ports.operator_port, &ports.peer_port}) {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockets.push_back(descriptor);
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    inet_pton(AF_INET, ports.ip.c_str(), &socket_address.sin_addr);
    socklen_t size = sizeof socket_address;
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&socket_address), size) == 0 &&
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&socket_address), &size) == 0) {
      *port = ntohs(socket_address.sin_port);
    }
  }
  for (const int descriptor : sockets) {
    close(descriptor);
  }
  return ports;
}

node_process::~node_process() {
  this->signal(SIGKILL);
  constexpr int kill_timeout_ms = 60'000;
  static_cast<void>(this->wait_for_exit(kill_timeout_ms));
}

std::vector<std::string> node_process::arguments() const {
  const auto& launch = this->launch_options;
  const auto& ports = launch.ports;
  const bool is_large = launch.is_large;
  std::vector<std::string> texts{launch.program};
  if (!launch.settings_file.empty()) {
    return texts;
  }
  for (const auto& [option, value] : std::vector<std::pair<const char*, std::string>>{
           {"--node", launch.name},
           {"--region", launch.region},
           {"--domain", launch.failure_domain},
           {"--store", impl::format_endpoint("127.0.0.1", launch.store_port)},
           {"--listen-callers", impl::format_endpoint(ports.ip, ports.caller_port)},
           {"--listen-ready", impl::format_endpoint(ports.ip, ports.readiness_port)},
           {"--listen-directory", impl::format_endpoint(ports.ip, ports.directory_port)},
           {"--listen-operators", impl::format_endpoint(ports.ip, ports.operator_port)},
           {"--peer-port", std::to_string(ports.peer_port)},
           {"--stop-limit-ms", std::to_string(launch.stop_limit_ms)},
           {"--cpu-milli", is_large ? "1000" : "100"},
           {"--link-kbit", is_large ? "1000000" : "10000"}}) {
    texts.insert(texts.end(), {option, value});
  }
  return texts;
}

void node_process::start() {
  auto argument_texts = this->arguments();
  const auto arguments = impl::as_pointers(argument_texts);
  std::vector<std::string> variable_texts;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    variable_texts.emplace_back(*variable);
  }
  if (!this->launch_options.settings_file.empty()) {
    variable_texts.push_back("ZINNIAFIELD_CONFIG=" + this->launch_options.settings_file);
  }
  const auto variables = impl::as_pointers(variable_texts);
  const absl::MutexLock lock{&this->mutex};
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO, this->launch_options.log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, impl::log_file_mode);
  posix_spawn_file_actions_adddup2(&file_actions, STDOUT_FILENO, STDERR_FILENO);
  // Else the connections of callers and proxies stay open until the node ends.
  posix_spawn_file_actions_addclosefrom_np(&file_actions, STDERR_FILENO + 1);
  const int spawn_error = posix_spawn(&this->pid, this->launch_options.program.c_str(), &file_actions,
                                      nullptr, arguments.data(), variables.data());
  posix_spawn_file_actions_destroy(&file_actions);
  if (spawn_error != 0) {
    std::cerr << "soak: " << this->launch_options.program << ": " << std::strerror(spawn_error) << '\n';
    this->pid = -1;
  }
}

void node_process::signal(int number) const {
  const absl::MutexLock lock{&this->mutex};
  if (this->pid > 0) {
    kill(this->pid, number);
  }
}

bool node_process::wait_until_handled(int number, int timeout_ms) const {
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds{timeout_ms};
  while (std::chrono::steady_clock::now() < end) {
    {
      const absl::MutexLock lock{&this->mutex};
      if (this->pid <= 0 || impl::handles_signal(this->pid, number)) {
        return true;
      }
    }
    std::this_thread::sleep_for(impl::exit_poll_interval);
  }
  return false;
}

std::optional<int> node_process::wait_for_exit(int timeout_ms) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds{timeout_ms};
  while (true) {
    {
      const absl::MutexLock lock{&this->mutex};
      int status = 0;
      if (this->pid <= 0) {
        return 0;
      }
      if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
        this->pid = -1;
        return status;
      }
    }
    if (std::chrono::steady_clock::now() >= end) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(impl::exit_poll_interval);
  }
}

}  // namespace zinnia::soak
