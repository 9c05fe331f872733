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

/// The life of one plain call, without input or output.
namespace rattancart {

/// What is fixed about a call when it arrives.
struct CallParameters {
  RouteId Route_;
  CallSafety Safety_ = CallSafety::AtMostOnce;
  bool HasKey_ = false;
  /// The service's endpoints run a repeated key once.
  bool Deduplicates_ = false;
  TimePoint Deadline_{};
  /// Endpoints tried at most, failed connects included.
  std::uint32_t MaxAttempts_ = 3;
  std::uint32_t RetryPercent_ = 10;
  /// A holder whose claim is older than this does not send.
  Duration MaxClaimAge_ = std::chrono::hours(12);
  /// How long after the deadline a holder waits for the answer, to record it.
  Duration RecordGrace_ = std::chrono::seconds(10);
};

/// What a claim came to, as the core sees it.
struct ClaimOutcome {
  enum class State : std::uint8_t { Won, Lost, NotEligible, Done, Unavailable };
  State State_ = State::Unavailable;
  /// Unavailable only: a record of the claim may exist or may yet be appended.
  bool MayStillWin_ = false;
  LogOffset Offset_ = NoOffset;
  std::uint32_t Status_ = 0;
  std::string Body_;
};

/// Send the call to an endpoint. Answered by onConnectionOpened and then onEndpointAnswer or
/// onSendFailed, or by onNoEndpoint.
struct CallSend {
  /// From 1.
  std::uint32_t Attempt_ = 1;
  /// Open a connection for it.
  bool Fresh_ = false;
  /// An endpoint that was tried before will do if there is no other.
  bool MayReuseEndpoint_ = false;
  Duration ResponseTimeout_{};
  /// The claim's offset; NoOffset without a claim.
  LogOffset Fence_ = NoOffset;
};
/// End the request to the endpoint; its result is not wanted.
struct CallCancelSend {};
/// Make the call's one claim. Answered by onClaimReply.
struct CallClaim {};
/// Stop following the claim; a win that arrives later is released by whoever hears of it.
struct CallAbandonClaim {};
/// Record the holder's answer; status 0 if it is not known.
struct CallRecordAnswer {
  std::uint32_t Status_ = 0;
  std::string Body_;
};
/// Record that the holder does not run and gives the key back.
struct CallReleaseClaim {};
/// Answer the caller.
struct CallAnswer {
  CallerAnswer Answer_;
};
/// Pass the endpoint's answer on to the caller.
struct CallForwardAnswer {
  Outcome Outcome_ = Outcome::Done;
};
/// Call onDeadlinePassed at that time.
struct CallArmDeadline {
  TimePoint At_{};
};

using CallEffect =
    std::variant<CallSend, CallCancelSend, CallClaim, CallAbandonClaim, CallRecordAnswer,
                 CallReleaseClaim, CallAnswer, CallForwardAnswer, CallArmDeadline>;
/// Effects are carried out in order.
using CallEffects = std::vector<CallEffect>;

/// How sending to an endpoint failed.
struct CallSendFailure {
  std::error_code Error_;
  /// Whether any byte was handed to a connection.
  bool BytesHandedOver_ = false;
};

/// Decides what happens to one plain call; see docs/design/calls.md.
///
/// A call that may not be repeated is sent once. With a key it is sent only by the holder of the
/// key's claim, and not-run is said only by the holder, before it releases the claim. Events that
/// don't fit the state are ignored. Not thread-safe.
class CallMachine {
public:
  /// Precondition: Permit outlives the machine.
  CallMachine(CallParameters Plan, RetryBudget &Permit);
  ~CallMachine();
  CallMachine(const CallMachine &) = delete;
  CallMachine &operator=(const CallMachine &) = delete;

  /// Starts the call. Precondition: called once, first.
  [[nodiscard]] CallEffects begin(TimePoint Now);
  [[nodiscard]] CallEffects onClaimReply(const ClaimOutcome &Reply, TimePoint Now);
  /// The connection to the endpoint is open and no byte was handed to it. Whether to send; if
  /// not, onSendFailed must follow.
  [[nodiscard]] bool onConnectionOpened(TimePoint Now, bool IsCallerConnected);
  /// The endpoint's whole answer arrived.
  [[nodiscard]] CallEffects onEndpointAnswer(std::uint32_t Status, std::string_view Body,
                                             TimePoint Now);
  [[nodiscard]] CallEffects onSendFailed(const CallSendFailure &Failure, TimePoint Now);
  /// No endpoint can take the call.
  [[nodiscard]] CallEffects onNoEndpoint();
  [[nodiscard]] CallEffects onDeadlinePassed();
  [[nodiscard]] CallEffects onCallerGone();

  /// Whether nothing more happens.
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
