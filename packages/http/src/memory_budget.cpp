// Decides who frees memory when it is short.
#include "zinnia/http/memory_budget.hpp"

#include <utility>

namespace zinnia {
namespace impl {
namespace {

/// A request that has taken no more memory for that long may be refused in favour of others.
constexpr duration max_request_stall{250};
/// A caller that has taken nothing of its response for that long may lose its connection.
constexpr duration max_response_stall{1000};

}  // namespace
}  // namespace impl

bool memory_budget::try_take(std::size_t bytes, const memory_holder* taker, memory_share share) {
  const bool is_large = taker != nullptr && taker->held_bytes + bytes > max_small_request;
  const auto allowed = is_large || share == memory_share::common ? this->max_request() : this->limit;
  while (this->used_bytes + bytes > allowed) {
    const bool freed =
        this->free_oldest(memory_use::large_request, impl::max_request_stall, taker) ||
        this->free_oldest(memory_use::unread_response, impl::max_response_stall, taker) ||
        (!is_large && this->free_oldest(memory_use::small_request, impl::max_request_stall, taker));
    if (!freed) {
      ++this->shortage_count;
      return false;
    }
  }
  this->used_bytes += bytes;
  return true;
}

void memory_budget::take(std::size_t bytes, const memory_holder* taker) {
  this->used_bytes += bytes;
  const auto hard_limit = this->limit + this->limit / 4;
  while (this->used_bytes > this->limit &&
         (this->free_oldest(memory_use::unread_response, impl::max_response_stall, taker) ||
          this->free_oldest(memory_use::large_request, impl::max_request_stall, taker))) {
  }
  while (this->used_bytes > hard_limit &&
         (this->free_oldest(memory_use::unread_response, duration{0}, taker) ||
          this->free_oldest(memory_use::large_request, duration{0}, taker) ||
          this->free_oldest(memory_use::small_request, duration{0}, taker))) {
  }
}

bool memory_budget::free_oldest(memory_use use, duration max_stall, const memory_holder* taker) {
  auto& list = this->list_of(use);
  auto oldest = list.begin();
  if (oldest != list.end() && &*oldest == taker) {
    ++oldest;
  }
  if (oldest == list.end() || this->clock.now() - oldest->progressed_at < max_stall) {
    return false;
  }
  auto& holder = *oldest;
  holder.unlink();
  ++this->shortage_count;
  holder.free_memory();
  return true;
}

void memory_budget::note_progress(memory_holder& holder) {
  holder.progressed_at = this->clock.now();
  holder.unlink();
  const auto use = holder.is_response                      ? memory_use::unread_response
                   : holder.held_bytes > max_small_request ? memory_use::large_request
                                                           : memory_use::small_request;
  this->list_of(use).push_back(holder);
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : budget{std::exchange(other.budget, nullptr)},
      holder{std::exchange(other.holder, nullptr)},
      bytes{std::exchange(other.bytes, 0)} {}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept {
  if (this != &other) {
    this->resize(0);
    this->budget = std::exchange(other.budget, nullptr);
    this->holder = std::exchange(other.holder, nullptr);
    this->bytes = std::exchange(other.bytes, 0);
  }
  return *this;
}

bool memory_charge::try_resize(std::size_t new_bytes, memory_share share) {
  if (this->budget == nullptr || new_bytes <= this->bytes) {
    this->resize(new_bytes);
    return true;
  }
  if (!this->budget->try_take(new_bytes - this->bytes, this->holder, share)) {
    return false;
  }
  this->set(new_bytes);
  if (this->holder != nullptr) {
    this->budget->note_progress(*this->holder);
  }
  return true;
}

void memory_charge::resize(std::size_t new_bytes) {
  if (this->budget != nullptr && new_bytes > this->bytes) {
    this->budget->take(new_bytes - this->bytes, this->holder);
  } else if (this->budget != nullptr) {
    this->budget->give_back(this->bytes - new_bytes);
  }
  this->set(new_bytes);
}

void memory_charge::set(std::size_t new_bytes) noexcept {
  if (this->holder != nullptr) {
    this->holder->held_bytes += new_bytes - this->bytes;
  }
  this->bytes = new_bytes;
}

void memory_charge::detach_from_holder() noexcept {
  if (this->holder != nullptr) {
    this->holder->held_bytes -= this->bytes;
    this->holder = nullptr;
  }
}

}  // namespace zinnia
