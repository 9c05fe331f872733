#include "Core/Settings/DurationText.h"

#include "Core/Common/ErrorCode.h"

#include <fmt/format.h>

#include <charconv>
#include <cstdint>

namespace rattancart {

namespace {

/// Keeps the result well within the range of Duration.
constexpr std::int64_t MaxHours = 24L * 366;

Duration unitOf(std::string_view Unit) {
  if (Unit == "us")
    return std::chrono::microseconds(1);
  if (Unit == "ms")
    return std::chrono::milliseconds(1);
  if (Unit == "s")
    return std::chrono::seconds(1);
  if (Unit == "m")
    return std::chrono::minutes(1);
  if (Unit == "h")
    return std::chrono::hours(1);
  return Duration::zero();
}

} // namespace

Result<Duration> durationFromText(std::string_view Text) {
  std::int64_t Count = 0;
  const auto [End, Failure] = std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  const Duration Unit =
      unitOf(Text.substr(static_cast<std::size_t>(End - Text.data()), std::string_view::npos));
  if (Failure != std::errc{} || Unit == Duration::zero() || Count < 0 ||
      Count > std::chrono::hours(MaxHours) / Unit)
    return Error{ErrorCode::BadDuration, fmt::format("\"{}\" is not a duration like 250ms", Text)};
  return Unit * Count;
}

} // namespace rattancart
