#pragma once

#include "Core/Calls/ClaimRecord.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace rattancart {

/// What the records read so far decide about one call's claim.
struct ClaimDecision {
  enum class State : std::uint8_t {
    /// No call holds the key, and a claim of this call could still win.
    Open,
    /// The call holds the key.
    Won,
    /// Another call holds the key and is not done.
    Lost,
    /// The claim's position is below a floor, so it can never win.
    NotEligible,
    /// The call that held the key is done; Status_ and Body_ are its answer.
    Done,
  };
  State State_ = State::Open;
  /// The offset of the holder's claim.
  LogOffset Offset_ = NoOffset;
  std::uint32_t Status_ = 0;
  std::string Body_;
};

/// The state of all claimed keys. It is a function of the stream's records alone, so every reader
/// comes to the same decisions.
///
/// The first eligible claim for a key wins, in the order of offsets and, within a batch, of items.
/// A claim is eligible if its position is not below the key's floor or the table's floor. A release
/// raises the key's floor above its own offset, so that neither a duplicate of an earlier record
/// nor a call that arrived before the release can win afterwards. Not thread-safe.
class ClaimTable {
public:
  ClaimTable() = default;
  explicit ClaimTable(ClaimImage Image);

  /// Applies the record at Offset. Records below the tail are ignored.
  /// Precondition: no record between the tail and Offset is left out.
  void apply(LogOffset Offset, const ClaimRecord &Record);
  /// Moves the tail past a record that cannot be decoded.
  void skip(LogOffset Offset);

  /// What the records so far decide about the claim of Call for Key with Position.
  ClaimDecision decisionFor(const RequestId &Call, const IdempotencyKey &Key,
                            LogOffset Position) const;
  /// The offset of the next record to apply.
  LogOffset tail() const { return Tail_; }
  /// Claims with a lower position are not eligible for any key.
  LogOffset floor() const { return Floor_; }
  /// The number of keys, released ones included.
  std::size_t size() const { return Entries_.size(); }
  /// The number of keys held by a call that is not done.
  std::size_t heldKeys() const;
  /// Whether the last change of any key was before Offset.
  bool hasEntryChangedBefore(LogOffset Offset) const;
  /// The whole state, ordered by key, without tail observations.
  ClaimImage image() const;

private:
  /// As ClaimEntry without the key, which is the map's key.
  struct KeyState {
    /// Cleared once the call is done: all calls get the recorded answer from then on.
    RequestId Holder_;
    LogOffset ClaimedAt_ = NoOffset;
    LogOffset Floor_{0};
    LogOffset ChangedAt_ = NoOffset;
    std::string Body_;
    std::uint32_t Status_ = 0;
    bool Done_ = false;

    bool isTaken() const { return Done_ || !Holder_.empty(); }
  };
  void applyItem(LogOffset Offset, const ClaimItem &Item);
  void applyClaim(LogOffset Offset, const ClaimItem &Item);
  void applyForget(LogOffset Offset, const ClaimForget &Forget);

  LogOffset Tail_{0};
  LogOffset Floor_{0};
  std::unordered_map<IdempotencyKey, KeyState> Entries_;
};

} // namespace rattancart
