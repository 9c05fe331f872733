#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"
#include "Core/Common/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The records of the log's stream of claims.
///
/// Before a call with an idempotency key is sent, it claims the key by a record in this stream. The
/// first eligible claim wins; its call holds the key until a record says that it is done or that it
/// releases the key.
namespace rattancart {

/// The name of the stream.
inline constexpr const char *ClaimStream = "claims";
/// Version of the records; a reader stops at any other one.
inline constexpr std::int64_t ClaimSchema = 1;
/// The longest body that is recorded with an answer, in bytes; longer ones are left out.
inline constexpr std::size_t MaxClaimBodyBytes = 4096;

/// One event in the life of a claim.
struct ClaimItem {
  enum class Kind : std::uint8_t {
    /// Call_ claims Key_. Position_ is a tail of the stream that was known when the call arrived.
    Claim,
    /// The holder Call_ was sent. Status_ and Body_ are the endpoint's answer.
    Done,
    /// The holder Call_ was not sent and releases Key_.
    Released,
  };
  Kind Kind_ = Kind::Claim;
  RequestId Call_;
  IdempotencyKey Key_;
  LogOffset Position_{0};
  /// HTTP status; 0 if the call may have run and its answer is not known.
  std::uint32_t Status_ = 0;
  std::string Body_;

  bool operator==(const ClaimItem &) const = default;
};

/// Removes the keys whose deduplication window is over: those last changed before Before_. Claims
/// with a position below Floor_ are not eligible from then on.
struct ClaimForget {
  LogOffset Before_{0};
  LogOffset Floor_{0};

  bool operator==(const ClaimForget &) const = default;
};

/// The state of one key in a ClaimTable.
struct ClaimEntry {
  IdempotencyKey Key_;
  /// The call that holds the key. Empty if no call does or the holder is done.
  RequestId Holder_;
  /// The offset of the holder's claim.
  LogOffset ClaimedAt_ = NoOffset;
  bool Done_ = false;
  std::uint32_t Status_ = 0;
  std::string Body_;
  /// Claims for this key with a lower position are not eligible.
  LogOffset Floor_{0};
  /// The offset of the last record that changed the key.
  LogOffset ChangedAt_ = NoOffset;

  bool operator==(const ClaimEntry &) const = default;
};

/// A tail of the stream that was read Age_ ago.
struct TailObservation {
  LogOffset Tail_{0};
  std::chrono::milliseconds Age_{};

  bool operator==(const TailObservation &) const = default;
};

/// The state of a ClaimTable, or a part of it, after all records before Tail_.
struct ClaimImage {
  LogOffset Tail_{0};
  LogOffset Floor_{0};
  std::vector<TailObservation> TailObservations_;
  std::vector<ClaimEntry> Entries_;

  bool operator==(const ClaimImage &) const = default;
};

/// One part of a snapshot. The entries of all its parts together are those of the table.
struct ClaimSnapshotPart {
  /// Identifies the snapshot.
  std::string Id_;
  /// From 0.
  std::uint32_t Part_ = 0;
  /// The number of parts.
  std::uint32_t Parts_ = 1;
  ClaimImage Image_;

  bool operator==(const ClaimSnapshotPart &) const = default;
};

/// One record: a batch of items, a removal of old keys or a part of a snapshot.
struct ClaimRecord {
  std::vector<ClaimItem> Items_;
  std::optional<ClaimForget> Forget_;
  std::optional<ClaimSnapshotPart> Snapshot_;

  bool operator==(const ClaimRecord &) const = default;
};

/// The record as JSON text. Bodies for which isRecordableBody is false are left out.
/// Precondition: ids and keys are valid UTF-8. Thread-safe.
std::string encodeClaimRecord(const ClaimRecord &Record);
/// Errors: MalformedRecord, UnknownSchema. Thread-safe.
Result<ClaimRecord> decodeClaimRecord(std::string_view Text);
/// Whether an answer's body can be recorded: it is valid UTF-8 of at most MaxClaimBodyBytes.
/// Thread-safe.
bool isRecordableBody(std::string_view Body);

} // namespace rattancart
