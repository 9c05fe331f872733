#pragma once

#include "Core/Admission/FairQueue.h"

#include <deque>
#include <optional>

namespace rattancart {

struct EngineMemoryQueueOptions {
  /// The longest wait. After a longer one the first part of the answer would be late.
  Duration MaxWait_ = std::chrono::milliseconds(400);
  /// The waiting time that raises a request by one priority class, so that none starves.
  Duration AgeingStep_ = std::chrono::milliseconds(200);
};

/// Requests that wait for free memory at the engines.
///
/// Bridges bursts and engine losses after which memory is short for a few hundred milliseconds. A
/// request waits if enough streams ended lately to expect that memory becomes free within the
/// longest wait; otherwise it is refused at once. Requests are ordered by priority and then fairly
/// among customers. Not thread-safe.
class EngineMemoryQueue {
public:
  explicit EngineMemoryQueue(EngineMemoryQueueOptions Options = {})
      : Options_(Options), Queue_(QueueOrder::Fair, Options.AgeingStep_) {}

  /// Queues a request if memory for it is expected in time; returns false otherwise. Tokens is the
  /// memory that it needs, in tokens.
  bool tryEnqueue(AdmissionTicket Ticket, const CustomerId &Customer, PriorityClass Priority,
                  double Tokens, TimePoint Now);
  /// Whether this request is to be served next.
  bool isNext(AdmissionTicket Ticket, TimePoint Now);
  /// Removes a request that was placed, refused or abandoned. An unknown ticket is ignored.
  void remove(AdmissionTicket Ticket);
  /// Records that a stream has ended and its memory is free again.
  void onMemoryFreed(TimePoint Now);

  std::size_t size() const { return Queue_.size() + (Head_ ? 1 : 0); }
  const EngineMemoryQueueOptions &options() const { return Options_; }

private:
  /// The number of streams expected to end within the longest wait, at the rate of the latest ones.
  double expectedStreamEnds(TimePoint Now);

  EngineMemoryQueueOptions Options_;
  FairQueue Queue_;
  /// The request to serve next; it stays so until it is removed.
  std::optional<QueuedRequest> Head_;
  /// The times at which streams ended lately.
  std::deque<TimePoint> StreamEnds_;
};

} // namespace rattancart
