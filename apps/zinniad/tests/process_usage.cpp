// Reads /proc at short intervals.
#include "process_usage.hpp"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace zinnia::testing_support {
namespace impl {
namespace {

constexpr std::chrono::milliseconds sample_interval{20};
constexpr std::uint64_t bytes_per_kb = 1024;
constexpr int hexadecimal = 16;

[[nodiscard]] std::string proc_path(pid_t pid, const char* name) {
  return absl::StrCat("/proc/", pid, "/", name);
}

/// Formats an address as /proc/net/tcp does: as a number in the byte order of this machine.
[[nodiscard]] std::string proc_address(const std::string& ip) {
  in_addr parsed{};
  inet_pton(AF_INET, ip.c_str(), &parsed);
  std::string text = absl::StrCat(absl::Hex(parsed.s_addr, absl::kZeroPad8));
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char digit) { return static_cast<char>(std::toupper(digit)); });
  return text + ':';
}

}  // namespace
}  // namespace impl

process_usage::process_usage(pid_t pid_in, const std::string& ip_in)
    : pid{pid_in}, local_address{impl::proc_address(ip_in)}, thread{[this] {
        while (!this->stopping) {
          this->sample();
          std::this_thread::sleep_for(impl::sample_interval);
        }
      }} {}

process_usage::~process_usage() {
  this->stopping = true;
  this->thread.join();
}

std::uint64_t process_usage::peak_memory() const {
  return std::max(this->memory.load(), this->status_bytes("VmHWM:"));
}

bool process_usage::is_alive() const {
  const auto state = this->status_field("State:");
  return !state.empty() && state.find("zombie") == std::string::npos;
}

std::string process_usage::status_field(const std::string& name) const {
  std::ifstream status{impl::proc_path(this->pid, "status")};
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(name)) {
      return line.substr(name.size());
    }
  }
  return {};
}

std::uint64_t process_usage::status_bytes(const std::string& name) const {
  return std::strtoull(this->status_field(name).c_str(), nullptr, 10) * impl::bytes_per_kb;
}

std::uint64_t process_usage::unread_bytes() const {
  std::ifstream sockets{impl::proc_path(this->pid, "net/tcp")};
  std::uint64_t sum = 0;
  for (std::string line; std::getline(sockets, line);) {
    std::istringstream fields{line};
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    // The queue of a listening socket counts connections.
    if (local.starts_with(this->local_address) && state != "0A") {
      sum += std::strtoull(queues.substr(queues.find(':') + 1).c_str(), nullptr, impl::hexadecimal);
    }
  }
  return sum;
}

void process_usage::sample() {
  const auto now = this->status_bytes("VmRSS:") + this->unread_bytes();
  this->memory = std::max(this->memory.load(), now);
  std::error_code ignored;
  const std::filesystem::directory_iterator open{impl::proc_path(this->pid, "fd"), ignored};
  const auto count = static_cast<std::uint64_t>(std::distance(begin(open), end(open)));
  this->descriptors = std::max(this->descriptors.load(), count);
}

}  // namespace zinnia::testing_support
