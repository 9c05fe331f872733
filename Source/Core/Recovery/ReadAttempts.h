#pragma once

#include "Core/Common/Clock.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace rattancart {

/// Decides when a read of the store that gets no answer is attempted again, and when its silence
/// counts as a failure of the store.
///
/// A silent attempt may have lost its connection, or its answer may wait behind those to other
/// readers: nothing tells which. So a further attempt begins beside the earlier ones, and the first
/// answer counts: an attempt that is given up loses its place in the store. The number of attempts
/// is limited, since readers that wait for a busy store must not fill it with copies of their
/// reads. Beyond it, the newest attempt is replaced, so that a store that is back after a silence
/// is reached soon.
///
/// Attempts are numbered from 0 in the order in which they begin. Not thread-safe.
class ReadAttempts {
public:
  /// An attempt begins that the store may hold for Wait. Returns its number.
  std::size_t begin(TimePoint Now, Duration Wait);
  /// A part of the answer to an attempt arrived at At. Precondition: the attempt has begun.
  void onProgress(std::size_t Number, TimePoint At);
  /// An attempt ended without an answer. Returns whether that is a failure that takeSilent() has
  /// not returned before. Precondition: the attempt has begun.
  bool onFailed(std::size_t Number);
  /// Forgets all attempts: the read was answered or given up.
  void clear() { Attempts_.clear(); }

  TimePoint beganAt(std::size_t Number) const { return Attempts_[Number].BeganAt_; }
  /// Whether a further attempt is due.
  bool isFurtherDue(TimePoint Now) const;
  /// The attempt to give up before a further one begins; nothing if none need be.
  std::optional<std::size_t> replaced() const;
  /// An attempt whose silence counts as a failed call from now on; each is returned once.
  std::optional<std::size_t> takeSilent(TimePoint Now);
  /// When the answers to the two questions above may change, if nothing arrives until then.
  TimePoint nextCheckAt() const;

private:
  struct Attempt {
    TimePoint BeganAt_;
    /// Since when nothing has arrived that was expected.
    TimePoint SilentSince_;
    bool Receiving_ = false;
    bool Ended_ = false;
    bool Reported_ = false;
  };
  TimePoint furtherDueAt() const;
  std::size_t underWay() const;
  static TimePoint silentAt(const Attempt &Each);

  std::vector<Attempt> Attempts_;
};

} // namespace rattancart
