// Slowness learned from answers of which 3% take seven times as long.
#include <gtest/gtest.h>

#include "zinnia/routing/backend_table.hpp"

using namespace zinnia;

namespace {

const time_point start{100'000};

/// The slowness of a server after answers that took so many times the expected time, all at once.
[[nodiscard]] double slowness_after(const std::vector<double>& ratios, bool robust, bool sends_figures) {
  backend_state backend{{}};
  backend.set_robust_slowness(robust);
  for (const double ratio : ratios) {
    backend.on_sent(start);
    if (sends_figures) {
      backend.on_report({0, 0, 4, 100.0}, start);
    }
    backend.on_ended(backend_outcome::responded, duration{static_cast<std::int64_t>(ratio * 100)},
                     duration{100}, start);
  }
  return backend.learned_slowness(start);
}

/// Guards against a server that is avoided because one of its answers took long.
TEST(robust_slowness, one_long_answer_changes_little_and_several_in_a_row_change_all) {
  EXPECT_NEAR(slowness_after({7}, true, false), 1.08, 0.01);
  EXPECT_NEAR(slowness_after({7, 1, 1, 7, 1}, true, false), 1.1, 0.05);
  EXPECT_GT(slowness_after({7, 7, 7, 7, 7}, true, false), 5);
  std::vector<double> recovering{7, 7, 7, 7, 7, 1, 1, 1, 1, 1, 1};
  EXPECT_LT(slowness_after(recovering, true, false), slowness_after(recovering, false, false));
  recovering.insert(recovering.end(), 4, 1);
  EXPECT_NEAR(slowness_after(recovering, true, false), 1, 0.1);
  EXPECT_NEAR(slowness_after({7}, false, true), 1.08, 0.01) << "for servers that send figures";
}

/// Deployments that set nothing are served as before.
TEST(robust_slowness, other_servers_are_judged_by_the_plain_average) {
  EXPECT_DOUBLE_EQ(slowness_after({7}, false, false), 2.2);
  EXPECT_DOUBLE_EQ(slowness_after({7, 7}, false, false), 3.16);
}

TEST(robust_slowness, the_setting_reaches_servers) {
  const auto slowness_with = [](const std::string& settings) {
    routing_snapshot snapshot;
    snapshot.services[service_id{"desk"}] = {service_id{"desk"}, "/health", 100, 10};
    auto tree =
        settings_tree::parse({"e", "t", settings + "places: {near: {domains: {near-a: {}}}}\n", {}}, "t");
    EXPECT_TRUE(tree) << tree.last_error().describe();
    snapshot.tree = std::make_shared<const settings_tree>(std::move(tree).value());
    backend_declaration declared;
    declared.id = backend_id{"a"};
    declared.service = service_id{"desk"};
    declared.domain = failure_domain_id{"near-a"};
    snapshot.backends[declared.id] = declared;
    backend_table table{{declared.domain, region_id{"near"}}, {{declared.domain, region_id{"near"}}}};
    table.apply(snapshot, start);
    const auto backend = table.all().front();
    backend->on_sent(start);
    backend->on_ended(backend_outcome::responded, duration{700}, duration{100}, start);
    return backend->slowness(start);
  };
  EXPECT_DOUBLE_EQ(slowness_with(""), 2.2);
  EXPECT_NEAR(slowness_with("settings: {robust_slowness: 1}\n"), 1.08, 0.01);
}

}  // namespace
