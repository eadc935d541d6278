// Allocates blocks that grow with the body, up to a fixed size.
#include "zinnia/http/body_buffer.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

constexpr std::size_t min_block = 512;
constexpr std::size_t max_block = 64 << 10;

}  // namespace
}  // namespace impl

bool body_buffer::try_append(std::string_view piece) {
  while (!piece.empty()) {
    if ((this->all.empty() || this->all.back().size == this->all.back().capacity) &&
        !this->try_add_block(piece.size())) {
      return false;
    }
    auto& last = this->all.back();
    const auto copied = std::min(piece.size(), last.capacity - last.size);
    std::copy_n(piece.data(), copied, last.data.get() + last.size);
    last.size += copied;
    this->total_size += copied;
    piece.remove_prefix(copied);
  }
  return true;
}

bool body_buffer::try_add_block(std::size_t wanted) {
  const auto capacity = std::clamp(std::max(wanted, this->total_size), impl::min_block, impl::max_block);
  if (!this->charge.try_resize(this->charge.size() + capacity + sizeof(block))) {
    return false;
  }
  this->all.push_back({std::make_unique_for_overwrite<char[]>(capacity), 0, capacity});
  return true;
}

std::vector<std::string_view> body_buffer::blocks() const {
  std::vector<std::string_view> views;
  views.reserve(this->all.size());
  for (const auto& part : this->all) {
    views.emplace_back(part.data.get(), part.size);
  }
  return views;
}

std::string body_buffer::str() const {
  std::string text;
  text.reserve(this->total_size);
  for (const auto part : this->blocks()) {
    text += part;
  }
  return text;
}

}  // namespace zinnia
