// Runs zinniad as a child process of the soak test: starts it, sends it signals and waits for its exit.
#pragma once

#include <absl/synchronization/mutex.h>
#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnia::soak {

/// \brief   The loopback address and the ports on which a node listens.
/// \details Each node has its own loopback address. Outgoing connections of other processes use 127.0.0.1 as
///          their source and so cannot occupy the node's ports while it is down.
struct node_ports {
  std::string ip;
  std::uint16_t caller_port{0};
  std::uint16_t readiness_port{0};
  std::uint16_t directory_port{0};
  std::uint16_t operator_port{0};
  /// For TCP and UDP.
  std::uint16_t peer_port{0};
};

/// \brief  Returns the address for a node of this soak run with five free ports, chosen by the kernel.
/// \param  node_index The number of the node within this run, from 0.
[[nodiscard]] node_ports find_free_ports(int node_index);

struct node_options {
  std::string program;
  std::string name;
  std::string region;
  std::string failure_domain;
  /// Large nodes serve callers, small ones stand by.
  bool is_large{true};
  node_ports ports;
  std::uint16_t store_port{0};
  /// Time from SIGTERM until the platform would kill the process.
  int stop_limit_ms{6000};
  std::string log_file;
  /// If set, the platform's settings file, which replaces all options above but the program's.
  std::string settings_file;
};

/// \brief A zinniad process. All methods are thread-safe.
class node_process {
 public:
  explicit node_process(node_options options_in) : launch_options{std::move(options_in)} {}
  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;
  node_process(node_process&&) = delete;
  node_process& operator=(node_process&&) = delete;
  /// \brief Kills the process if it is running and waits for its exit.
  ~node_process();

  void start();
  void signal(int number) const;
  /// \brief   Waits until the process handles the signal or holds it back, or has ended.
  /// \details Until then, in its first instructions, a signal ends the process.
  /// \returns False if it does not within `timeout_ms`.
  [[nodiscard]] bool wait_until_handled(int number, int timeout_ms) const;
  /// \brief   Waits for the process to end.
  /// \returns The status that `waitpid` reports (0 if no process is running), or nullopt if the process still
  ///          runs after `timeout_ms`.
  [[nodiscard]] std::optional<int> wait_for_exit(int timeout_ms);
  /// \brief The id of the running process, or -1.
  [[nodiscard]] pid_t process_id() const {
    const absl::MutexLock lock{&this->mutex};
    return this->pid;
  }
  [[nodiscard]] const node_options& options() const noexcept { return this->launch_options; }

 private:
  [[nodiscard]] std::vector<std::string> arguments() const;

  node_options launch_options;
  // Held while signalling and while reaping, so that no signal is sent to a process id that was reused.
  mutable absl::Mutex mutex;
  pid_t pid ABSL_GUARDED_BY(mutex){-1};
};

}  // namespace zinnia::soak
