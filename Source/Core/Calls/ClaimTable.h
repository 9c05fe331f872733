#pragma once

#include "Core/Calls/ClaimRecord.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace rattancart {

/// What the log decided so far about one call's claim.
struct ClaimVerdict {
  enum class State : std::uint8_t {
    /// The claim was not read yet and would be eligible.
    Open,
    /// The call holds the key.
    Won,
    /// Another call holds the key.
    Lost,
    /// The claim's position is below a floor. It can never win.
    NotEligible,
    /// The key's call finished.
    Done,
  };
  State State_ = State::Open;
  /// The holder's claim.
  LogOffset Offset_ = NoOffset;
  std::uint32_t Status_ = 0;
  std::string Body_;
};

/// The claims as a pure function of the stream's records: every reader decides alike.
///
/// The first eligible claim for a key holds it, by offset and place in the batch. A claim is
/// eligible if its position is not below the key's floor or the table's floor. A release raises
/// the key's floor past itself, so that neither late copies of records nor calls that were
/// waiting can win afterwards. Not thread-safe.
class ClaimTable {
public:
  ClaimTable() = default;
  explicit ClaimTable(ClaimImage Image);

  /// Applies the record at Offset. Records below the tail are ignored. The caller makes sure that
  /// none is left out.
  void apply(LogOffset Offset, const ClaimRecord &Record);
  /// Moves the tail past a record that no reader can decode.
  void skip(LogOffset Offset);

  /// What the records so far say about the claim of Call for Key at Position.
  ClaimVerdict verdictOf(const RequestId &Call, const IdempotencyKey &Key,
                         LogOffset Position) const;
  /// The offset of the next record to apply.
  LogOffset tail() const { return Tail_; }
  /// Claims with a lower position are not eligible for any key.
  LogOffset floor() const { return Floor_; }
  /// Keys known, released ones included.
  std::size_t size() const { return Entries_.size(); }
  /// Keys held by a call that has not finished.
  std::size_t heldKeys() const;
  /// Whether a key was last changed before Offset.
  bool hasEntryBefore(LogOffset Offset) const;
  /// The whole state, ordered by key, without marks.
  ClaimImage image() const;

private:
  /// A key's state without the key, which the map holds.
  struct Known {
    /// Dropped once the call is done: any call is answered alike from then on.
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
  void claim(LogOffset Offset, const ClaimItem &Item);
  void forget(LogOffset Offset, const ClaimForget &Forget);

  LogOffset Tail_{0};
  LogOffset Floor_{0};
  std::unordered_map<IdempotencyKey, Known> Entries_;
};

} // namespace rattancart
