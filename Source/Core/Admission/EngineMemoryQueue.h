#pragma once

#include "Core/Admission/FairQueue.h"

#include <deque>
#include <optional>

namespace rattancart {

struct EngineMemoryQueueOptions {
  /// The longest wait. A first answer after it would come too late to count as in time.
  Duration MaxWait_ = std::chrono::milliseconds(400);
  /// A waiting request rises by one priority in this time, so that none starves.
  Duration AgeingStep_ = std::chrono::milliseconds(200);
};

/// Requests that wait for memory at the engines.
///
/// Answers bursts and losses that leave a little too little room for some hundred ms: a request
/// waits if room is expected within the limit, judged by how many streams have ended lately, and is
/// refused at once otherwise. Order by priority, then fair among customers. Not thread-safe.
class EngineMemoryQueue {
public:
  explicit EngineMemoryQueue(EngineMemoryQueueOptions Options = {})
      : Options_(Options), Queue_(QueueOrder::Fair, Options.AgeingStep_) {}

  /// Takes a request in, if room for it is expected in time. Tokens is the room that it needs.
  bool tryEnqueue(AdmissionTicket Ticket, const CustomerId &Customer, PriorityClass Priority,
                  double Tokens, TimePoint Now);
  /// Whether it is this request's turn.
  bool isNext(AdmissionTicket Ticket, TimePoint Now);
  /// The request was placed, refused or given up. An unknown ticket is ignored.
  void remove(AdmissionTicket Ticket);
  /// A stream has ended, and its room is free again.
  void onMemoryFreed(TimePoint Now);

  std::size_t size() const { return Queue_.size() + (Head_ ? 1 : 0); }
  const EngineMemoryQueueOptions &options() const { return Options_; }

private:
  /// Streams that end within the longest wait, going by those of late.
  double endsInTime(TimePoint Now);

  EngineMemoryQueueOptions Options_;
  FairQueue Queue_;
  /// The request whose turn it is; it stays the next until it leaves.
  std::optional<QueuedRequest> Head_;
  /// When streams ended lately.
  std::deque<TimePoint> Ends_;
};

} // namespace rattancart
