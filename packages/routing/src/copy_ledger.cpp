// Accounts by object; all are dropped when there are too many.
#include "zinnia/routing/copy_ledger.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr std::size_t max_accounts = 8192;
/// Objects pay between the first of these multiples of the price and the sum of both: each node pays on its
/// own account, and a copy also takes memory from other objects.
constexpr double min_price_factor = 1.5;
constexpr double price_factor_spread = 3;
constexpr std::uint64_t spread_steps = 1024;

}  // namespace
}  // namespace impl

bool copy_ledger::pay(std::uint64_t object, double cost_ms, double price) {
  const auto step = static_cast<double>(object % impl::spread_steps) / impl::spread_steps;
  const double own_price = price * (impl::min_price_factor + impl::price_factor_spread * step);
  if (cost_ms >= own_price) {
    this->paid_ms.erase(object);
    return true;
  }
  if (this->paid_ms.size() >= impl::max_accounts) {
    // Objects in demand soon have an account again.
    this->paid_ms.clear();
  }
  auto& paid = this->paid_ms[object];
  paid += cost_ms;
  if (paid < own_price) {
    return false;
  }
  this->paid_ms.erase(object);
  return true;
}

}  // namespace zinnia
