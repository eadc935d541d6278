// What a node needs to know of the outside that it is deployed in; an adapter implements it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinnia/core/result.hpp"
#include "zinnia/gateway/wire_dialect.hpp"
#include "zinnia/http/caller_connection.hpp"
#include "zinnia/node/node_settings.hpp"
#include "zinnia/routing/snapshot_builder.hpp"
#include "zinnia/store/store_protocol.hpp"

namespace zinnia {

/// \brief The operators' configuration.
struct configuration {
  routing_declaration routing;
  caller_limits limits;
};

/// \brief   The outside's names and formats, decoded into this project's types.
/// \details Called from both threads of a node; implementations hold no state that changes.
class deployment {
 public:
  deployment() = default;
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;
  deployment(deployment&&) = delete;
  deployment& operator=(deployment&&) = delete;
  virtual ~deployment() = default;

  [[nodiscard]] virtual const store_protocol& store() const = 0;
  [[nodiscard]] virtual wire_dialect dialect() const = 0;

  /// \name Kinds of objects in the store, and their documents
  /// \{
  [[nodiscard]] virtual const char* configuration_kind() const = 0;
  [[nodiscard]] virtual const char* backend_kind() const = 0;
  /// \brief Each object's name is a failure domain that must get nothing.
  [[nodiscard]] virtual const char* evacuation_kind() const = 0;
  /// \brief Nothing for objects that are not the configuration.
  [[nodiscard]] virtual std::optional<result<configuration>> decode_configuration(
      const stored_object& object) const = 0;
  /// \brief Anyone may have written the entry; an error says what is wrong with it.
  [[nodiscard]] virtual result<backend_declaration> decode_backend(const stored_object& object,
                                                                   time_point now) const = 0;
  /// \}

  /// \name The directory
  /// \{
  /// \brief The caller's place if the request asks for addresses, else nothing.
  [[nodiscard]] virtual std::optional<location> directory_question(const request_head& head) const = 0;
  /// \brief The answer's body, in JSON.
  [[nodiscard]] virtual std::string directory_answer(const std::vector<std::string>& addresses,
                                                     duration life) const = 0;
  /// \}

  /// \brief Reads the settings again after they changed; nothing if there is no file.
  [[nodiscard]] virtual std::optional<result<node_settings>> reread_settings() const = 0;
  /// \brief A number that differs after the settings changed.
  [[nodiscard]] virtual std::int64_t settings_stamp() const = 0;
};

}  // namespace zinnia
