// The commands of zinniactl.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "store_session.hpp"
#include "zinnia/membership/member_table.hpp"
#include "zinnia/settings/settings_tree.hpp"

namespace zinnia {

/// \brief Exit codes; stable, and written down in docs/operating/zinniactl.md.
enum class exit_code : int {
  ok = 0,
  failed = 1,
  bad_input = 2,
  conflict = 3,
  not_found = 4,
  unknown = 6,
};

/// \brief What the command line gave.
struct command_options {
  /// The platform's store, as "ip:port".
  std::string store;
  bool as_json{false};
  std::vector<std::string> words;
  std::string author;
  std::string file;
  std::string service;
  std::string region;
  std::string domain;
  std::string from;
  std::string to;
  std::string start{"now"};
  std::int64_t percent{100};
  std::int64_t expect_version{-1};
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
  explicit command_runner(command_options given);

  /// \brief Runs the command named by the first word.
  [[nodiscard]] exit_code run();

 private:
  using handler = exit_code (command_runner::*)();
  struct command_entry {
    const char* name;
    handler run;
    std::size_t least_words;
  };
  static const std::vector<command_entry>& table();

  // Settings.
  [[nodiscard]] exit_code plan();
  [[nodiscard]] exit_code apply();
  [[nodiscard]] exit_code show();
  [[nodiscard]] exit_code drain();
  [[nodiscard]] exit_code move();
  [[nodiscard]] exit_code cancel_shift();
  [[nodiscard]] std::optional<stored_settings> load();
  [[nodiscard]] exit_code write(const stored_settings& base, settings_document changed);
  [[nodiscard]] exit_code report_conflict(const settings_document& base, const settings_document& mine,
                                          const write_result& refused);
  [[nodiscard]] exit_code add_shift(shift_intent shift);
  [[nodiscard]] std::optional<settings_document> read_file(const settings_document& base);
  void print_changes(const std::string& title, const settings_document& before,
                     const settings_document& after);

  // Running nodes.
  [[nodiscard]] std::optional<std::vector<member>> nodes();
  [[nodiscard]] exit_code status();
  [[nodiscard]] exit_code fate();

  void complain(const std::string& message) const;

  command_options options;
  store_session store;
};

}  // namespace zinnia
