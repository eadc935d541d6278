// What a node makes of the crash of a server that had a request; for the log.
#pragma once

#include <string_view>

#include "zinnia/routing/crash_report.hpp"

namespace zinnia {

/// \brief What the ledger made of one crash of a request's server.
enum class crash_judgement : unsigned char {
  raised,
  /// The request has this level already.
  not_higher,
  /// Another request that the server had has been at more crashes.
  bystander,
  /// The request has been answered since the first of its crashes.
  answered,
};

/// \brief Returns the name in the log, such as "not-higher".
[[nodiscard]] std::string_view to_string(crash_judgement value) noexcept;

/// \brief A crash that this node has seen or heard of.
struct judged_crash {
  crash_report crash;
  crash_judgement judgement{crash_judgement::raised};
};

}  // namespace zinnia
