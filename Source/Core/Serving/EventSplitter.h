#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattancart {

/// One complete event of a stream, including the blank line at its end.
struct StreamEvent {
  std::string_view Text_;
  /// The event's id, if it has a numeric one.
  std::optional<std::uint64_t> Id_;
  /// Whether this is no event of a numbered stream: it has fields but no id, or a line that is
  /// neither a field nor a comment. Such text is not part of the engine's answer.
  bool Malformed_ = false;
};

/// Splits the bytes of an event stream into complete events, so that the caller never gets part of
/// an event if an engine fails in the middle of it. Not thread-safe.
class EventSplitter {
public:
  /// Adds bytes that arrived.
  void feed(std::string_view Data) { Pending_ += Data; }
  /// The next complete event, or nothing until more bytes arrive. Its text is valid until the next
  /// call.
  std::optional<StreamEvent> next();
  /// The number of bytes of an event that is not complete yet.
  std::size_t pendingBytes() const { return Pending_.size() - Consumed_; }
  /// Discards an incomplete event, for example when another stream continues.
  void reset();

private:
  std::string Pending_;
  std::size_t Consumed_ = 0;
};

} // namespace rattancart
