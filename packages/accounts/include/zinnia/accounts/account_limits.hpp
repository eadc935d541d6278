// Admission of requests within the accounts' limits over all nodes, by shares whose tokens nodes move to
// where they are needed.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "zinnia/accounts/account_bucket.hpp"
#include "zinnia/accounts/account_limit_settings.hpp"
#include "zinnia/accounts/account_table.hpp"
#include "zinnia/core/clock.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"

namespace zinnia {

/// \brief A node that may hold shares of limits.
struct limit_holder {
  node_id id;
  /// Receives asks.
  ip_endpoint address;
  /// From this node: 0 in the same failure domain, 1 in the same region, 2 elsewhere.
  int distance{0};

  friend bool operator==(const limit_holder&, const limit_holder&) = default;
};

/// \brief All holders, in the same order at all nodes that know the same registry.
struct limit_holders {
  std::vector<limit_holder> all;
  /// Position of this node in `all`; empty if it is none.
  std::optional<std::size_t> self;

  friend bool operator==(const limit_holders&, const limit_holders&) = default;
};

/// \brief A request for tokens of an account.
struct account_ask {
  std::uint64_t account{0};
  std::uint32_t thousandths{0};
  /// Identifies the ask in the grant that answers it.
  std::uint64_t nonce{0};

  friend bool operator==(const account_ask&, const account_ask&) = default;
};

/// \brief Tokens that the sender has subtracted from its own, in answer to an ask; 0 is a refusal.
struct account_grant {
  std::uint64_t account{0};
  std::uint32_t thousandths{0};
  std::uint64_t nonce{0};

  friend bool operator==(const account_grant&, const account_grant&) = default;
};

/// \brief What one node sends to another about limits.
struct account_messages {
  std::vector<account_ask> asks;
  std::vector<account_grant> grants;

  friend bool operator==(const account_messages&, const account_messages&) = default;
};

struct addressed_ask {
  ip_endpoint to;
  account_ask ask;
};

enum class account_admission { admitted, waits, over_limit };

struct account_decision {
  account_admission admission{account_admission::admitted};
  /// Time until this node's next token; meaningful for `over_limit`.
  duration retry_after{0};
};

/// \brief One account at this node, for operators.
struct account_usage {
  account_id id;
  double requests_per_second{0};
  double burst{0};
  double tokens{0};
  double demand_per_second{0};
  /// Requests admitted at this node in the last window, about.
  std::uint64_t admitted_in_window{0};
  std::uint64_t admitted{0};
  std::uint64_t rejected{0};
};

/// \brief   Decides whether requests are within their accounts' limits. Not thread safe.
/// \details Each of an account's holders has an equal share of the limit. A node that runs short asks others
///          for tokens. A token is subtracted before it is sent, so lost messages only lose tokens.
class account_limits {
 public:
  /// \param nonce_seed Must differ between processes, so that a grant for an earlier process is not accepted.
  account_limits(const account_limit_settings& settings_in, std::uint64_t nonce_seed, time_point now) noexcept
      : settings{settings_in}, holder_since{now}, next_nonce{nonce_seed} {}

  void set_accounts(std::shared_ptr<const account_table> table_in, time_point now);
  void set_holders(limit_holders holders_in, time_point now);

  /// \brief Decides on a request that has just arrived. After `waits`, the caller repeats the question with
  ///        `try_again` and ends with either an admission or `stop_waiting`.
  [[nodiscard]] account_decision try_admit(const account_id& account, time_point now);
  /// \brief Decides on a request that waits; the answer is `admitted` or `waits`.
  [[nodiscard]] account_admission try_again(const account_id& account, time_point now);
  /// \brief   Ends the wait of a request without admission.
  /// \returns Time until this node's next token.
  duration stop_waiting(const account_id& account, bool is_rejected, time_point now);
  /// \brief Returns the token of a request that has not run.
  void refund(const account_id& account, time_point now);

