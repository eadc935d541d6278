// Starts entry processes with the command of the deploy file, and stands in for the platform that runs them.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform_store.hpp"
#include "record.hpp"

namespace review {

/// \name Statuses of a case
/// \{
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;
/// \}

/// \brief A temporary folder that is removed with the object.
class temporary_folder {
 public:
  temporary_folder();
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  temporary_folder(temporary_folder&&) = delete;
  temporary_folder& operator=(temporary_folder&&) = delete;
  ~temporary_folder();
  [[nodiscard]] const std::string& path() const noexcept { return this->folder; }
  void remove() const;

 private:
  std::string folder;
};

/// \brief The bounds and limits of the settings file, as the site file has them.
struct site_settings {
  std::map<std::string, std::string> zones;
  /// Lines of the table `bounds`.
  std::string bounds;
  int memory_mb{260};
};

/// \brief The bounds of brekke-tp.
inline const std::string brekke_bounds =
    "seedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2500\n"
    "graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2500\nrollbackSlackMs = 250\nmaxSkewMs = 5000\n"
    "retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 58\ncoldOverage = 1.5\ncoldSlack = 5\n"
    "evacuationMs = 5000\nrecoveryS = 15\nttl_max_s = 5\nmaxShift = 0.15\n";

struct entry_place {
  std::string name;
  std::string zone;
  std::string region;
  std::string ip;
};

/// \brief One entry process. Ended with the object.
class entry_process {
 public:
  static constexpr std::uint16_t front_port = 8144;
  static constexpr std::uint16_t ready_port = 8140;

  entry_process(entry_place place_in, const site_settings& site, const platform_store& store,
                const temporary_folder& folder);
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;
  entry_process(entry_process&&) = delete;
  entry_process& operator=(entry_process&&) = delete;
  ~entry_process();

  void start();
  void signal(int number) const;
  /// \brief Waits for the end of the process and returns true if it has ended within the time.
  [[nodiscard]] bool wait_for_end(std::chrono::milliseconds limit);
  [[nodiscard]] bool is_running();
  [[nodiscard]] bool is_ready() const;
  /// \brief Resident memory in MB (10^6 bytes).
  [[nodiscard]] double resident_mb() const;
  [[nodiscard]] const entry_place& place() const noexcept { return this->where; }

 private:
  entry_place where;
  std::string settings_file;
  std::string log_file;
  pid_t process{0};
};

/// \brief A rule of the configuration: one prefix of the host.
struct route_rule {
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms{1500};
};

constexpr auto caller_host = "ficu95.example";

/// \brief Returns the object `config/main`.
[[nodiscard]] nlohmann::json make_configuration(const std::vector<route_rule>& routes,
                                                const std::vector<std::string>& services);

/// \brief Returns an address in 127.0.0.0/8 for each of `count` machines, on which nothing listens yet.
[[nodiscard]] std::vector<std::string> free_loopback_addresses(std::size_t count);

/// \brief Waits until all entries are ready; false if they are not within 20 s.
[[nodiscard]] bool wait_until_ready(const std::vector<std::unique_ptr<entry_process>>& entries);

/// \brief Ends the entries and then the program, without the destructors of objects that threads still use.
[[noreturn]] void end_case(int status, std::vector<std::unique_ptr<entry_process>>& entries,
                           const temporary_folder& folder);

/// \brief Returns true unless the environment has TROUBLE=0.
[[nodiscard]] bool is_trouble_wanted();

/// \brief Ends the program with status 2 if the case takes too long. Entries end with the program.
void limit_run_time();

}  // namespace review
