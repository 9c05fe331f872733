#pragma once

#include "Core/Common/Clock.h"
#include "LogClient/HttpLogClient.h"

#include <deque>
#include <string>

namespace rattancart {

/// The instance list of the platform with its former versions, so that it can lag and go backwards.
/// Not thread-safe.
class FakeInstanceList {
public:
  /// Registers or changes an entry. An equal entry changes nothing.
  void put(ListedInstance Entry, TimePoint Now);
  /// Removes an entry; false if there is none.
  bool remove(const EndpointId &Id, TimePoint Now);
  /// The list as it was at Now - Lag. With Backwards, every second call returns the version before
  /// that one.
  InstanceList view(TimePoint Now, Duration Lag, bool Backwards);

private:
  struct ListVersion {
    TimePoint At_{};
    InstanceList List_;
  };
  InstanceList latest() const {
    return Versions_.empty() ? InstanceList{} : Versions_.back().List_;
  }
  void publish(InstanceList List, TimePoint Now);

  std::deque<ListVersion> Versions_;
  bool ServePrevious_ = false;
};

} // namespace rattancart
