// The settings tree that operators write, parsed and validated as a whole.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "zinnia/core/result.hpp"
#include "zinnia/settings/declarations.hpp"
#include "zinnia/settings/service_settings.hpp"
#include "zinnia/settings/settings_document.hpp"

namespace zinnia {

/// \brief   An immutable, valid tree: failure domains inherit from regions, and regions from services.
///
/// \code
/// result<settings_tree> tree = settings_tree::parse(document, "kapur-jaya.yaml");
/// tree->effective(service_id{"crewdesk"}, region_id{"klang"}).values.queue_limit;
/// \endcode
class settings_tree {
 public:
  /// \brief  Parses and validates a whole document.
  /// \param  file_name Used only for the position in an error.
  /// \return The tree, or the first error with its position: file and line for most faults in the YAML text.
  [[nodiscard]] static result<settings_tree> parse(const settings_document& document,
                                                   const std::string& file_name);

  /// \name Declarations
  /// \{
  [[nodiscard]] const std::string& name() const noexcept { return this->tree_name; }
  [[nodiscard]] const std::vector<service_id>& services() const noexcept { return this->service_list; }
  [[nodiscard]] const std::vector<region_id>& regions() const noexcept { return this->region_list; }
  [[nodiscard]] const std::vector<domain_declaration>& domains() const noexcept { return this->domain_list; }
  [[nodiscard]] const std::vector<upstream_declaration>& upstreams() const noexcept {
    return this->upstream_list;
  }
  [[nodiscard]] const std::vector<link_declaration>& links() const noexcept { return this->link_list; }
  [[nodiscard]] const std::vector<shift_intent>& shifts() const noexcept { return this->shift_list; }
  [[nodiscard]] bool has_service(const service_id& service) const noexcept;
  [[nodiscard]] bool has_region(const region_id& region) const noexcept;
  /// \brief Returns the link from one region to another, or null if none is declared.
  [[nodiscard]] const link_declaration* find_link(const region_id& from, const region_id& to) const noexcept;
  /// \}

  /// \brief  Returns the effective values for a service at a location, with their origins.
  /// \param  region If empty, the values of the service itself are returned.
  /// \param  domain If empty, the values of the region are returned.
  [[nodiscard]] effective_settings effective(const service_id& service, const region_id& region = {},
                                             const failure_domain_id& domain = {}) const;

  /// \brief Overrides by tree path, then by setting name, before inheritance.
  using override_map = std::map<std::string, std::map<std::string_view, std::int64_t>>;
  [[nodiscard]] const override_map& overrides() const noexcept { return this->override_values; }

 private:
  friend class tree_parser;

  std::string tree_name;
  std::vector<service_id> service_list;
  std::vector<region_id> region_list;
  std::vector<domain_declaration> domain_list;
  std::vector<upstream_declaration> upstream_list;
  std::vector<link_declaration> link_list;
  std::vector<shift_intent> shift_list;
  override_map override_values;
};

/// \brief A difference between two trees; `before` or `after` is empty where the path does not exist.
struct settings_change {
  std::string path;
  std::string before;
  std::string after;
};

/// \brief Returns the changes from one tree to another: changed and removed paths, then added ones, each
///        sorted by path.
[[nodiscard]] std::vector<settings_change> diff(const settings_tree& before, const settings_tree& after);

/// \brief Returns the known name most similar to a misspelled one, or an empty string if none is similar.
[[nodiscard]] std::string nearest_name(const std::string& misspelled, const std::vector<std::string>& known);

/// \brief Parses an IPv4 address block in CIDR notation, such as "10.1.0.0/16".
[[nodiscard]] result<client_block> parse_client_block(const std::string& text);

/// \brief Parses a dotted-decimal IPv4 address into host byte order.
[[nodiscard]] result<std::uint32_t> parse_ipv4(const std::string& text);

}  // namespace zinnia
