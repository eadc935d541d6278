// The platform's object API over HTTP, by libcurl.
#pragma once

#include <string>

#include "zinnia/store/object_store.hpp"

namespace zinnia {

/// \brief   Adapter to the platform's HTTP interface.
/// \details Objects are at `/v1/objects/KEY` with their version in `X-Version`; writes name the version
///          expected in `If-Version`; `/v1/list` and `/v1/watch` answer JSON. One connection a thread.
class http_object_store final : public object_store {
 public:
  /// \param base_url For example "http://10.0.0.5:8080".
  /// \param call_limit Longest time of one call; a watch adds its wait.
  http_object_store(std::string base_url, duration call_limit)
      : base{std::move(base_url)}, limit{call_limit} {}

  [[nodiscard]] store_reply get(const std::string& key) override;
  [[nodiscard]] store_reply put(const std::string& key, const std::string& value,
                                object_version expected) override;
  [[nodiscard]] store_reply remove(const std::string& key, object_version expected) override;
  [[nodiscard]] list_reply list(const std::string& prefix) override;
  [[nodiscard]] list_reply watch(const std::string& prefix, object_version after, duration wait) override;

 private:
  std::string base;
  duration limit;
};

}  // namespace zinnia
