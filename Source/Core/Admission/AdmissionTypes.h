#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"
#include "Core/Settings/SettingsView.h"

#include <cstdint>
#include <system_error>
#include <vector>

/// Values that enter and leave the admission of requests.
namespace rattancart {

/// Names one request from its submission to its end.
using AdmissionTicket = StrongNumber<struct AdmissionTicketTag>;
/// A set of endpoints with a capacity of its own: one model or one service.
using PoolId = StringId<struct PoolTag>;

/// What is asked for. Cost_ is the expected work: tokens for a model, 1 for a plain call.
struct AdmissionRequest {
  CustomerId Customer_;
  PoolId Pool_;
  PriorityClass Priority_{1};
  /// Positive.
  double Cost_ = 1;
  /// Expected tokens, counted against the customer's token rate; zero for plain calls.
  double Tokens_ = 0;
  /// The answer must be complete by then.
  TimePoint Deadline_{};
};

enum class AdmissionState : std::uint8_t { Admitted, Queued, Refused };

/// What became of a submission.
struct AdmissionDecision {
  AdmissionState State_ = AdmissionState::Refused;
  /// Set unless refused.
  AdmissionTicket Ticket_{};
  /// Set if refused: LimitExceeded, Overloaded or QueueFull.
  std::error_code Refusal_;
  /// When the caller may try again, counted from now. Set if refused.
  Duration RetryAfter_{};
};

/// How an admitted request ended.
struct AdmissionOutcome {
  enum class Result : std::uint8_t {
    Succeeded,
    /// The endpoint refused for lack of capacity, or the deadline passed.
    Overloaded,
    /// Any other end; says nothing about capacity.
    Other,
  };
  Result Result_ = Result::Succeeded;
  /// Work that was done, in the units of Cost_.
  double Cost_ = 1;
  /// Tokens that were produced; replaces the expected number.
  double Tokens_ = 0;
};

/// A queued request that will not be admitted.
struct DroppedRequest {
  AdmissionTicket Ticket_{};
  std::error_code Refusal_;
};

/// Queued requests whose wait is over.
struct QueueUpdate {
  std::vector<AdmissionTicket> Admitted_;
  std::vector<DroppedRequest> Dropped_;
};

/// What one customer asked of one process lately.
struct CustomerDemand {
  CustomerId Customer_;
  double RequestsPerSecond_ = 0;
  double TokensPerSecond_ = 0;
};

/// The part of a customer's limit that one process may use, 0 to 1.
struct CustomerShare {
  CustomerId Customer_;
  double Share_ = 0;
};

} // namespace rattancart
