#include "StandIns/AnswerModel.h"

#include "Core/Common/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace rattancart {

namespace {

/// The answer's length that a prompt's last token asks for.
std::uint32_t answerTokens(std::string_view Token) {
  if (Token.size() < 2 || Token.front() != '#')
    return DefaultAnswerTokens;
  std::uint32_t Count = 0;
  const char *End = Token.data() + Token.size();
  const auto Parsed = std::from_chars(Token.data() + 1, End, Count);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return DefaultAnswerTokens;
  return std::max(Count, 1U);
}

} // namespace

AnswerModel::AnswerModel(std::string_view Version) : Hash_(stableHash(Version)) {}

void AnswerModel::add(std::string_view Token) {
  if (Token == next()) {
    ++Produced_;
  } else {
    Produced_ = 0;
    Limit_ = answerTokens(Token);
  }
  Hash_ = stableHash(Token, Hash_);
}

std::string AnswerModel::next() const { return fmt::format("w{:06x}", Hash_ >> 40); }

bool AnswerModel::nextIsLast() const { return Produced_ + 1 >= Limit_; }

std::vector<std::string> splitTokens(std::string_view Text) {
  constexpr std::string_view Space = " \t\r\n";
  std::vector<std::string> Tokens;
  std::size_t Start = Text.find_first_not_of(Space);
  while (Start != std::string_view::npos) {
    const std::size_t End = std::min(Text.find_first_of(Space, Start), Text.size());
    Tokens.emplace_back(Text.substr(Start, End - Start));
    Start = Text.find_first_not_of(Space, End);
  }
  return Tokens;
}

std::string wholeAnswer(std::string_view Version, std::string_view Prompt) {
  AnswerModel Model(Version);
  for (const std::string &Token : splitTokens(Prompt))
    Model.add(Token);
  std::string Answer;
  for (bool Last = false; !Last;) {
    Last = Model.nextIsLast();
    const std::string Token = Model.next();
    if (!Answer.empty())
      Answer += ' ';
    Answer += Token;
    Model.add(Token);
  }
  return Answer;
}

} // namespace rattancart
