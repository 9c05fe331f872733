#pragma once

#include "Core/Recovery/StreamMonitor.h"
#include "Core/Serving/EventSplitter.h"
#include "Gateway/StreamPlacement.h"

#include <vector>

namespace rattancart {

/// A request to a layered model, answered by a stream of events from a path of engines.
///
/// Survives the loss of an engine: when events stop, the engines of the path are probed; if one
/// does not answer, the stream is resumed on another path after the last event that the caller
/// received, within the same response. The attempt on the old path is kept until one of the two
/// attempts delivers the next event; the other one is then cancelled. Not thread-safe.
class StreamExchange final : public Exchange {
public:
  using Exchange::Exchange;
  void tick(TimePoint Now) override;
  void onEngineSilent(const EndpointId &Engine) override;

protected:
  void begin() override;
  void cancelAttempts() override;
  void endEarly(ErrorCode Reason) override;
  std::string endDetail() const override;
  bool mayStillBeSent(const Attempt &Sent) const override;

private:
  /// False if there is no path, or no budget to send the request again.
  bool sendOnPath(bool Again);
  /// The same for a stream that is forwarded to another gateway.
  bool sendOnPeer(bool Again);
  /// A forwarded attempt ended without a complete stream.
  void onPeerFailure(const HttpResult &Result);
  /// Resets what belongs to the newest attempt before the next one is sent.
  void resetAttempt(TimePoint Now);
  /// Sets the handlers of the newest attempt.
  void followAttempt();
  bool resend();
  /// What the next send would be a retry for. A stream that was rejected on its way to another path
  /// has lost its engine all the same.
  RetryPurpose retryPurpose() const;
  /// Retries to find another path for a stream that lost its own.
  void tryResume(TimePoint Now);
  void tryQueued(TimePoint Now);
  /// Sends a request whose turn it is; false if there is no path or no retry left for it.
  bool sendQueued(TimePoint Now);
  /// Queues a request that was rejected, so that it waits for its turn rather than trying over and
  /// over; false if it may not wait there.
  bool waitForTurn();
  void refuseWithoutPath();
  Duration quarantineRetryAfter(const QuarantinedPart &Part);
  /// Ends an attempt at once whose successful response must not be passed on.
  void onHead(Attempt &From);
  /// Whether the response of the attempt, whose head has arrived, is a stream of events that may be
  /// passed on. The text of an error must not reach the caller as part of the stream.
  static bool carriesEvents(const Attempt &Sent);
  /// False if the response is malformed, or exceeds a limit, such as the size of one event.
  bool onBody(const Attempt &From, std::string_view Data);
  /// The same for the kept attempt, which goes on if it delivers an event.
  bool onKeptBody(std::string_view Data);
  /// Passes on the complete events of the newest attempt. False if the response is malformed or
  /// exceeds a limit.
  bool forwardEvents();
  /// Passes an event on to the caller, unless the caller already has it. False if the event has no
  /// number, or one that the caller already has.
  bool forwardEvent(const StreamEvent &Event);
  /// The caller reads more slowly than the engine generates, and too many bytes are queued.
  void onCallerSlow();
  void onDone(const AttemptPtr &Sent, const HttpResult &Result);
  /// Whether the attempt ended with a complete response of status 200. Only a stream that the
  /// caller resumes may have no event.
  bool isComplete(const Attempt &Sent, const EventSplitter &Events, const HttpResult &Result) const;
  void onFailure(const HttpResult &Result);
  void onKeptFailure(const HttpResult &Result);
  /// Excludes the engine at fault from further paths of this request, and has it checked if the
  /// response named it or the attempt failed without a complete response.
  void noteFailure(const HttpResult &Result);
  /// Whether the attempt, which has failed, ended between the head of its answer and the first
  /// event.
  bool endedAtStart(const Attempt &Sent) const;
  /// Checks whether the first engine of the attempt has ended, perhaps because of the request.
  void checkCrashedEngine(const EndpointId &First);
  void noteCrash(const EndpointId &Engine, Incarnation Run, TimePoint At);
  /// Sends the request, queues it or refuses it. Precondition: no part of its prompt stands against
  /// that.
  void place();
  /// Claims the trial of a part whose quarantine is due to be tested, and sends the request as that
  /// trial if the claim is granted.
  void requestTrial(const QuarantinedPart &Part);
  void onTrialClaim(const TurnClaim &Claim);
  /// The request is not the trial that it asked for: refuses it, unless the quarantine has ended.
  void endTrialRequest();
  bool awaitsTrialClaim() const { return Trial_ && !Trial_->Granted_; }
  /// Whether the request is the trial of a quarantined part and has not been sent yet, or is under
  /// way.
  bool isTrialOpen() const;
  void logTrialEnd(std::string_view Outcome);
  /// The part of the prompt for which the request must not be sent, unless it is the part's trial.
  std::optional<QuarantinedPart> quarantinedPart() const;
  /// If the attempt was refused for an engine of its path, that engine has no memory for such a
  /// request.
  void noteMemoryRefusal();
  /// An engine refused the request; if its report shows free memory, it gets no work for a while.
  void noteRefusal(const EndpointRecord &Engine);
  /// Continues the request on another path, or waits for one, or gives up.
  void continueElsewhere(bool MayHaveRun, std::string_view Cause);
  void logKept();
  /// Logs a send of a request with a part of its prompt under which engines crashed.
  void logSuspect();
  void giveUp();
  /// Whether the request may be sent once more; does not consider retry budget and paths.
  bool mayResend() const;
  bool attemptIsLive() const { return Attempt_ && Attempt_->Live_; }
  /// Whether the engines of the path may still be working on the request.
  bool pathMayWork(TimePoint Now) const;
  /// Cancels the newest attempt, if it is under way.
  void endAttempt();
  /// Keeps the newest attempt, if it is under way, while another path is tried. If an older one is
  /// kept already, that one stays and the newest is cancelled.
  void keepAttempt();
  /// Cancels the newest attempt and continues with the kept one.
  void returnToKept();
  /// Cancels the kept attempt.
  void endKept();
  void checkPath();
  /// The same for a stream that was forwarded.
  void checkPeer(TimePoint Now);
  bool linksInDoubt() const;
  void onChecked(const std::vector<EndpointId> &Silent);
  /// Leaves the path as soon as there is another one.
  void leavePath(const std::vector<EndpointId> &Lost, std::string_view Cause);
  /// Engines of the path that, by the report of its first engine, keep it waiting.
  std::vector<EndpointId> stalledEngines() const;
  void complete();

