// Builds the calls with the store's protocol and waits for each response.
#include "store_client.hpp"

#include <nlohmann/json.hpp>

namespace zinnia {

std::optional<std::vector<stored_object>> store_client::list(const std::string& kind) const {
  std::vector<stored_object> all;
  feed_call call;
  while (true) {
    const auto reply = this->protocol.decode_read(call, perform(this->protocol.read_call(kind, call)));
    if (reply.status != feed_status::ok) {
      return std::nullopt;
    }
    all.insert(all.end(), reply.items.begin(), reply.items.end());
    if (!reply.has_more || reply.items.empty()) {
      return all;
    }
    call.after_name = reply.items.back().name;
  }
}

std::optional<stored_object> store_client::find(const std::string& kind, const std::string& name) const {
  const auto all = this->list(kind);
  if (!all) {
    return std::nullopt;
  }
  for (const auto& object : *all) {
    if (object.name == name) {
      return object;
    }
  }
  return stored_object{};
}

write_result store_client::write(const std::string& kind, const std::string& name,
                                 const std::string& document, object_version expected) const {
  const auto call = expected.count() == 0 ? this->protocol.create_call(kind, name, document)
                                          : this->protocol.replace_call(kind, name, document, expected);
  write_result result;
  result.status = this->protocol.decode_write(perform(call));
  if (result.status == write_status::unavailable) {
    return result;
  }
  const auto present = this->find(kind, name);
  if (!present) {
    result.status = result.status == write_status::ok ? write_status::ok : write_status::unknown;
    return result;
  }
  result.current = present;
  const bool took_effect = nlohmann::json::parse(present->document, nullptr, false) ==
                           nlohmann::json::parse(document, nullptr, false);
  if (took_effect) {
    result.version = present->version;
  }
  if (result.status == write_status::unknown) {
    // The write may still take effect later, unless the object's version has changed.
    result.status = took_effect                    ? write_status::ok
                    : present->version != expected ? write_status::conflict
                                                   : write_status::unknown;
  }
  return result;
}

}  // namespace zinnia
