// Stand-in for the platform's object store: objects, versions, watches, and faults on demand.
#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/threaded_http_server.hpp"

namespace zinnia::standins {

/// \brief What is wrong with the store for the moment.
struct store_faults {
  /// Refuses every call with this status; 0 for none.
  int error_status{0};
  /// Closes every connection without an answer.
  bool reset{false};
  /// Answers nothing for so long.
  int unresponsive_ms{0};
  /// Carries out so many further writes without answering them.
  int lost_responses{0};
  /// Watches hear of nothing.
  bool suppress_watch_events{false};
};

/// \brief   Keeps objects in memory and speaks the platform's HTTP form.
/// \details Thread safe. Lists come in pages of `page_size`.
class platform_store {
 public:
  explicit platform_store(std::size_t page_size_in = 50) : page_size{page_size_in} {}

  [[nodiscard]] server_response handle(const server_request& request);

  /// \name What an operator or a backend server does
  /// \{
  void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  void erase(const std::string& kind, const std::string& name);
  /// \brief Puts a raw text in place of the document, which need not be JSON.
  void put_raw(const std::string& kind, const std::string& name, const std::string& text);
  /// \}

  void set_faults(const store_faults& faults_in);
  /// \brief Drops the history; watches from before it get 410.
  void discard_history();
  [[nodiscard]] std::int64_t calls() const;
  /// \brief Calls so far that concern a kind.
  [[nodiscard]] std::int64_t calls_for(const std::string& kind) const;
  [[nodiscard]] bool contains(const std::string& kind, const std::string& name) const;

 private:
  struct object {
    std::int64_t revision{0};
    std::int64_t created{0};
    /// JSON text, or anything for raw entries.
    std::string spec;
  };
  struct change {
    std::int64_t revision{0};
    std::string kind;
    std::string name;
    object value;
    bool deleted{false};
  };

  [[nodiscard]] server_response list(const std::string& kind, const server_request& request);
  [[nodiscard]] server_response watch(const std::string& kind, const server_request& request);
  [[nodiscard]] server_response write(const std::string& kind, const std::string& name,
                                      const server_request& request);
  [[nodiscard]] server_response apply_write(const std::string& kind, const std::string& name,
                                            const server_request& request);
  void store(const std::string& kind, const std::string& name, const std::string& spec);
  void drop(const std::string& kind, const std::string& name);
  [[nodiscard]] static std::string to_text(const std::string& name, const object& value);

  std::size_t page_size;
  mutable absl::Mutex mutex;
  std::map<std::string, std::map<std::string, object>> kinds;
  std::deque<change> history;
  std::int64_t revision{1};
  std::int64_t oldest_watch{0};
  std::int64_t call_count{0};
  std::map<std::string, std::int64_t> calls_by_kind;
  store_faults faults;
};

}  // namespace zinnia::standins
