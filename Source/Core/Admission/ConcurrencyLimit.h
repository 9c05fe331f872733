#pragma once

#include "Core/Admission/AdmissionTypes.h"

#include <memory>

namespace rattancart {

/// How many requests a pool may have at its endpoints at once. Not thread-safe.
class ConcurrencyLimit {
public:
  virtual ~ConcurrencyLimit() = default;
  /// The bound in force now. At least 1.
  virtual double limit() const = 0;
  /// A request ended. PerCost is its time by unit of cost, in seconds; InFlight the number of
  /// requests that were running, this one included.
  virtual void ended(AdmissionOutcome::Result Result, double PerCost, double InFlight) = 0;
  /// The capacity of the pool's endpoints as known from their reports; ignored if zero.
  virtual void setKnown(double Slots) = 0;
};

/// A bound that only setKnown changes. Precondition: Slots is positive.
std::unique_ptr<ConcurrencyLimit> makeFixedConcurrency(double Slots);

/// Bounds of an adaptive limit.
struct AdaptiveConcurrencyOptions {
  /// Small, so that the first times are those of endpoints without a queue.
  double Initial_ = 8;
  double Minimum_ = 2;
  double Maximum_ = 4096;
  /// The limit falls when requests take longer than this multiple of the best time seen.
  double Tolerance_ = 2;
  /// What is left of the limit after a fall.
  double Backoff_ = 0.9;
};

/// A bound that rises by one a round trip while requests take no longer than at the best of times
/// and falls by a factor when they do, or when endpoints refuse.
std::unique_ptr<ConcurrencyLimit> makeAdaptiveConcurrency(AdaptiveConcurrencyOptions Options);

} // namespace rattancart
