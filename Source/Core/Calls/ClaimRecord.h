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
namespace rattancart {

/// The name of the stream.
inline constexpr const char *ClaimStream = "claims";
/// Version of the records; a reader stops at a higher one.
inline constexpr std::int64_t ClaimSchema = 1;
/// Answers with a longer body are recorded without it, in bytes.
inline constexpr std::size_t MaxClaimBodyBytes = 4096;

/// One step in the life of a claim.
struct ClaimItem {
  enum class Kind : std::uint8_t {
    /// Call_ asks for Key_; Position_ is the tail known when the call arrived.
    Claim,
    /// The holder Call_ ran; Status_ and Body_ are its answer.
    Done,
    /// The holder Call_ will not run and gives Key_ back.
    Released,
  };
  Kind Kind_ = Kind::Claim;
  RequestId Call_;
  IdempotencyKey Key_;
  LogOffset Position_{0};
  /// 0 if the call may have run and its answer is not known.
  std::uint32_t Status_ = 0;
  std::string Body_;

  bool operator==(const ClaimItem &) const = default;
};

/// Drops the keys last changed before Before_. Claims with a position below Floor_ are not
/// eligible from then on.
struct ClaimForget {
  LogOffset Before_{0};
  LogOffset Floor_{0};

  bool operator==(const ClaimForget &) const = default;
};

/// What a table knows about one key.
struct ClaimEntry {
  IdempotencyKey Key_;
  /// The call that holds the key; empty if none, or once it is done.
  RequestId Holder_;
  /// The holder's claim.
  LogOffset ClaimedAt_ = NoOffset;
  bool Done_ = false;
  std::uint32_t Status_ = 0;
  std::string Body_;
  /// Claims with a lower position are not eligible.
  LogOffset Floor_{0};
  /// The last record that changed the key.
  LogOffset ChangedAt_ = NoOffset;

  bool operator==(const ClaimEntry &) const = default;
};

/// A tail of the stream that was known Age_ ago.
struct ClaimMark {
  LogOffset Tail_{0};
  std::chrono::milliseconds Age_{};

  bool operator==(const ClaimMark &) const = default;
};

/// A table's state, or a part of it, after all records before Tail_.
struct ClaimImage {
  LogOffset Tail_{0};
  LogOffset Floor_{0};
  std::vector<ClaimMark> Marks_;
  std::vector<ClaimEntry> Entries_;

  bool operator==(const ClaimImage &) const = default;
};

/// One part of a snapshot. The entries of all parts together make the image.
struct ClaimSnapshotPart {
  /// Unique for each snapshot.
  std::string Id_;
  std::uint32_t Part_ = 0;
  std::uint32_t Parts_ = 1;
  ClaimImage Image_;

  bool operator==(const ClaimSnapshotPart &) const = default;
};

/// One record: a batch of items, or a part of a snapshot.
struct ClaimRecord {
  std::vector<ClaimItem> Items_;
  std::optional<ClaimForget> Forget_;
  std::optional<ClaimSnapshotPart> Snapshot_;

  bool operator==(const ClaimRecord &) const = default;
};

/// The record's text. Bodies that are too long or not valid UTF-8 are left out.
/// Precondition: ids and keys are valid UTF-8. Thread-safe.
std::string encodeClaimRecord(const ClaimRecord &Record);
/// Errors: MalformedRecord, UnknownSchema. Thread-safe.
Result<ClaimRecord> decodeClaimRecord(std::string_view Text);
/// Whether an answer's body can be kept in a record. Thread-safe.
bool isRecordableBody(std::string_view Body);

} // namespace rattancart
