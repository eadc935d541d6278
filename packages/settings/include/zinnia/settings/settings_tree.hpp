// The operators' settings tree, parsed and checked as a whole.
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

/// \brief   An immutable, valid tree: service, then region, then failure domain, each inheriting.
///
/// \code
/// result<settings_tree> tree = settings_tree::parse(document, "kapur-jaya.yaml");
/// tree->effective(service_id{"crewdesk"}, region_id{"klang"}).values.queue_limit;
/// \endcode
class settings_tree {
 public:
  /// \brief  Parses and checks a whole document.
  /// \param  file_name Only for the positions in errors.
  /// \return The tree, or the first error with its file and line.
  [[nodiscard]] static result<settings_tree> parse(const settings_document& document,
                                                   const std::string& file_name);

  /// \name Places and services
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
  /// \brief The link between two regions, or null when none is declared.
  [[nodiscard]] const link_declaration* find_link(const region_id& from, const region_id& to) const noexcept;
  /// \}

  /// \brief  Values in force for a service at a place, each with the place it came from.
  /// \param  region An empty region asks for the service's own values.
  /// \param  domain An empty failure domain asks for the region's values.
  [[nodiscard]] effective_settings effective(const service_id& service, const region_id& region = {},
                                             const failure_domain_id& domain = {}) const;

  /// \brief Overrides as written: tree path to setting name to value.
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

/// \brief One difference between two trees, as a line for operators.
struct settings_change {
  std::string path;
  std::string before;
  std::string after;
};

/// \brief What changes from one tree to another, in the order of their paths.
[[nodiscard]] std::vector<settings_change> diff(const settings_tree& before, const settings_tree& after);

/// \brief The known name nearest to a misspelt one, or an empty text when none is near.
[[nodiscard]] std::string nearest_name(const std::string& wrong, const std::vector<std::string>& known);

/// \brief Parses "10.1.0.0/16".
[[nodiscard]] result<client_block> parse_client_block(const std::string& text);

/// \brief Parses a dotted IPv4 address.
[[nodiscard]] result<std::uint32_t> parse_ipv4(const std::string& text);

}  // namespace zinnia
