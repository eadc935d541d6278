// The commands of zinniactl. Each invocation runs one command and ends with its exit code.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "store_client.hpp"
#include "zinnia/membership/member_table.hpp"
#include "zinnia/settings/settings_tree.hpp"

namespace zinnia {

/// \brief Exit codes. They are stable and documented in docs/operating/zinniactl.md.
enum class exit_code : int {
  ok = 0,
  failed = 1,
  bad_input = 2,
  conflict = 3,
  not_found = 4,
  unknown = 6,
};

/// \brief The parsed command line.
struct command_options {
  /// Address of the platform's store, as "ip:port".
  std::string store;
  bool as_json{false};
  /// The command's name, followed by its arguments.
  std::vector<std::string> arguments;
  std::string author;
  std::string file;
  std::string service;
  std::string region;
  std::string domain;
  std::string from_region;
  std::string to_region;
  /// The one node that `servers` asks; empty asks all.
  std::string node;
  /// "now" or milliseconds since 1970.
  std::string start{"now"};
  std::int64_t percent{100};
  /// Version that the settings must be at for `apply`; -1 accepts the version that it reads.
  std::int64_t expected_version{-1};
};

/// \brief The stored settings and their version.
struct stored_settings {
  object_version version;
  settings_document document;
  std::optional<settings_tree> tree;
};

/// \brief One invocation of zinniactl.
class command_runner {
 public:
  explicit command_runner(command_options command);

  /// \brief Runs the command that the first argument names.
  [[nodiscard]] exit_code run();

 private:
  using handler = exit_code (command_runner::*)();
  struct command_entry {
    const char* name;
    handler run;
    /// Includes the command's name.
    std::size_t argument_count;
  };
  static const std::vector<command_entry>& command_table();

  // Commands that read or edit the settings.
  [[nodiscard]] exit_code plan();
  [[nodiscard]] exit_code apply();
  [[nodiscard]] exit_code show();
  [[nodiscard]] exit_code drain();
  [[nodiscard]] exit_code move();
  [[nodiscard]] exit_code cancel_shift();
  [[nodiscard]] std::optional<stored_settings> load_settings();
  [[nodiscard]] exit_code write_settings(const stored_settings& base, settings_document changed);
  [[nodiscard]] exit_code report_conflict(const settings_document& base, const settings_document& mine,
                                          const write_result& refused);
  [[nodiscard]] exit_code add_shift(shift_intent shift);
  [[nodiscard]] std::optional<settings_document> read_settings_file(const settings_document& base);
  void print_changes(const std::string& title, const settings_document& before,
                     const settings_document& after);

  // Commands that query the running nodes.
  [[nodiscard]] std::optional<std::vector<member>> registered_nodes();
  [[nodiscard]] exit_code status();
  [[nodiscard]] exit_code servers();
  [[nodiscard]] exit_code fate();

  void print_error(const std::string& message) const;

  command_options options;
  store_client store;
};

}  // namespace zinnia
