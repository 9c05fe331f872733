#pragma once

#include "Core/Admission/AdmissionTypes.h"

#include <memory>

namespace rattancart {

/// Limits how many requests of a pool are in flight at its endpoints at once. Not thread-safe.
class ConcurrencyLimit {
public:
  virtual ~ConcurrencyLimit() = default;
  /// The current limit. At least 1.
  virtual double limit() const = 0;
  /// Adjusts the limit after a request has ended. SecondsPerCost is its service time for each unit
  /// of cost; InFlight is the number of requests that were in flight, this one included.
  virtual void recordCompletion(AdmissionOutcome::Result Result, double SecondsPerCost,
                                double InFlight) = 0;
  /// Sets the capacity that the pool's endpoints reported, in requests; ignored if zero.
  virtual void setCapacity(double Slots) = 0;
};

/// A limit that only setCapacity changes. Precondition: Slots is positive.
std::unique_ptr<ConcurrencyLimit> makeFixedConcurrency(double Slots);

/// Parameters of an adaptive limit.
struct AdaptiveConcurrencyOptions {
  /// Small, so that the first service times are measured at endpoints without a queue.
  double InitialLimit_ = 8;
  double MinLimit_ = 2;
  double MaxLimit_ = 4096;
  /// The limit decreases when requests take longer on average than this multiple of the best
  /// service time.
  double SlowFactor_ = 2;
  /// The factor by which the limit is multiplied when it decreases.
  double DecreaseFactor_ = 0.9;
};

/// A limit that follows additive increase and multiplicative decrease: it rises by about one with
/// each limit's worth of requests while service times stay close to the best one and the limit is
/// in use, and decreases by a factor when they grow or when endpoints report overload.
std::unique_ptr<ConcurrencyLimit> makeAdaptiveConcurrency(AdaptiveConcurrencyOptions Options);

} // namespace rattancart
