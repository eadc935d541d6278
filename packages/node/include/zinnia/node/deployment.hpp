// The interface between a node and the platform it is deployed on; a platform adapter implements it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinnia/core/result.hpp"
#include "zinnia/gateway/header_field_names.hpp"
#include "zinnia/http/caller_connection.hpp"
#include "zinnia/node/node_settings.hpp"
#include "zinnia/routing/snapshot_builder.hpp"
#include "zinnia/store/store_protocol.hpp"

namespace zinnia {

/// \brief The configuration that operators keep in the store.
struct configuration {
  routing_declaration routing;
  caller_limits limits;
};

/// \brief   Decodes the platform's names and formats into this project's types.
/// \details Called from both threads of a node, so implementations must have no mutable state.
class deployment {
 public:
  deployment() = default;
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;
  deployment(deployment&&) = delete;
  deployment& operator=(deployment&&) = delete;
  virtual ~deployment() = default;

  [[nodiscard]] virtual const store_protocol& store() const = 0;
  [[nodiscard]] virtual header_field_names field_names() const = 0;

  /// \name Object kinds in the store and their documents
  /// \{
  [[nodiscard]] virtual const char* configuration_kind() const = 0;
  [[nodiscard]] virtual const char* backend_kind() const = 0;
  /// \brief The kind whose object names are the evacuated failure domains, which must receive no requests.
  [[nodiscard]] virtual const char* evacuation_kind() const = 0;
  /// \brief   Decodes the configuration object.
  /// \returns `nullopt` for any other object of this kind.
  [[nodiscard]] virtual std::optional<result<configuration>> decode_configuration(
      const stored_object& object) const = 0;
  /// \brief Decodes a backend server's entry. Entries are untrusted; the error says what is wrong.
  [[nodiscard]] virtual result<backend_declaration> decode_backend(const stored_object& object,
                                                                   time_point now) const = 0;
  /// \}

  /// \name The directory
  /// \{
  /// \brief The caller's location, or `nullopt` if the request is not a directory query.
  [[nodiscard]] virtual std::optional<location> parse_directory_query(const request_head& head) const = 0;
  /// \param lifetime How long the caller may cache the response.
  /// \returns        The response body, in JSON.
  [[nodiscard]] virtual std::string format_directory_response(const std::vector<std::string>& addresses,
                                                              duration lifetime) const = 0;
  /// \}

  /// \brief Reads the settings file again. Returns `nullopt` if the settings do not come from a file.
  [[nodiscard]] virtual std::optional<result<node_settings>> reread_settings() const = 0;
  /// \brief A number that changes whenever the settings file changes.
  [[nodiscard]] virtual std::int64_t settings_revision() const = 0;
};

}  // namespace zinnia
