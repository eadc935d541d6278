// Measures the memory and the descriptors of a process while it runs.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace zinnia::testing_support {

/// \brief   Samples a process until destroyed, and keeps the largest values.
/// \details Bytes that sockets at the process's address have received and the process has not read count as
///          its memory.
class process_usage {
 public:
  /// \param ip_in The address that only this process listens on.
  process_usage(pid_t pid_in, const std::string& ip_in);
  process_usage(const process_usage&) = delete;
  process_usage& operator=(const process_usage&) = delete;
  process_usage(process_usage&&) = delete;
  process_usage& operator=(process_usage&&) = delete;
  ~process_usage();

  /// \brief The largest memory so far, in bytes.
  [[nodiscard]] std::uint64_t peak_memory() const;
  /// \brief The largest number of open descriptors so far.
  [[nodiscard]] std::uint64_t peak_descriptors() const noexcept { return this->descriptors; }
  /// \brief True if the process runs and has not become a zombie.
  [[nodiscard]] bool is_alive() const;

 private:
  void sample();
  /// Returns a field of /proc/PID/status, or an empty text.
  [[nodiscard]] std::string status_field(const std::string& name) const;
  /// Returns a field that is a size, in bytes, or 0.
  [[nodiscard]] std::uint64_t status_bytes(const std::string& name) const;
  [[nodiscard]] std::uint64_t unread_bytes() const;

  pid_t pid;
  // As in /proc/net/tcp.
  std::string local_address;
  std::atomic<std::uint64_t> memory{0};
  std::atomic<std::uint64_t> descriptors{0};
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace zinnia::testing_support
