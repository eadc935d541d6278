// In-memory stand-in for the platform's object store: versioned objects, watches and injected faults.
#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/threaded_http_server.hpp"

namespace zinnia::standins {

/// \brief Faults that the store injects until `platform_store::set_faults` is called again.
struct store_faults {
  /// HTTP status that every call fails with; 0 disables the fault.
  int error_status{0};
  /// Closes the connection of every call without a response.
  bool close_connections{false};
  /// Delay of every call in ms, after which its connection closes without a response; 0 disables the fault.
  int unresponsive_ms{0};
  /// Number of further writes that are handled but whose connections close without a response.
  int lost_responses{0};
  /// Watches return no events.
  bool suppress_watch_events{false};
};

/// \brief   Keeps objects in memory and serves them in the platform's HTTP format.
/// \details Thread safe. Lists return pages of at most `page_size` objects.
class platform_store {
 public:
  explicit platform_store(std::size_t page_size_in = 50) : page_size{page_size_in} {}

  /// \brief Handles one call to the store; a watch blocks until it has events or its wait is over.
  [[nodiscard]] server_response handle(const server_request& request);

  /// \name Direct changes, without the HTTP interface or faults
  /// \{
  void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  void erase(const std::string& kind, const std::string& name);
  /// \brief Stores a text that need not be JSON in place of an object's `spec`.
  void put_raw(const std::string& kind, const std::string& name, const std::string& text);
  /// \}

  void set_faults(const store_faults& faults_in);
  /// \brief Discards the change history; watches from an earlier revision get status 410.
  void discard_history();
  /// \brief Keeps a copy of all objects.
  void take_copy();
  /// \brief Returns to the copy: what was written since is gone, its revisions are given out again, and a
  ///        new era begins.
  void restore_copy();
  /// \brief Returns the number of calls handled so far, failed ones included.
  [[nodiscard]] std::int64_t calls() const;
  /// \brief Returns the number of calls so far that concern objects of a kind.
  [[nodiscard]] std::int64_t calls_for(const std::string& kind) const;
  [[nodiscard]] bool contains(const std::string& kind, const std::string& name) const;

 private:
  struct object {
    std::int64_t revision{0};
    /// Revision at which the object was created.
    std::int64_t created{0};
    /// JSON text, or any text if `put_raw` stored it.
    std::string spec;
  };
  struct change {
    std::int64_t revision{0};
    std::string kind;
    std::string name;
    /// The object after the change, or its last state if it was deleted.
    object value;
    bool deleted{false};
  };

  [[nodiscard]] server_response dispatch(const server_request& request);
  [[nodiscard]] server_response list(const std::string& kind, const server_request& request);
  [[nodiscard]] server_response watch(const std::string& kind, const server_request& request);
  [[nodiscard]] server_response write(const std::string& kind, const std::string& name,
                                      const server_request& request);
  [[nodiscard]] server_response apply_write(const std::string& kind, const std::string& name,
                                            const server_request& request);
  void put_locked(const std::string& kind, const std::string& name, const std::string& spec);
  void erase_locked(const std::string& kind, const std::string& name);
  [[nodiscard]] static std::string to_json(const std::string& name, const object& value);

  std::size_t page_size;
  mutable absl::Mutex mutex;
  /// Objects by kind and name.
  std::map<std::string, std::map<std::string, object>> objects_by_kind;
  /// Changes in ascending order of revision.
  std::deque<change> history;
  /// Latest revision; rises with each change and when the history is discarded.
  std::int64_t revision{1};
  /// Watches from an earlier revision than this one get status 410.
  std::int64_t oldest_watchable_revision{0};
  std::map<std::string, std::map<std::string, object>> copied_objects;
  std::int64_t copied_revision{0};
  /// Named in all responses.
  std::int64_t era{1};
  std::int64_t call_count{0};
  std::map<std::string, std::int64_t> calls_by_kind;
  store_faults faults;
};

}  // namespace zinnia::standins
