// Tests snapshot_builder: removals, settings trees that declare servers, and failure domains that are added
// later.
#include <gtest/gtest.h>

#include "zinnia/routing/backend_table.hpp"
#include "zinnia/routing/snapshot_builder.hpp"

using namespace zinnia;

namespace {

const failure_domain_id near_a{"near-a"};
const failure_domain_id far_a{"far-a"};
const region_id near{"near"};
const region_id far{"far"};

[[nodiscard]] std::shared_ptr<const settings_tree> tree_with_upstream() {
  auto tree = settings_tree::parse(
      {"e",
       "t",
       "places: {near: {domains: {near-a: {}}}}\n"
       "services: {desk: {regions: {near: {domains: {near-a: {upstreams: [\"10.0.0.1:80\"]}}}}}}\n",
       {}},
      "t");
  EXPECT_TRUE(tree) << tree.last_error().describe();
  return std::make_shared<const settings_tree>(std::move(tree).value());
}

TEST(snapshot_builder, a_changed_tree_ends_the_pending_removal_of_a_server_that_it_declares) {
  snapshot_builder builder{{{near_a, near}}};
  const auto tree = tree_with_upstream();
  const auto backend = declarations_of(*tree).backends.at(0);
  builder.set_backend(backend);
  builder.remove_backend(backend.id, time_point{1'000}, duration{500});
  builder.set_tree(tree);
  builder.apply_due_changes(time_point{2'000}, 0);
  EXPECT_TRUE(builder.has_backend(backend.id));
  EXPECT_EQ(builder.next_removal(), far_future);
}

TEST(snapshot_builder, a_new_failure_domain_reaches_placement) {
  snapshot_builder builder{{{near_a, near}}};
  backend_declaration backend;
  backend.id = backend_id{"b1"};
  backend.domain = far_a;
  backend.service = service_id{"desk"};
  backend.slots = 3;
  builder.set_configuration({config_version{1}, {}, {{service_id{"desk"}, "/health", 100, 10}}});
  builder.set_backend(backend);
  const auto before = builder.publish();
  builder.set_regions({{near_a, near}, {far_a, far}});
  const auto snapshot = builder.publish();
  ASSERT_NE(snapshot, nullptr);
  backend_table table{{near_a, near}, {{near_a, near}}};
  route far_only;
  far_only.allowed_regions = {far};
  placement_request request;
  request.matched_route = &far_only;
  request.regions = {&far_only.allowed_regions, nullptr};
  request.service = service_id{"desk"};
  request.deadline = time_point{5'000};
  table.apply(*before, time_point{1'000});
  EXPECT_EQ(table.choose(request, time_point{1'000}).target, nullptr);
  table.apply(*snapshot, time_point{1'000});
  EXPECT_NE(table.choose(request, time_point{1'000}).target, nullptr);
  builder.set_regions({{near_a, near}, {far_a, far}});
  EXPECT_EQ(builder.publish(), nullptr) << "unchanged regions";
}

}  // namespace
