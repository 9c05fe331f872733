#pragma once

#include "Core/Serving/EndpointRoster.h"

#include <functional>
#include <vector>

namespace rattancart {

/// Determines which engines answer. Not thread-safe.
class EngineHealthMonitor {
public:
  /// Receives those of the checked engines that do not answer.
  using Callback = std::function<void(const std::vector<EndpointId> &Silent)>;

  virtual ~EngineHealthMonitor() = default;

  /// Requests a report from each engine of which nothing was received since Since, then calls Done.
  virtual void check(const std::vector<EndpointId> &Engines, TimePoint Since, Callback Done) = 0;
  /// There is evidence that the engine is gone: requests a report at once, even if the engine
  /// answered a moment ago.
  virtual void suspect(const EndpointId &Engine) = 0;
  /// A stream event came through the engine, so it works and need not be checked.
  virtual void noteActivity(const EndpointId &Engine) = 0;
  /// The head of a response of the endpoint arrived, so this gateway's reception works.
  virtual void noteReceived(const EndpointId & /*Endpoint*/) {}
};

} // namespace rattancart
