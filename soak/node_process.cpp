// posix_spawn and waitpid.
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
#include <cstring>
#include <iostream>
#include <thread>
#include <vector>

namespace zinnia::soak {
namespace impl {
namespace {

constexpr std::chrono::milliseconds wait_poll{10};
constexpr int read_write = 0644;

[[nodiscard]] std::string address(const std::string& ip, std::uint16_t port) {
  return ip + ':' + std::to_string(port);
}

/// An address in 127.0.0.0/8 that no other soak running now uses.
[[nodiscard]] std::string address_of(int node) {
  constexpr int octet = 250;
  const int process = getpid();
  return "127." + std::to_string(1 + process / octet % octet) + '.' + std::to_string(1 + process % octet) +
         '.' + std::to_string(1 + node);
}

}  // namespace
}  // namespace impl

node_ports pick_ports(int node) {
  node_ports ports;
  ports.ip = impl::address_of(node);
  std::vector<int> held;
  for (auto* const port :
       {&ports.callers, &ports.readiness, &ports.directory, &ports.operators, &ports.peers}) {
    const int one = socket(AF_INET, SOCK_STREAM, 0);
    held.push_back(one);
    sockaddr_in any{};
    any.sin_family = AF_INET;
    inet_pton(AF_INET, ports.ip.c_str(), &any.sin_addr);
    socklen_t size = sizeof any;
    if (bind(one, reinterpret_cast<const sockaddr*>(&any), size) == 0 &&
        getsockname(one, reinterpret_cast<sockaddr*>(&any), &size) == 0) {
      *port = ntohs(any.sin_port);
    }
  }
  for (const int one : held) {
    close(one);
  }
  return ports;
}

node_process::~node_process() {
  this->signal(SIGKILL);
  constexpr int kill_limit_ms = 60'000;
  static_cast<void>(this->wait(kill_limit_ms));
}

void node_process::start() {
  const auto& ports = this->how.ports;
  std::vector<std::string> words{this->how.program,
                                 "--node",
                                 this->how.name,
                                 "--region",
                                 this->how.region,
                                 "--domain",
                                 this->how.domain,
                                 "--store",
                                 impl::address("127.0.0.1", this->how.store_port),
                                 "--listen-callers",
                                 impl::address(ports.ip, ports.callers),
                                 "--listen-ready",
                                 impl::address(ports.ip, ports.readiness),
                                 "--listen-directory",
                                 impl::address(ports.ip, ports.directory),
                                 "--listen-operators",
                                 impl::address(ports.ip, ports.operators),
                                 "--peer-port",
                                 std::to_string(ports.peers),
                                 "--cpu-milli",
                                 this->how.is_large ? "1000" : "100",
                                 "--link-kbit",
                                 this->how.is_large ? "1000000" : "10000"};
  std::vector<char*> arguments;
  for (auto& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const absl::MutexLock lock{&this->mutex};
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, this->how.log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, impl::read_write);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  const int failed =
      posix_spawn(&this->pid, this->how.program.c_str(), &files, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (failed != 0) {
    std::cerr << "soak: " << this->how.program << ": " << std::strerror(failed) << '\n';
    this->pid = -1;
  }
}

void node_process::signal(int number) const {
  const absl::MutexLock lock{&this->mutex};
  if (this->pid > 0) {
    kill(this->pid, number);
  }
}

std::optional<int> node_process::wait(int limit_ms) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds{limit_ms};
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
    std::this_thread::sleep_for(impl::wait_poll);
  }
}

}  // namespace zinnia::soak
