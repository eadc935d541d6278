// One limit for the memory that callers' connections, requests and responses take in a process, and who gives
// memory back when it is short.
#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "zinnia/core/clock.hpp"

namespace zinnia {

class memory_budget;

/// \brief What the memory of a holder is for; decides how much it may take and who gives memory back first.
enum class memory_use : unsigned char {
  /// A request that is still arriving and holds little.
  small_request,
  /// A request that is still arriving and holds more than `memory_budget::max_small_request`.
  large_request,
  /// A response that its caller has not taken yet.
  unread_response,
  count,
};

/// \brief Which part of a budget memory may be taken from.
enum class memory_share : unsigned char {
  all,
  /// All but what is kept for small requests and for the first request of each connection.
  common,
};

/// \brief   Memory that can be freed before the work that it serves is done.
/// \details Invariant: linked into one list of its budget exactly while it may be asked to free its memory.
class memory_holder
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  /// \param free_memory_in Must free what was taken for this holder, and may only post all other work: it is
  ///                       called while another holder takes memory.
  memory_holder(bool is_response_in, std::function<void()> free_memory_in)
      : is_response{is_response_in}, free_memory{std::move(free_memory_in)} {}

  /// \brief The bytes that charges hold for it.
  [[nodiscard]] std::size_t held() const noexcept { return this->held_bytes; }
  /// \brief The time at which it last made progress.
  [[nodiscard]] time_point last_progress() const noexcept { return this->progressed_at; }

 private:
  friend class memory_budget;
  friend class memory_charge;

  bool is_response;
  std::function<void()> free_memory;
  std::size_t held_bytes{0};
  time_point progressed_at;
};

/// \brief   A limit on memory, in bytes. Not thread-safe.
/// \details Memory is charged when it is allocated. A part of the limit is closed to large requests, and to
///          all but the first request of a connection, so that ordinary callers are served beside them. When
///          memory is short, the holder that has been without progress for the longest time frees its
///          memory, if that time is long enough.
class memory_budget {
 public:
  /// \brief A request that holds up to this many bytes is a small one.
  static constexpr std::size_t max_small_request = 64 << 10;

  /// \param limit_in The limit for requests. Responses may exceed it by a quarter, as they cannot wait.
  memory_budget(std::size_t limit_in, const clock_source& clock_in) : limit{limit_in}, clock{clock_in} {}

  /// \brief  Takes memory for a holder, or for work that cannot free its memory (null).
  /// \return False if it is short and no other holder can free enough.
  [[nodiscard]] bool try_take(std::size_t bytes, const memory_holder* taker,
                              memory_share share = memory_share::all);
  /// \brief Takes memory that cannot be refused. If it is short, responses that callers do not read go.
  void take(std::size_t bytes, const memory_holder* taker);
  void give_back(std::size_t bytes) noexcept { this->used_bytes -= bytes; }

  /// \brief From now on the holder may be asked to free its memory; it has just made progress.
  void note_progress(memory_holder& holder);

  [[nodiscard]] std::size_t used() const noexcept { return this->used_bytes; }
  [[nodiscard]] std::size_t max_used() const noexcept { return this->limit; }
  /// \brief The most that one request can hold.
  [[nodiscard]] std::size_t max_request() const noexcept { return this->limit - this->limit / kept_share; }
  /// \brief True if sources of responses should pause early.
  [[nodiscard]] bool is_short() const noexcept { return this->used_bytes > this->limit - this->limit / 4; }
  /// \brief How often memory was refused, or a holder freed its memory.
  [[nodiscard]] std::uint64_t shortages() const noexcept { return this->shortage_count; }

 private:
  using holder_list = boost::intrusive::list<memory_holder, boost::intrusive::constant_time_size<false>>;

  /// The fraction of the limit that is not in the common share is one over this.
  static constexpr std::size_t kept_share = 10;

  /// Lets the least recent holder of a list free its memory. Returns false if there is none that has been
  /// without progress for `max_stall`.
  [[nodiscard]] bool free_oldest(memory_use use, duration max_stall, const memory_holder* taker);
  [[nodiscard]] holder_list& list_of(memory_use use) noexcept {
    return this->holders.at(static_cast<std::size_t>(use));
  }

  std::size_t limit;
  const clock_source& clock;
  std::size_t used_bytes{0};
  std::uint64_t shortage_count{0};
  // By use; the holder that has made no progress for the longest time is first.
  std::array<holder_list, static_cast<std::size_t>(memory_use::count)> holders;
};

/// \brief   Memory taken from a budget; given back on destruction.
/// \details Without a budget it has no limit. Budget and holder must outlive it.
class memory_charge {
 public:
  memory_charge() = default;
  explicit memory_charge(memory_budget* budget_in, memory_holder* holder_in = nullptr) noexcept
      : budget{budget_in}, holder{holder_in} {}
  memory_charge(const memory_charge&) = delete;
  memory_charge& operator=(const memory_charge&) = delete;
  memory_charge(memory_charge&& other) noexcept;
  memory_charge& operator=(memory_charge&& other) noexcept;
  ~memory_charge() { this->resize(0); }

  /// \brief Changes the number of bytes. More bytes are progress of the holder.
  /// \return False if they cannot be had; the charge is unchanged then.
  [[nodiscard]] bool try_resize(std::size_t bytes, memory_share share = memory_share::all);
  /// \brief Changes the number of bytes; more of them cannot be refused.
  void resize(std::size_t bytes);
  /// \brief The memory is no longer what its holder can free.
  void detach_from_holder() noexcept;
  [[nodiscard]] std::size_t size() const noexcept { return this->bytes; }

 private:
  void set(std::size_t new_bytes) noexcept;

  memory_budget* budget{nullptr};
  memory_holder* holder{nullptr};
  std::size_t bytes{0};
};

}  // namespace zinnia
