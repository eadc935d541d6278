// Lines with their times.
#include "record.hpp"

#include <iomanip>

namespace review {
namespace {

const steady::time_point program_start = steady::now();

}  // namespace

double now_ms() {
  return std::chrono::duration<double, std::milli>{steady::now() - program_start}.count();
}

void record::line(const std::string& text) {
  constexpr int width = 10;
  const auto at = now_ms();
  const std::lock_guard lock{this->mutex};
  this->out << std::fixed << std::setprecision(1) << std::setw(width) << at << " ms  " << text << '\n';
  this->out.flush();
}

}  // namespace review
