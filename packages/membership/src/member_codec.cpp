// JSON encoding and decoding of registry entries with nlohmann::json.
#include "zinnia/membership/member_codec.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace zinnia {

std::string encode_member(const member& entry) {
  return nlohmann::json{{"domain", entry.where.domain.str()},    {"region", entry.where.region.str()},
                        {"callers", entry.caller_address},       {"peers", entry.peer_address.str()},
                        {"operators", entry.operator_address},   {"incarnation", entry.incarnation.str()},
                        {"cpu_milli", entry.capacity.cpu_milli}, {"link_kbit", entry.capacity.link_kbit},
                        {"notices", entry.notice_port},          {"forwards", entry.forward_port}}
      .dump();
}

result<member> decode_member(const std::string& name, const std::string& document) {
  try {
    const auto parsed = nlohmann::json::parse(document);
    const auto text = [&](const char* field) { return parsed.at(field).get<std::string>(); };
    member decoded;
    decoded.id = node_id{name};
    decoded.where = {failure_domain_id{text("domain")}, region_id{text("region")}};
    decoded.caller_address = text("callers");
    const auto peers = parse_endpoint(text("peers"));
    if (!peers) {
      return error{reason::invalid_setting, "peers: " + peers.last_error().message, "entry of node " + name};
    }
    decoded.peer_address = *peers;
    decoded.operator_address = text("operators");
    decoded.incarnation = incarnation_id{text("incarnation")};
    decoded.capacity.cpu_milli = parsed.value("cpu_milli", decoded.capacity.cpu_milli);
    decoded.capacity.link_kbit = parsed.value("link_kbit", decoded.capacity.link_kbit);
    // Entries of earlier versions have no such fields.
    constexpr std::array<std::pair<const char*, std::uint16_t member::*>, 2> optional_ports{
        {{"notices", &member::notice_port}, {"forwards", &member::forward_port}}};
    for (const auto& [field, port] : optional_ports) {
      const auto number = parsed.value(field, std::int64_t{0});
      constexpr std::int64_t max_port = 65'535;
      if (number < 0 || number > max_port) {
        return error{reason::invalid_setting,
                     std::string{field} + ": " + std::to_string(number) + "; allowed: 0 to 65535",
                     "entry of node " + name};
      }
      decoded.*port = static_cast<std::uint16_t>(number);
    }
    return decoded;
  } catch (const nlohmann::json::exception& problem) {
    return error{reason::invalid_setting, problem.what(), "entry of node " + name};
  }
}

}  // namespace zinnia
