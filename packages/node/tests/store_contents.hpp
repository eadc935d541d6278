// Store documents for the tests of the control thread.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace zinnia {

[[nodiscard]] inline nlohmann::json make_config(const std::string& version, const std::string& prefix) {
  return {{"version", version},
          {"listeners",
           {{{"host", "a.example"},
             {"rules",
              {{{"name", "r"},
                {"kind", "safe"},
                {"targetLatencyMs", 300},
                {"priority", 1},
                {"match", {{"pathPrefix", prefix}}},
                {"action", {{"service", "desk"}, {"timeoutMs", 500}, {"maxAttempts", 2}}}}}}}}},
          {"clusters", {{{"name", "desk"}, {"healthPath", "/health"}, {"maxConnections", 10}}}}};
}

[[nodiscard]] inline nlohmann::json make_server(const std::string& state) {
  return {{"service", "desk"}, {"address", "127.0.0.1:9"}, {"zone", "near-a"},     {"version", "v1"},
          {"slots", 3},        {"state", state},           {"coldRemainingMs", 0}, {"sequence", 1}};
}

}  // namespace zinnia