  /// An attempt on a path that the stream would leave, while another path is tried.
  struct KeptAttempt {
    AttemptPtr Attempt_;
    ReservedPath Path_;
    bool FirstSendToEngine_ = false;
    EventSplitter Events_;
    std::size_t BytesSinceEvent_ = 0;
    std::string FailureBody_;
  };

  /// A trial of a quarantined part that the request asked for or is.
  struct Trial {
    PromptPartId Part_;
    TurnNumber Turn_{0};
    TimePoint RequestedAt_{};
    bool Granted_ = false;
  };

  /// The newest attempt.
  AttemptPtr Attempt_;
  ReservedPath Path_;
  /// Set only while the newest attempt is under way and has delivered no event.
  std::optional<KeptAttempt> Kept_;
  StreamPlacement Placement_{Context_, Routed_,
                             [this](const EndpointRecord &Engine, std::uint32_t Priority) {
                               return tryAdmit(Engine, Priority);
                             }};
  /// The last attempt was the first one at its engine.
  bool FirstSendToEngine_ = false;
  EventSplitter Events_;
  /// Bytes of the response since the last new event.
  std::size_t BytesSinceEvent_ = 0;
  std::optional<std::uint64_t> LastEvent_;
  /// Engines that ended as they began to answer this request.
  std::uint32_t EngineEndsAtStart_ = 0;
  std::optional<Trial> Trial_;
  StreamMonitor Monitor_;
  std::uint32_t Resumes_ = 0;
  /// Why the stream left its path; empty if the last attempt did not run.
  std::string_view ResumeCause_;
  /// When a stream that had started lost its path; set until its next event.
  std::optional<TimePoint> PathLostAt_;
  /// Set while the stream looks for another path: until when. Its own path is kept meanwhile,
  /// unless the attempt there has ended.
  std::optional<TimePoint> ResumeUntil_;
  TimePoint NextResumeAt_{};
  /// Resumes although all engines of the path answered.
  std::uint32_t UnexplainedResumes_ = 0;
  std::string FailureBody_;
  /// Attempt_ ended with a complete response, so that FailureBody_ is whole.
  bool FailureComplete_ = false;
  /// The last resend failed because the retry budget was spent, not for lack of a path.
  bool BudgetSpent_ = false;
  /// The last attempt ended at another gateway before it reached an engine.
  bool DeclinedByPeer_ = false;
  bool Started_ = false;
  bool Checking_ = false;
  /// At least one attempt may have run.
  bool MayHaveRun_ = false;
};

} // namespace rattancart
