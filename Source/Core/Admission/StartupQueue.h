#pragma once

#include "Core/Admission/AdmissionTypes.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace rattancart {

struct StartupQueueOptions {
  /// Requests wait until this time after the start of the process at most; zero refuses them at
  /// once.
  Duration MaxWait_{};
  std::size_t MaxRequests_ = 256;
  /// Limit of the bytes of all waiting requests.
  std::uint64_t MaxBytes_ = 4 * 1024 * 1024;
};

/// Requests that arrive while the process has just started and still lacks its configuration or the
/// list of endpoints.
///
/// Answers the load pattern in which many processes start together: callers reconnect within
/// milliseconds, and a refusal would send them all back at once, most of them for their last try.
/// Only the first moments count; a process that is not ready later, such as while the store is out
/// of reach, refuses at once. Not thread-safe.
class StartupQueue {
public:
  StartupQueue(StartupQueueOptions Options, TimePoint StartedAt);

  /// Queues a request of this size. Returns false if it must be refused at once. A request waits
  /// for half of its caller's time at most, so that the other half is left for its answer.
  bool tryEnqueue(AdmissionTicket Ticket, std::uint64_t Bytes, Duration TimeBudget, TimePoint Now);
  /// Removes a request whose caller has gone. An unknown ticket is ignored.
  void remove(AdmissionTicket Ticket);
  /// Removes and returns the requests that can't wait any longer.
  std::vector<AdmissionTicket> takeExpired(TimePoint Now);
  /// Removes and returns all requests, in order of arrival. No request is queued after that.
  std::vector<AdmissionTicket> close();
  std::size_t size() const { return Waiting_.size(); }

private:
  struct Entry {
    AdmissionTicket Ticket_;
    std::uint64_t Bytes_ = 0;
    TimePoint Deadline_{};
  };

  StartupQueueOptions Options_;
  TimePoint ClosesAt_;
  bool Closed_ = false;
  std::uint64_t Bytes_ = 0;
  std::deque<Entry> Waiting_;
};

} // namespace rattancart
