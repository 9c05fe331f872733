#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"
#include "Core/Settings/SettingsView.h"

#include <cstdint>
#include <system_error>
#include <vector>

/// Inputs and outputs of admission control.
namespace rattancart {

/// Identifies one request from its submission until it ends.
using AdmissionTicket = StrongNumber<struct AdmissionTicketTag>;
/// A set of endpoints with a capacity of its own: one model or one service.
using PoolId = StringId<struct PoolTag>;

/// A request for admission.
struct AdmissionRequest {
  CustomerId Customer_;
  PoolId Pool_;
  PriorityClass Priority_{1};
  /// The expected work: tokens for a model, 1 for a plain call. Positive.
  double Cost_ = 1;
  /// Expected tokens, counted against the customer's token rate; zero for plain calls.
  double Tokens_ = 0;
  /// The time by which the answer must be complete.
  TimePoint Deadline_{};
};

enum class AdmissionState : std::uint8_t { Admitted, Queued, Refused };

/// The result of submitting a request.
struct AdmissionDecision {
  AdmissionState State_ = AdmissionState::Refused;
  /// Set unless the request was refused.
  AdmissionTicket Ticket_{};
  /// Set if the request was refused: LimitExceeded, Overloaded or QueueFull.
  std::error_code Refusal_;
  /// The time from now after which the caller may try again. Set if the request was refused.
  Duration RetryAfter_{};
};

/// How an admitted request ended.
struct AdmissionOutcome {
  enum class Result : std::uint8_t {
    Succeeded,
    /// The endpoint refused for lack of capacity, or the deadline passed.
    Overloaded,
    /// Any other outcome; it says nothing about the endpoints' capacity.
    Other,
  };
  Result Result_ = Result::Succeeded;
  /// Work that was done, in the units of Cost_.
  double Cost_ = 1;
  /// Tokens that were produced. They replace the expected number in the customer's token rate.
  double Tokens_ = 0;
};

/// A request that was removed from its queue without being admitted.
struct DroppedRequest {
  AdmissionTicket Ticket_{};
  std::error_code Refusal_;
};

/// Requests that left the queues.
struct QueueUpdate {
  std::vector<AdmissionTicket> Admitted_;
  std::vector<DroppedRequest> Dropped_;
};

/// The rate at which one customer sent requests to one process lately.
struct CustomerDemand {
  CustomerId Customer_;
  double RequestsPerSecond_ = 0;
  double TokensPerSecond_ = 0;
};

/// The fraction of a customer's limit that one process may use, from 0 to 1.
struct CustomerShare {
  CustomerId Customer_;
  double Share_ = 0;
};

} // namespace rattancart