  /// \brief Returns the asks to be sent now. Called several times a second, and after `waits`.
  [[nodiscard]] std::vector<addressed_ask> take_asks(time_point now);
  /// \brief Returns the answer to another node's ask; nothing if the account has no limit here.
  [[nodiscard]] std::optional<account_grant> on_ask(const account_ask& ask, time_point now);
  /// \brief Returns false if the grant is ignored: it is late, was received before, or answers no ask.
  bool on_grant(const account_grant& grant, time_point now);

  /// \brief Returns the accounts in use at this node.
  [[nodiscard]] std::vector<account_usage> usage(time_point now) const;
  [[nodiscard]] std::size_t tracked_accounts() const noexcept { return this->states.size(); }

 private:
  struct sent_ask {
    std::uint64_t nonce{0};
    std::size_t holder{0};
    double amount{0};
    time_point sent_at;
  };
  /// What this node knows about another holder's tokens of one account.
  struct holder_record {
    time_point last_grant_at{INT64_MIN / 2};
    time_point paused_until{INT64_MIN / 2};
    int refusals{0};
  };
  struct state {
    account_bucket bucket;
    /// Positions of the account's holders in `holders.all`.
    std::vector<std::size_t> account_holders;
    /// By position in `holders.all`.
    absl::flat_hash_map<std::size_t, holder_record> records;
    std::vector<sent_ask> asks;
    double demand{0};
    time_point demand_at;
    int waiting{0};
    int refusals_in_row{0};
    time_point paused_until{INT64_MIN / 2};
    bool is_short{false};
    std::uint64_t admitted{0};
    std::uint64_t rejected{0};
    /// Admissions in the current and in the previous window. Windows follow each other.
    std::uint64_t in_window{0};
    std::uint64_t in_previous_window{0};
    std::int64_t window_index{0};
  };

  /// Returns null if the account has no limit.
  [[nodiscard]] state* state_of(std::uint64_t account, time_point now);
  [[nodiscard]] account_share share_of(const account_declaration& account,
                                       const std::vector<std::size_t>& account_holders) const;
  [[nodiscard]] std::vector<std::size_t> holders_of(const account_declaration& account) const;
  void update_states(time_point now);
  /// Begins a new window if the current one is over.
  void update_window(state& entry, time_point now) const noexcept;
  void count_admission(state& entry, time_point now) const noexcept;
  static void count_demand(state& entry, time_point now, double arrivals) noexcept;
  /// Returns the largest amount that a node may ask for.
  [[nodiscard]] double max_ask(std::uint64_t account) const;
  /// Returns the tokens that this node needs soon.
  [[nodiscard]] double needed(std::uint64_t account, const state& entry) const;
  /// Returns the number of refusals in a row after which asks pause.
  [[nodiscard]] int refusals_to_pause(const state& entry) const;
  /// Returns true if a request may wait for a grant.
  [[nodiscard]] bool can_wait(std::uint64_t account, const state& entry, time_point now) const;
  [[nodiscard]] duration time_to_token(std::uint64_t account, state& entry, time_point now) const;
  void note_short(std::uint64_t account, state& entry, time_point now);
  /// Treats asks without an answer as lost.
  static void drop_lost_asks(state& entry, time_point now);
  void ask_for(std::uint64_t account, state& entry, std::vector<addressed_ask>& asks, time_point now);
  [[nodiscard]] std::vector<std::size_t> choose_holders(const state& entry, std::size_t count,
                                                        time_point now) const;
  void drop_idle(time_point now);

  account_limit_settings settings;
  std::shared_ptr<const account_table> table;
  limit_holders holders;
  /// When this node became a holder.
  time_point holder_since;
  std::uint64_t next_nonce;
  /// Accounts with a limit by the hash of their name.
  absl::flat_hash_map<std::uint64_t, const account_declaration*> limited;
  absl::flat_hash_map<std::uint64_t, state> states;
  /// Accounts with `state::is_short`.
  std::vector<std::uint64_t> short_accounts;
  time_point cleaned_at{INT64_MIN / 2};
};

}  // namespace zinnia
