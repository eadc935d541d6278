// Encodes settings documents as JSON and decodes them.
#include "zinnia/settings/settings_document.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace zinnia {
namespace impl {
namespace {

constexpr std::array<std::string_view, 5> shift_kind_names{"drain-upstream", "drain-entry", "drain-domain",
                                                           "drain-region", "move"};

[[nodiscard]] nlohmann::json shift_to_json(const shift_intent& shift) {
  return {{"id", shift.id},
          {"kind", std::string{to_string(shift.kind)}},
          {"target", shift.target},
          {"service", shift.service.str()},
          {"to", shift.to.str()},
          {"percent", shift.percent},
          {"start_unix_ms", shift.start_unix_ms}};
}

[[nodiscard]] shift_intent shift_from_json(const nlohmann::json& value) {
  shift_intent shift;
  shift.id = value.at("id").get<std::string>();
  const auto kind = value.at("kind").get<std::string>();
  const auto* const found = std::find(shift_kind_names.begin(), shift_kind_names.end(), kind);
  if (found == shift_kind_names.end()) {
    throw std::out_of_range{"unknown shift kind '" + kind + "'"};
  }
  shift.kind = static_cast<shift_kind>(found - shift_kind_names.begin());
  shift.target = value.at("target").get<std::string>();
  shift.service = service_id{value.value("service", "")};
  shift.to = region_id{value.value("to", "")};
  shift.percent = value.value("percent", std::int64_t{100});
  shift.start_unix_ms = value.value("start_unix_ms", std::int64_t{0});
  return shift;
}

}  // namespace
}  // namespace impl

std::string_view to_string(shift_kind kind) noexcept {
  return impl::shift_kind_names.at(static_cast<std::size_t>(kind));
}

std::string encode(const settings_document& document) {
  nlohmann::json shifts = nlohmann::json::array();
  for (const auto& shift : document.shifts) {
    shifts.push_back(impl::shift_to_json(shift));
  }
  const nlohmann::json value{{"edit_id", document.edit_id},
                             {"author", document.author},
                             {"tree_text", document.tree_text},
                             {"shifts", shifts}};
  // Author and targets may come from a command line in another encoding.
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<settings_document> decode_settings_document(const std::string& text) {
  try {
    const auto value = nlohmann::json::parse(text);
    settings_document document;
    document.edit_id = value.at("edit_id").get<std::string>();
    document.author = value.at("author").get<std::string>();
    document.tree_text = value.at("tree_text").get<std::string>();
    for (const auto& shift : value.at("shifts")) {
      document.shifts.push_back(impl::shift_from_json(shift));
    }
    return document;
  } catch (const std::exception& cause) {
    return error{reason::invalid_setting, cause.what(), "settings document"};
  }
}

}  // namespace zinnia
