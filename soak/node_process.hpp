// A zinniad process of the soak: started, signalled and waited for by its id.
#pragma once

#include <absl/synchronization/mutex.h>
#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>

namespace zinnia::soak {

/// \brief   Where a node listens.
/// \details Each node has a loopback address of its own: connections that others make come from 127.0.0.1 and
///          cannot take its ports while it is down.
struct node_ports {
  std::string ip;
  std::uint16_t callers{0};
  std::uint16_t readiness{0};
  std::uint16_t directory{0};
  std::uint16_t operators{0};
  /// TCP and UDP.
  std::uint16_t peers{0};
};

/// \brief An address for a node of this process, and five ports that the kernel found free there.
[[nodiscard]] node_ports pick_ports(int node);

struct node_start {
  std::string program;
  std::string name;
  std::string region;
  std::string domain;
  /// Larger nodes serve, others stand by.
  bool is_large{true};
  node_ports ports;
  std::uint16_t store_port{0};
  std::string log_file;
};

/// \brief Any thread.
class node_process {
 public:
  explicit node_process(node_start how_in) : how{std::move(how_in)} {}
  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;
  node_process(node_process&&) = delete;
  node_process& operator=(node_process&&) = delete;
  /// \brief Kills the process if it runs.
  ~node_process();

  void start();
  void signal(int number) const;
  /// \brief   Waits for the process to end.
  /// \returns Its exit status as of `waitpid`, or nothing if it still runs after the limit.
  [[nodiscard]] std::optional<int> wait(int limit_ms);
  [[nodiscard]] const node_start& started() const noexcept { return this->how; }

 private:
  node_start how;
  // Guards the id, so that no signal goes to an id that the process no longer has.
  mutable absl::Mutex mutex;
  pid_t pid ABSL_GUARDED_BY(mutex){-1};
};

}  // namespace zinnia::soak
