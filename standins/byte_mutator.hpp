// Makes damaged inputs for parsers out of valid ones. The same seed gives the same inputs.
#pragma once

#include <array>
#include <cstddef>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia::standins {

/// \brief Returns mutations of the given valid inputs: changed, missing, repeated and spliced bytes, and
/// pieces
///        that parsers often get wrong.
class byte_mutator {
 public:
  byte_mutator(std::vector<std::string> corpus_in, unsigned seed)
      : corpus{std::move(corpus_in)}, random{seed} {}

  /// \brief Returns the next input; at most about twice as long as the longest valid one.
  [[nodiscard]] std::string next() {
    auto input = this->corpus[this->below(this->corpus.size())];
    for (auto changes = 1 + this->below(4); changes > 0; --changes) {
      this->change(input);
    }
    return input;
  }
  /// \brief Returns a number from 0 to `limit` - 1, or 0 if `limit` is 0.
  [[nodiscard]] std::size_t below(std::size_t limit) { return limit == 0 ? 0 : this->random() % limit; }

 private:
  static constexpr std::size_t max_range = 24;
  static constexpr std::array<std::string_view, 24> pieces{
      "-1",      "0",    "4294967296", "18446744073709551616",
      "1e300",   "nan",  "null",       "\"",
      "\\u0000", "\xff", "{",          "[",
      "]}",      ": ",   ",",          "\r\n",
      "\n\n",    "\t",   "&a ",        "*a",
      "%",       "=;",   "0x",         std::string_view{"\0\0\0\0", 4}};

  void change(std::string& input) {
    const auto at = this->below(input.size() + 1);
    const auto count = this->below(max_range);
    switch (this->below(7)) {
      case 0:
        input.insert(at, pieces[this->below(pieces.size())]);
        break;
      case 1:
        input.erase(at, count);
        break;
      case 2:
        input.insert(at, input.substr(this->below(input.size() + 1), count));
        break;
      case 3:
        input.resize(at);
        break;
      case 4: {
        const auto& other = this->corpus[this->below(this->corpus.size())];
        input = input.substr(0, at) + other.substr(this->below(other.size() + 1));
        break;
      }
      case 5:
        if (at < input.size()) {
          input[at] = static_cast<char>(input[at] ^ (1 << this->below(8)));
        }
        break;
      default:
        if (at < input.size()) {
          input[at] = static_cast<char>(this->random());
        }
    }
  }

  std::vector<std::string> corpus;
  std::mt19937 random;
};

}  // namespace zinnia::standins
