// At most one run for each idempotency key: the records of one key bucket and the journal that fences them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "zinnia/core/ids.hpp"
#include "zinnia/core/reason.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/units.hpp"
#include "zinnia/core/verdict.hpp"
#include "zinnia/settings/service_settings.hpp"

namespace zinnia {

/// \brief The whole answer of a request, as kept for repeats of its key.
struct kept_answer {
  int status{0};
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// False when the body was too large to survive a change of home.
  bool body_kept{true};
};

enum class key_state : unsigned char {
  /// Its intent is not yet in the journal; it was not dispatched.
  intent,
  /// Dispatched, or about to be.
  running,
  /// It ran and the answer is known.
  done,
  /// Nobody knows. Only an operator changes this.
  uncertain,
  /// It certainly did not run; the key may run again.
  cleared,
};

/// \brief What is known of one key.
struct key_record {
  request_id first_request;
  /// Hash of the request, so that a key used for another request is noticed.
  std::uint64_t fingerprint{0};
  key_state state{key_state::intent};
  std::int64_t expires_unix_ms{0};
  kept_answer answer;
};

/// \brief Service and key together name a record.
struct key_name {
  service_id service;
  idempotency_key key;

  friend auto operator<=>(const key_name&, const key_name&) = default;
};

/// \brief One object of the journal; object number N of a bucket can be created only once.
struct journal_batch {
  std::int64_t sequence{0};
  epoch written_under;
  /// Unique, to recognise a write whose answer was lost.
  std::string write_id;
  /// The first batch of a new holder. Never deleted: it is what stops the former holder.
  bool claim{false};
  /// Holds all live records, so that older batches are no longer needed.
  bool snapshot{false};
  std::vector<std::pair<key_name, key_record>> records;
};

[[nodiscard]] std::string encode(const journal_batch& batch);
[[nodiscard]] result<journal_batch> decode_journal_batch(const std::string& text);

/// \brief A request that carries a key.
struct key_request {
  key_name name;
  request_id request;
  std::uint64_t fingerprint{0};
  std::int64_t now_unix_ms{0};
  std::int64_t window_ms{0};
  outage_policy on_outage{outage_policy::refuse};
};

enum class key_step : unsigned char {
  /// Wait until the journal holds the intent, then dispatch.
  wait_for_journal,
  /// Dispatch now.
  dispatch,
  /// The first request with this key still runs; wait for its end.
  join,
  /// Give the kept answer.
  replay,
  /// Refuse, with the reason and verdict given.
  refuse,
};

struct key_decision {
  key_step step{key_step::refuse};
  reason why{reason::none};
  verdict known{verdict::did_not_run};
  /// The request that holds or held the key.
  request_id first_request;
};

/// \brief   The home of one bucket of keys, under one epoch.
/// \details Not thread safe. Invariants: nothing is dispatched before its intent is in the journal, unless
///          deferral is allowed; once fenced, nothing is dispatched again; an uncertain record never changes
///          by itself.
class key_home {
 public:
  /// \param blind_before_unix_ms Keys minted before this may have run without a trace; 0 if none.
  key_home(epoch held_since, std::int64_t blind_before_unix_ms, std::string writer);

  /// \name Recovery
  /// \{
  /// \brief Takes in one batch of the journal, in the order of their numbers.
  void restore(const journal_batch& batch);
  /// \brief All batches are in; the next one written is the claim.
  void finish_restore();
  [[nodiscard]] bool is_active() const noexcept { return this->active && !this->fenced; }
  [[nodiscard]] bool is_fenced() const noexcept { return this->fenced; }
  /// \}

  /// \name Requests
  /// \{
  [[nodiscard]] key_decision begin(const key_request& request);
  /// \brief What a waiting request should do now.
  [[nodiscard]] key_decision look(const key_name& name, const request_id& request) const;
  /// \brief To be called right before the first byte is sent; false means that it must not be sent.
  [[nodiscard]] bool mark_running(const key_name& name, const request_id& request);
  /// \brief The first request gave up before it was dispatched.
  void withdraw(const key_name& name, const request_id& request);
  /// \brief The first request ended.
  void finish(const key_name& name, const request_id& request, verdict outcome, kept_answer answer);
  [[nodiscard]] const key_record* find(const key_name& name) const;
  /// \brief Applies an operator's resolution of an uncertain record.
  /// \return False if the record is not uncertain.
  [[nodiscard]] bool resolve(const key_name& name, bool ran);
  void expire(std::int64_t now_unix_ms);
  /// \}

  /// \name Journal
  /// \{
  /// \brief   The next batch to write, if there is something to write and none is under way.
  /// \details Gives a batch again whose write may have taken effect, until that is known.
  [[nodiscard]] std::optional<journal_batch> next_batch();
  void batch_written();
  /// \brief The batch was certainly not written. Intents in it are refused or, if allowed, deferred.
  void batch_not_written();
  /// \brief The batch's number was taken by this batch.
  void batch_conflicts(const journal_batch& existing);
  /// \brief Nobody knows whether the batch under way was written.
  void batch_unsettled() noexcept;
  /// \brief Whether dispatch may go ahead of the journal during an outage.
  void set_deferral_allowed(bool allowed) noexcept { this->deferral_allowed = allowed; }
  /// \brief The journal is down, or holds not yet all that was dispatched ahead of it.
  [[nodiscard]] bool is_behind() const noexcept { return this->journal_down || !this->ahead.empty(); }
  [[nodiscard]] bool has_unwritten() const noexcept { return !this->dirty.empty() || this->in_flight; }
  /// \brief Numbers of batches that a snapshot has made superfluous.
  [[nodiscard]] std::vector<std::int64_t> take_superfluous();
  /// \}

 private:
  [[nodiscard]] key_decision decide_existing(const key_record& record, const key_request& request) const;
  [[nodiscard]] bool may_have_run_unseen(const key_request& request) const;
  void touch(const key_name& name) { this->dirty.insert(name); }
  void note_batch(const journal_batch& batch);
  void drop_intents_of(const journal_batch& batch);

  epoch held;
  std::int64_t blind_before;
  std::string writer_id;
  bool restored{false};
  bool active{false};
  bool fenced{false};
  bool journal_down{false};
  bool deferral_allowed{false};
  std::int64_t next_sequence{1};
  std::int64_t writes{0};
  std::int64_t since_snapshot{0};
  std::optional<journal_batch> in_flight;
  /// An earlier write of the batch under way may have taken effect, so no failure can end it.
  bool unsettled{false};
  std::map<key_name, key_record> records;
  /// Records that the journal does not hold in their present state.
  std::set<key_name> dirty;
  /// Intents that the journal holds, or that may go ahead of it.
  std::set<key_name> ready;
  /// Dispatched before any batch with their intent was written.
  std::set<key_name> ahead;
  std::vector<std::int64_t> plain_sequences;
  std::vector<std::int64_t> superfluous;
};

/// \name Keys handed out by look-ups
/// \{
struct minted_key {
  region_id region;
  std::int64_t minted_unix_ms{0};
};

/// \brief A key that names the region of its home and when it was made.
[[nodiscard]] idempotency_key mint_key(const region_id& region, std::int64_t now_unix_ms,
                                       std::uint64_t random);
/// \brief Reads a minted key; nothing for keys of a caller's own making.
[[nodiscard]] std::optional<minted_key> parse_minted_key(const idempotency_key& key);
/// \brief The bucket of a key within its region.
[[nodiscard]] std::int64_t bucket_for(const key_name& name, std::int64_t buckets);
/// \}

}  // namespace zinnia
