// Resolution of writes whose answer was lost.
#include "zinnia/store/object_store.hpp"

namespace zinnia {

store_reply put_resolved(object_store& store, const std::string& key, const std::string& value,
                         object_version expected) {
  auto reply = store.put(key, value, expected);
  if (reply.status != store_status::unknown) {
    return reply;
  }
  const auto seen = store.get(key);
  if (seen.status == store_status::not_found) {
    // Either the write never arrived or the object was removed since; both leave nothing written.
    return {expected.count() == 0 ? store_status::unavailable : store_status::conflict, {}, {}};
  }
  if (!seen.ok()) {
    return reply;
  }
  if (seen.value == value && seen.version != expected) {
    return {store_status::ok, seen.version, {}};
  }
  const bool untouched = seen.version == expected;
  return {untouched ? store_status::unavailable : store_status::conflict, seen.version, seen.value};
}

}  // namespace zinnia
