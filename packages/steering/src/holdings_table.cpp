// Edits and JSON form of holdings tables.
#include "zinnia/steering/holdings_table.hpp"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace zinnia {
namespace impl {
namespace {

const std::string slots_prefix = "slots/";
const std::string bucket_prefix = "keys/";

[[nodiscard]] nlohmann::json to_json(const node_entry& node) {
  nlohmann::json value{{"domain", node.domain.str()},      {"incarnation", node.incarnation.str()},
                       {"heirs", nlohmann::json::array()}, {"released", nlohmann::json::object()},
                       {"renewal", node.renewal},          {"leaving", node.leaving},
                       {"may_defer", node.may_defer},      {"caller", node.caller_address},
                       {"peer", node.peer_address}};
  for (const auto& heir : node.heirs) {
    value["heirs"].push_back(heir.str());
  }
  for (const auto& [heir, deferring] : node.released) {
    value["released"][heir.str()] = deferring;
  }
  return value;
}

[[nodiscard]] node_entry node_from_json(const nlohmann::json& value) {
  node_entry node;
  node.domain = failure_domain_id{value.at("domain").get<std::string>()};
  node.incarnation = incarnation_id{value.at("incarnation").get<std::string>()};
  for (const auto& heir : value.at("heirs")) {
    node.heirs.insert(node_id{heir.get<std::string>()});
  }
  for (const auto& [heir, deferring] : value.at("released").items()) {
    node.released.emplace(node_id{heir}, deferring.get<bool>());
  }
  node.renewal = value.at("renewal").get<std::int64_t>();
  node.leaving = value.at("leaving").get<bool>();
  node.may_defer = value.at("may_defer").get<bool>();
  node.caller_address = value.at("caller").get<std::string>();
  node.peer_address = value.at("peer").get<std::string>();
  return node;
}

[[nodiscard]] nlohmann::json to_json(const holding_entry& holding) {
  nlohmann::json value{{"h", holding.holder.str()}, {"e", holding.held_since.count()}};
  if (holding.unplanned) {
    value["u"] = true;
  }
  if (holding.blind_before_unix_ms != 0) {
    value["b"] = holding.blind_before_unix_ms;
  }
  return value;
}

[[nodiscard]] holding_entry holding_from_json(const nlohmann::json& value) {
  holding_entry holding;
  holding.holder = node_id{value.at("h").get<std::string>()};
  holding.held_since = epoch{value.at("e").get<std::int64_t>()};
  holding.unplanned = value.value("u", false);
  holding.blind_before_unix_ms = value.value("b", std::int64_t{0});
  return holding;
}

}  // namespace
}  // namespace impl

void holdings_table::assign(const holding_id& holding, const node_id& to, bool unplanned) {
  auto& entry = this->holdings[holding];
  entry.holder = to;
  entry.held_since = epoch{this->next_epoch};
  entry.unplanned = unplanned;
  ++this->next_epoch;
}

std::int64_t holdings_table::share_sum(const share_key& key) const {
  std::int64_t sum = 0;
  const auto found = this->shares.find(key);
  if (found != this->shares.end()) {
    for (const auto& [node, granted] : found->second) {
      sum += granted;
    }
  }
  return sum;
}

bool holdings_table::is_member(const node_id& node, const incarnation_id& incarnation) const {
  const auto found = this->nodes.find(node);
  return found != this->nodes.end() && found->second.incarnation == incarnation;
}

std::string encode(const holdings_table& table) {
  nlohmann::json value{{"next_epoch", table.next_epoch}, {"write_id", table.write_id}};
  value["nodes"] = nlohmann::json::object();
  for (const auto& [id, node] : table.nodes) {
    value["nodes"][id.str()] = impl::to_json(node);
  }
  value["holdings"] = nlohmann::json::object();
  for (const auto& [id, holding] : table.holdings) {
    value["holdings"][id.str()] = impl::to_json(holding);
  }
  value["shares"] = nlohmann::json::array();
  for (const auto& [key, owners] : table.shares) {
    for (const auto& [node, granted] : owners) {
      value["shares"].push_back({key.to.str(), key.service.str(), node.str(), granted});
    }
  }
  return value.dump();
}

result<holdings_table> decode_holdings_table(const std::string& text) {
  try {
    const auto value = nlohmann::json::parse(text);
    holdings_table table;
    table.next_epoch = value.at("next_epoch").get<std::int64_t>();
    table.write_id = value.at("write_id").get<std::string>();
    for (const auto& [id, node] : value.at("nodes").items()) {
      table.nodes.emplace(node_id{id}, impl::node_from_json(node));
    }
    for (const auto& [id, holding] : value.at("holdings").items()) {
      table.holdings.emplace(holding_id{id}, impl::holding_from_json(holding));
    }
    for (const auto& share : value.at("shares")) {
      const share_key key{region_id{share.at(0).get<std::string>()},
                          service_id{share.at(1).get<std::string>()}};
      table.shares[key][node_id{share.at(2).get<std::string>()}] = share.at(3).get<std::int64_t>();
    }
    return table;
  } catch (const std::exception& cause) {
    return error{reason::invalid_setting, cause.what(), "holdings table"};
  }
}

holding_id slots_holding(const service_id& service, const upstream_id& upstream) {
  return holding_id{impl::slots_prefix + service.str() + '/' + upstream.str()};
}

holding_id bucket_holding(std::int64_t bucket) {
  return holding_id{impl::bucket_prefix + std::to_string(bucket)};
}

std::string holding_class(const holding_id& holding) {
  return holding.str().substr(0, holding.str().rfind('/'));
}

std::int64_t bucket_of(const holding_id& holding) {
  if (!holding.str().starts_with(impl::bucket_prefix)) {
    return -1;
  }
  return std::strtoll(holding.str().c_str() + impl::bucket_prefix.size(), nullptr, 10);
}

}  // namespace zinnia
