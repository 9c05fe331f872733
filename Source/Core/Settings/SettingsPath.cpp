#include "Core/Settings/SettingsPath.h"

#include "Core/Common/ErrorCode.h"

#include <fmt/format.h>

#include <algorithm>

namespace rattancart {

namespace {

constexpr std::size_t MaxSegmentLength = 128;
constexpr std::size_t MaxSegments = 12;

bool isSegmentCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') || (C >= '0' && C <= '9') ||
         std::string_view("._-:@~+").find(C) != std::string_view::npos;
}

bool isSegment(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxSegmentLength && Text != "." && Text != ".." &&
         std::all_of(Text.begin(), Text.end(), isSegmentCharacter);
}

} // namespace

std::vector<std::string_view> splitSettingsPath(std::string_view Text) {
  std::vector<std::string_view> Segments;
  while (!Text.empty()) {
    Text.remove_prefix(1);
    const std::size_t End = std::min(Text.find('/'), Text.size());
    Segments.push_back(Text.substr(0, End));
    Text.remove_prefix(End);
  }
  return Segments;
}

Result<SettingsPath> SettingsPath::parse(std::string_view Text) {
  SettingsPath Path;
  if (Text == "/")
    return Path;
  if (Text.empty() || Text.front() != '/')
    return Error{ErrorCode::BadPath, fmt::format("\"{}\" does not begin with a slash", Text)};
  const std::vector<std::string_view> Segments = splitSettingsPath(Text);
  if (Text.back() == '/' || Segments.size() > MaxSegments)
    return Error{ErrorCode::BadPath,
                 fmt::format("\"{}\" has an empty segment or more than {}", Text, MaxSegments)};
  for (const std::string_view Segment : Segments)
    if (!isSegment(Segment))
      return Error{ErrorCode::BadPath, fmt::format("\"{}\": bad segment \"{}\"", Text, Segment)};
  Path.Text_ = std::string(Text);
  return Path;
}

SettingsPath SettingsPath::fromKey(std::string_view Key) {
  SettingsPath Path;
  Path.Text_ = std::string(Key);
  return Path;
}

std::vector<std::string_view> SettingsPath::segments() const { return splitSettingsPath(Text_); }

SettingsPath SettingsPath::prefix(std::size_t Count) const {
  SettingsPath Path;
  const std::vector<std::string_view> Parts = segments();
  for (std::size_t I = 0; I < Count; ++I)
    Path.Text_.append("/").append(Parts[I]);
  return Path;
}

bool SettingsPath::isAtOrBelow(const SettingsPath &Other) const {
  return Text_.starts_with(Other.Text_) &&
         (Text_.size() == Other.Text_.size() || Text_[Other.Text_.size()] == '/');
}

} // namespace rattancart
