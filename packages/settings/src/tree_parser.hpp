// The parser that turns a settings document into a validated settings tree.
#pragma once

#include <yaml-cpp/yaml.h>

#include <set>
#include <string>
#include <vector>

#include "zinnia/settings/settings_tree.hpp"

namespace zinnia {

/// \brief   Parses one document; `parse` may be called only once.
/// \details The first fault throws an exception of type `error`, which `settings_tree::parse` catches.
class tree_parser {
 public:
  tree_parser(const settings_document& source, std::string file) noexcept
      : document{source}, file_name{std::move(file)} {}

  [[nodiscard]] settings_tree parse();

 private:
  [[noreturn]] void fail(const YAML::Node& node, const std::string& message) const;
  void check_keys(const YAML::Node& map, const std::vector<std::string>& known,
                  const std::string& key_kind) const;
  [[nodiscard]] std::int64_t read_integer(const YAML::Node& node, const std::string& field,
                                          std::int64_t min_value, std::int64_t max_value) const;
  /// Reads a field that must be present.
  [[nodiscard]] std::int64_t read_required_integer(const YAML::Node& map, const std::string& field,
                                                   std::int64_t min_value, std::int64_t max_value) const;
  [[nodiscard]] std::int64_t read_setting(const YAML::Node& node, const setting_descriptor& setting) const;
  void read_overrides(const YAML::Node& map, const std::string& path);
  void read_places(const YAML::Node& root);
  /// Fails if a failure domain of that name is declared already.
  void check_new_domain(const YAML::Node& name, const region_id& region) const;
  void read_services(const YAML::Node& services);
  void read_service_region(const service_id& service, const region_id& region, const YAML::Node& node,
                           const std::string& path);
  void read_upstreams(const YAML::Node& list, const service_id& service, const domain_declaration& domain);
  void read_links(const YAML::Node& links);
  void read_link(const YAML::Node& node);
  void check_client_blocks() const;
  void check_shifts() const;
  void check_shift(const shift_intent& shift) const;
  void check_remaining_upstreams() const;

  const settings_document& document;
  std::string file_name;
  /// Detects upstreams that are declared twice for a service.
  std::set<std::pair<service_id, upstream_id>> declared_upstreams;
  settings_tree tree;
};

}  // namespace zinnia
