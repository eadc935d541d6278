// Tests which accounts a table accepts and which keys it knows.
#include <gtest/gtest.h>

#include "zinnia/accounts/account_table.hpp"

using namespace zinnia;

namespace {

[[nodiscard]] account_declaration make_account(const std::string& name, std::vector<std::string> keys) {
  account_declaration account;
  account.id = account_id{name};
  account.keys = std::move(keys);
  return account;
}

TEST(account_table, finds_the_account_that_holds_a_key_and_no_other) {
  const auto table = account_table::make({make_account("a", {"k1", "k2"}), make_account("b", {"k3"})});
  ASSERT_TRUE(table);
  EXPECT_EQ((*table)->find_by_key("k2")->id, account_id{"a"});
  EXPECT_EQ((*table)->find_by_key("k3")->id, account_id{"b"});
  EXPECT_EQ((*table)->find_by_digest(digest_of_key("k3"))->id, account_id{"b"});
  EXPECT_EQ((*table)->find(account_id{"b"})->keys.size(), 1);
  for (const auto* const unknown : {"", "k", "k4", "K1", "k1 "}) {
    EXPECT_EQ((*table)->find_by_key(unknown), nullptr) << unknown;
  }
  EXPECT_EQ((*table)->find(account_id{"c"}), nullptr);
}

TEST(account_table, refuses_keys_and_names_that_do_not_identify_one_account) {
  EXPECT_FALSE(account_table::make({make_account("a", {"k1"}), make_account("b", {"k1"})}));
  EXPECT_FALSE(account_table::make({make_account("a", {"k1", "k1"})}));
  EXPECT_FALSE(account_table::make({make_account("a", {"k1"}), make_account("a", {"k2"})}));
  EXPECT_FALSE(account_table::make({make_account("a", {""})}));
  EXPECT_FALSE(account_table::make({make_account("", {"k1"})}));
  auto negative = make_account("a", {"k1"});
  negative.burst = -1;
  const auto refused = account_table::make({negative});
  ASSERT_FALSE(refused);
  EXPECT_NE(refused.last_error().message.find("-1"), std::string::npos);
}

TEST(account_table, does_not_reveal_a_key_in_an_error) {
  const auto refused = account_table::make({make_account("a", {"secret"}), make_account("b", {"secret"})});
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.last_error().describe().find("secret"), std::string::npos);
}

}  // namespace
