#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The stand-in engines' deterministic model.
namespace rattancart {

/// Tokens of an answer whose prompt does not end with "#N".
inline constexpr std::uint32_t DefaultAnswerTokens = 16;

/// Follows one sequence token by token and tells the next one. The next token is a function of
/// the version and of all tokens so far, so a lost, repeated or foreign token changes the rest.
/// Not thread-safe.
class AnswerModel {
public:
  explicit AnswerModel(std::string_view Version);

  /// Takes the sequence's next token, of the prompt or of the answer.
  void add(std::string_view Token);
  /// The token that follows those added so far. Precondition: add was called.
  std::string next() const;
  /// Whether next() is the answer's last token. A tail of tokens that the model itself would have
  /// produced counts as the answer so far, so prompt and answer may be prefilled together.
  bool nextIsLast() const;

private:
  std::uint64_t Hash_;
  std::uint32_t Limit_ = DefaultAnswerTokens;
  std::uint32_t Produced_ = 0;
};

/// Splits a text at white space. Thread-safe.
std::vector<std::string> splitTokens(std::string_view Text);
/// The whole answer to a prompt, its tokens joined by single spaces. Thread-safe.
std::string wholeAnswer(std::string_view Version, std::string_view Prompt);

} // namespace rattancart
