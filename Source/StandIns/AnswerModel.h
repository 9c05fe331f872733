#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The deterministic language model of the engine stand-ins.
namespace rattancart {

/// Length of an answer whose prompt does not end with "#N", which asks for N tokens.
inline constexpr std::uint32_t DefaultAnswerTokens = 16;

/// Computes the next token of one sequence. It is a function of the model version and of all
/// tokens so far, so a lost or repeated token, or one of another sequence, changes the rest.
/// Not thread-safe.
class AnswerModel {
public:
  explicit AnswerModel(std::string_view Version);

  /// Appends a token of the prompt or of the answer to the sequence.
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
