// The body of a request in blocks, so that it grows without being copied.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia/http/memory_budget.hpp"

namespace zinnia {

/// \brief   Bytes in blocks of up to 64 KiB.
/// \details Invariant: the charge covers what the blocks have allocated.
class body_buffer {
 public:
  body_buffer() = default;
  explicit body_buffer(memory_charge charge_in) : charge{std::move(charge_in)} {}

  /// \brief Appends bytes. Returns false, and may have appended a part, if the budget has no memory for them.
  [[nodiscard]] bool try_append(std::string_view piece);
  [[nodiscard]] std::size_t size() const noexcept { return this->total_size; }
  [[nodiscard]] bool empty() const noexcept { return this->total_size == 0; }
  /// \brief The blocks in order; valid until the buffer changes.
  [[nodiscard]] std::vector<std::string_view> blocks() const;
  /// \brief Returns a copy of all bytes.
  [[nodiscard]] std::string str() const;
  /// \brief The request has arrived: its memory is no longer freed in favour of others.
  void detach_from_holder() noexcept { this->charge.detach_from_holder(); }

 private:
  struct block {
    std::unique_ptr<char[]> data;
    std::size_t size{0};
    std::size_t capacity{0};
  };

  [[nodiscard]] bool try_add_block(std::size_t wanted);

  memory_charge charge;
  std::vector<block> all;
  std::size_t total_size{0};
};

}  // namespace zinnia
