// Hashes the parts of a request one after the other, so that their lengths count as well.
#include "request_fingerprint.hpp"

#include <absl/strings/str_cat.h>

#include <array>

#include "zinnia/core/rendezvous.hpp"

namespace zinnia {

request_fingerprint fingerprint_of(const request_head& head, const std::vector<std::string_view>& body,
                                   std::optional<std::string_view> object_key) {
  const std::array<std::string_view, 5> parts{head.method, find_field(head.fields, "Host").value_or(""),
                                              head.target, object_key.value_or(""),
                                              find_field(head.fields, "Authorization").value_or("")};
  std::string hashes;
  for (const auto part : parts) {
    absl::StrAppend(&hashes, absl::Hex(stable_hash(part), absl::kZeroPad16));
  }
  absl::StrAppend(&hashes, absl::Hex(stable_hash(body), absl::kZeroPad16));
  return request_fingerprint{stable_hash(hashes)};
}

}  // namespace zinnia
