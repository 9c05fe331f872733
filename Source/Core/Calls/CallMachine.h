#pragma once

#include "Core/Calls/RetryBudget.h"
#include "Core/Common/CallerAnswer.h"
#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"
#include "Core/Settings/SettingsView.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The state machine of one plain call, without I/O.
namespace rattancart {

/// Parameters of a call, fixed when it arrives.
struct CallParameters {
  RouteId Route_;
  CallSafety Safety_ = CallSafety::AtMostOnce;
  bool HasKey_ = false;
  /// The service's endpoints execute calls with the same key only once.
  bool Deduplicates_ = false;
  TimePoint Deadline_{};
  /// Limit of attempts, those that could not connect included.
  std::uint32_t MaxAttempts_ = 3;
  /// Retries allowed per hundred first attempts of the route.
  std::uint32_t RetryPercent_ = 10;
  /// The holder of a key sends nothing if the call began longer ago than this.
  Duration MaxClaimAge_ = std::chrono::hours(12);
  /// How long after the deadline the holder of a key waits for the answer, to record it.
  Duration RecordGrace_ = std::chrono::seconds(10);
};

/// The result of a claim. The states are those of ClaimDecision without Open, and Unavailable if
/// the claim could not be decided.
struct ClaimOutcome {
  enum class State : std::uint8_t { Won, Lost, NotEligible, Done, Unavailable };
  State State_ = State::Unavailable;
  /// Unavailable only: a record of the claim may exist or may yet be appended.
  bool MayStillWin_ = false;
  /// The offset of the holder's claim.
  LogOffset Offset_ = NoOffset;
  std::uint32_t Status_ = 0;
  std::string Body_;
};

/// Send the call to an endpoint. The owner calls onConnectionOpened and then onEndpointAnswer or
/// onSendFailed; or onNoEndpoint.
struct CallSend {
  /// From 1.
  std::uint32_t Attempt_ = 1;
  /// Open a new connection for the call.
  bool Fresh_ = false;
  /// If there is no other endpoint, one that was tried before may be used.
  bool MayReuseEndpoint_ = false;
  Duration ResponseTimeout_{};
  /// The fencing number: the offset of the claim, or NoOffset without a claim.
  LogOffset Fence_ = NoOffset;
};
/// Cancel the request to the endpoint; its result is not needed.
struct CallCancelSend {};
/// Claim the call's key. Asked for once at most; the owner calls onClaimReply.
struct CallClaim {};
/// Stop waiting for the claim. If it wins later, whoever receives the reply releases the key.
struct CallAbandonClaim {};
/// Record the endpoint's answer to the holder's call; status 0 if it is not known.
struct CallRecordAnswer {
  std::uint32_t Status_ = 0;
  std::string Body_;
};
/// Record that the holder did not send the call and releases the key.
struct CallReleaseClaim {};
/// Send the caller an answer that the router made or that was recorded.
struct CallAnswer {
  CallerAnswer Answer_;
};
/// Send the caller the endpoint's answer.
struct CallForwardAnswer {
  Outcome Outcome_ = Outcome::Done;
};
/// Call onDeadlinePassed at At_.
struct CallArmDeadline {
  TimePoint At_{};
};

using CallEffect =
    std::variant<CallSend, CallCancelSend, CallClaim, CallAbandonClaim, CallRecordAnswer,
                 CallReleaseClaim, CallAnswer, CallForwardAnswer, CallArmDeadline>;
/// Must be carried out in order.
using CallEffects = std::vector<CallEffect>;

/// How an attempt to send a call to an endpoint failed.
struct CallSendFailure {
  std::error_code Error_;
  /// Whether any byte was handed to a connection.
  bool BytesHandedOver_ = false;
};

/// Decides what happens to one plain call; see docs/design/calls.md.
///
/// A call that may not be repeated is sent once. If it has a key and its service does not
/// deduplicate, it is sent only while it holds the key, and only the holder answers not-run, before
/// it releases the key. Events that don't fit the state are ignored. Not thread-safe.
class CallMachine {
public:
  /// Precondition: Budget outlives the machine.
  CallMachine(CallParameters Parameters, RetryBudget &Budget);
  ~CallMachine();
  CallMachine(const CallMachine &) = delete;
  CallMachine &operator=(const CallMachine &) = delete;

  /// Starts the call. Precondition: called once, first.
  [[nodiscard]] CallEffects begin(TimePoint Now);
  [[nodiscard]] CallEffects onClaimReply(const ClaimOutcome &Reply, TimePoint Now);
  /// The connection to the endpoint is open and no byte was handed to it. Returns whether to send
  /// the call; if not, onSendFailed must be called next.
  [[nodiscard]] bool onConnectionOpened(TimePoint Now, bool IsCallerConnected);
  /// The endpoint's answer arrived completely.
  [[nodiscard]] CallEffects onEndpointAnswer(std::uint32_t Status, std::string_view Body,
                                             TimePoint Now);
  [[nodiscard]] CallEffects onSendFailed(const CallSendFailure &Failure, TimePoint Now);
  /// No endpoint can take the call.
  [[nodiscard]] CallEffects onNoEndpoint();
  [[nodiscard]] CallEffects onDeadlinePassed();
  [[nodiscard]] CallEffects onCallerGone();

  /// Whether the call is finished and no event has an effect any more.
  bool isOver() const;
  /// Whether a byte may have been handed to a connection.
  bool isSent() const;
  /// The state's name, for the state dump.
  std::string_view stateName() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace rattancart
