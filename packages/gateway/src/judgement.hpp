// What an answer, or the lack of one, says of a request and of the backend server that it was sent to.
#pragma once

#include "zinnia/core/reason.hpp"
#include "zinnia/core/verdict.hpp"
#include "zinnia/gateway/wire_dialect.hpp"
#include "zinnia/http/backend_connection.hpp"
#include "zinnia/routing/backend_state.hpp"

namespace zinnia {

/// \brief One attempt, judged.
struct judgement {
  backend_outcome outcome{backend_outcome::responded};
  verdict ran{verdict::ran};
  reason why{reason::none};
  /// The answer may go to the caller as it is.
  bool passable{true};
  /// Another backend server might do better.
  bool worth_repeating{false};
};

/// \brief   Judges a whole answer by its head.
/// \details A refusal is passed on only as this node's own: a server's 503 without its word that nothing ran
///          would promise the caller too much. A success without its stamp is not the server's answer.
[[nodiscard]] judgement judge_answer(const response_head& answer, const wire_dialect& dialect);

/// \brief Judges an attempt by how its call ended.
[[nodiscard]] judgement judge_call(const backend_call_end& end, const response_head& answer,
                                   const wire_dialect& dialect);

/// \brief Whether a status is a success.
[[nodiscard]] bool is_success(int status) noexcept;

}  // namespace zinnia
