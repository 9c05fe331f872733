#pragma once

#include "Core/Common/Ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattancart {

/// One event of an engine's prefix cache.
struct PrefixEvent {
  enum class Kind : std::uint8_t { Stored, Evicted };
  /// Rises by one with each event of one run of an engine.
  std::uint64_t Sequence_ = 0;
  Kind Kind_ = Kind::Stored;
  std::string Prefix_;
};

/// An engine that is believed to hold a prefix.
struct PrefixHolder {
  EndpointId Engine_;
  /// The probability that it still holds the prefix, from 0 to 1.
  double Confidence_ = 1;
};

/// Records which engines hold which prompt prefixes, as far as one router knows. Its sources are
/// the engines' cache events, which arrive late and with gaps, and the router's own requests.
///
/// Missing events may have been evictions, so a gap lowers the confidence in every prefix that the
/// engine was believed to hold before it. Not thread-safe.
class PrefixIndex {
public:
  /// Keeps at most MaxPrefixes; the prefixes that were added first are removed first.
  explicit PrefixIndex(std::size_t MaxPrefixes) : MaxPrefixes_(MaxPrefixes) {}

  /// Applies an engine's cache event. Events that are not newer than the last one are ignored.
  void apply(const EndpointId &Engine, const PrefixEvent &Event);
  /// Records that an engine prefilled a prompt that begins with the prefix.
  void recordUse(const EndpointId &Engine, const std::string &Prefix) { store(Engine, Prefix); }
  /// Removes all that is known of an engine that has restarted or is gone.
  void forget(const EndpointId &Engine);

  /// The engines that are believed to hold the prefix. Valid until the next change.
  std::span<const PrefixHolder> holders(const std::string &Prefix) const;
  /// The probability that the engine holds the prefix.
  double confidence(const EndpointId &Engine, const std::string &Prefix) const;
  std::size_t size() const { return Prefixes_.size(); }

private:
  struct EngineState {
    std::uint64_t Sequence_ = 0;
    /// The number of prefixes that the engine is believed to hold.
    std::size_t HeldPrefixes_ = 0;
  };

  void store(const EndpointId &Engine, const std::string &Prefix);
  void evict(const EndpointId &Engine, const std::string &Prefix);
  /// Lowers the confidence in an engine's prefixes after a gap of Missing events.
  void lowerConfidence(const EndpointId &Engine, std::uint64_t Missing);
  /// Removes the prefixes beyond MaxPrefixes_.
  void removeOldest();

  std::size_t MaxPrefixes_;
  std::unordered_map<std::string, std::vector<PrefixHolder>> Prefixes_;
  std::deque<std::string> InsertionOrder_;
  std::unordered_map<EndpointId, EngineState> Engines_;
};

} // namespace rattancart
