#include "Core/Serving/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace rattancart {

namespace {

/// The position after the first blank line at or after From; npos if there is none.
std::size_t eventEnd(std::string_view Text, std::size_t From) {
  for (std::size_t At = Text.find('\n', From); At != std::string_view::npos;
       At = Text.find('\n', At + 1)) {
    if (At + 1 < Text.size() && Text[At + 1] == '\n')
      return At + 2;
    if (At + 2 < Text.size() && Text[At + 1] == '\r' && Text[At + 2] == '\n')
      return At + 3;
  }
  return std::string_view::npos;
}

/// The name of the field in a line, empty for a comment; nothing if the line is neither.
std::optional<std::string_view> fieldName(std::string_view Line) {
  const std::string_view Name = Line.substr(0, Line.find(':'));
  const bool IsName = std::all_of(Name.begin(), Name.end(), [](char Letter) {
    return (Letter >= 'a' && Letter <= 'z') || (Letter >= '0' && Letter <= '9') || Letter == '-';
  });
  return IsName ? std::optional(Name) : std::nullopt;
}

/// Whether the text has a line that is neither a field nor a comment, or, if it has no id, a field
/// that belongs to an event.
bool isMalformed(std::string_view Text, bool HasId) {
  for (std::size_t Begin = 0; Begin < Text.size();) {
    const std::size_t End = std::min(Text.find('\n', Begin), Text.size());
    std::string_view Line = Text.substr(Begin, End - Begin);
    Begin = End + 1;
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    const auto Name = fieldName(Line);
    if (!Name || (!HasId && !Name->empty() && *Name != "retry"))
      return true;
  }
  return false;
}

std::optional<std::uint64_t> eventId(std::string_view Text) {
  static constexpr std::string_view Field = "id:";
  for (std::size_t Line = 0; Line < Text.size();) {
    const std::size_t End = std::min(Text.find('\n', Line), Text.size());
    std::string_view Content = Text.substr(Line, End - Line);
    Line = End + 1;
    if (!Content.starts_with(Field))
      continue;
    Content.remove_prefix(Field.size());
    Content.remove_prefix(std::min(Content.find_first_not_of(' '), Content.size()));
    std::uint64_t Id = 0;
    if (std::from_chars(Content.data(), Content.data() + Content.size(), Id).ec == std::errc())
      return Id;
  }
  return std::nullopt;
}

} // namespace

std::optional<StreamEvent> EventSplitter::next() {
  Pending_.erase(0, Consumed_);
  Consumed_ = 0;
  const std::size_t End = eventEnd(Pending_, 0);
  if (End == std::string_view::npos)
    return std::nullopt;
  Consumed_ = End;
  const std::string_view Text = std::string_view(Pending_).substr(0, End);
  const std::optional<std::uint64_t> Id = eventId(Text);
  return StreamEvent{Text, Id, isMalformed(Text, Id.has_value())};
}

void EventSplitter::reset() {
  Pending_.clear();
  Consumed_ = 0;
}

} // namespace rattancart
