#pragma once

#include "Core/Serving/EndpointRoster.h"

#include <functional>
#include <vector>

namespace rattancart {

/// Tells which engines work. Not thread-safe.
class EngineHealthMonitor {
public:
  /// Engines of the checked ones that do not answer.
  using Callback = std::function<void(const std::vector<EndpointId> &Silent)>;

  virtual ~EngineHealthMonitor() = default;

  /// Asks each engine unless there was a sign of it since then.
  virtual void check(const std::vector<EndpointId> &Engines, TimePoint Since, Callback Done) = 0;
  /// Asks an engine at once, whatever it answered before: there is a sign that it is gone.
  virtual void suspect(const EndpointId &Engine) = 0;
  /// An event of a stream came through the engine, so it need not be asked.
  virtual void noteActivity(const EndpointId &Engine) = 0;
};

} // namespace rattancart
