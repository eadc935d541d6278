// Start-time fair queueing: the order in which the requests of several accounts get room.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "zinnia/routing/request_priority.hpp"

namespace zinnia {

/// \brief The account of a request and its part of the room.
struct fair_share {
  /// Hash of the account's name; requests without an account share one number.
  std::uint64_t account{0};
  /// Accounts that always wait get room in proportion to their weights. Greater than 0.
  double weight{1};
};

/// \brief   Assigns start tags to waiting requests; within a priority the lowest tag is served first.
/// \details **Load answered:** one account sends many times its usual while there is too little room. By
/// arrival
///          alone, its requests would fill the queue and all others would wait behind them. A request starts
///          when its account's previous one finishes in virtual time, so each account waits for its own
///          requests only. An account without waiting requests keeps no claim. Not thread safe.
class fair_order {
 public:
  /// \brief Returns the tag that the account's next request would get.
  [[nodiscard]] double next_tag(const request_priority& priority, const fair_share& share) const;
  /// \brief Returns the tag of a request that begins to wait.
  double add(const request_priority& priority, const fair_share& share);
  /// \brief Records that a request with this tag gets room.
  void serve(const request_priority& priority, double tag);
  /// \brief Takes back the claim of a request that leaves without room.
  void withdraw(const request_priority& priority, const fair_share& share);
  /// \brief Forgets all claims, for a queue that is empty.
  void clear() noexcept;
  /// \brief Returns the number of accounts that are remembered.
  [[nodiscard]] std::size_t size() const noexcept { return this->finish_tags.size(); }

 private:
  [[nodiscard]] double virtual_time(const request_priority& priority) const;

  // By priority: the tag of the request served last.
  std::map<request_priority, double> virtual_times;
  // The finish tag of each account's last waiting request.
  std::map<std::pair<request_priority, std::uint64_t>, double> finish_tags;
};

}  // namespace zinnia
