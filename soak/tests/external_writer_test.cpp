// The external writer writes again exactly what a copy lacks, and not before it is due.
#include "standins/external_writer.hpp"

#include <gtest/gtest.h>

using namespace zinnia::standins;
using std::chrono::milliseconds;

namespace {

TEST(external_writer, writes_again_what_the_copy_lacks_once_it_is_due) {
  for (const auto delay : {milliseconds{0}, milliseconds{3'600'000}}) {
    platform_store store;
    external_writer writer{store};
    writer.put("servers", "kept", {{"state", "ready"}});
    writer.put("servers", "erased", {{"state", "ready"}});
    writer.take_copy();
    writer.put("servers", "added", {{"state", "ready"}});
    writer.erase("servers", "erased");
    writer.go_away();
    writer.put("servers", "added while away", {{"state", "ready"}});
    EXPECT_FALSE(store.contains("servers", "added while away"));
    writer.restore([delay] { return delay; });
    EXPECT_TRUE(store.contains("servers", "kept"));
    EXPECT_FALSE(store.contains("servers", "added"));
    const bool is_due = delay.count() == 0;
    EXPECT_EQ(writer.write_due(), is_due);
    EXPECT_EQ(store.contains("servers", "added"), is_due);
    EXPECT_EQ(store.contains("servers", "added while away"), is_due);
    EXPECT_EQ(store.contains("servers", "erased"), !is_due);
  }
}

}  // namespace
