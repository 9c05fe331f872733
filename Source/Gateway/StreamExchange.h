#pragma once

#include "Core/Recovery/StreamMonitor.h"
#include "Core/Serving/EventSplitter.h"
#include "Gateway/Exchange.h"

#include <set>
#include <vector>

namespace rattancart {

/// A request to a layered model: a stream of events from a path of engines.
///
/// Answers losses in the middle of a stream: when events stop, the engines of the path are asked;
/// if one does not answer, the stream goes on at another path after the last event that the caller
/// has, within the same answer. Not thread-safe.
class StreamExchange final : public Exchange {
public:
  using Exchange::Exchange;
  void tick(TimePoint Now) override;
  void onEngineSilent(const EndpointId &Engine) override;

protected:
  void begin() override;
  void abandon() override;
  void onDeadline() override;
  std::string endDetail() const override;

private:
  PathDemand demand() const;
  void limitFirst();
  /// False if there is no path, or no budget to send the request again.
  bool sendOnPath(bool Again);
  bool sendAgain();
  /// Tries again to find another path for a stream that lost its own.
  void tryResume(TimePoint Now);
  void logShortage(std::string_view Outcome);
  /// Waits for room, if some is expected soon.
  bool wait();
  void tryWaiting(TimePoint Now);
  void stopWaiting();
  void refuseForPath();
  void onHead();
  /// False if the engine sends more than an event can be without one.
  bool onBody(std::string_view Data);
  /// False if the event has no number, or one that the caller has seen.
  bool pass(const StreamEvent &Event);
  /// The caller takes the answer more slowly than the engine makes it, and too much waits.
  void onCallerSlow();
  void onDone(const HttpResult &Result);
  void onFailure(const HttpResult &Result);
  void learnFrom(const HttpResult &Result);
  /// An engine turned the request away; if it has room, it is left alone for a while.
  void noteRefusal(const EndpointRecord &Engine);
  /// Sends the rest of the request to another path, or ends the answer.
  void goOn(bool MayHaveRun, std::string_view Cause);
  void giveUp();
  /// Whether the request may be sent once more, budget and path aside.
  bool maySendAgain() const;
  bool attemptLives() const { return Attempt_ && Attempt_->Live_; }
  /// Whether the engines of the path may still go on with the request.
  bool pathMayWork(TimePoint Now) const;
  /// Ends the send that is under way.
  void leaveAttempt();
  void checkPath();
  void onChecked(const std::vector<EndpointId> &Silent);
  /// Leaves the path as soon as there is another one.
  void leavePath(const std::vector<EndpointId> &Lost, std::string_view Cause);
  /// Engines of the path that its first engine reports others to wait for.
  std::vector<EndpointId> stalledEngines() const;
  void release();
  void complete();

  AttemptPtr Attempt_;
  LayerPath Path_;
  double HeldTokens_ = 0;
  /// Engines to leave out, and how far the request may still be sent.
  PathConstraints Limits_;
  /// Engines that it was sent to and that may have run it.
  std::set<EndpointId> RanAt_;
  /// The last send was the first one to its engine.
  bool NewEngine_ = false;
  EventSplitter Events_;
  /// Bytes of the answer since the last new event.
  std::size_t BytesSinceEvent_ = 0;
  std::optional<std::uint64_t> LastEvent_;
  StreamMonitor Pulse_;
  std::uint32_t Resumes_ = 0;
  /// Why the stream left its path; empty if the last send did not run.
  std::string_view ResumeCause_;
  /// When a stream that had begun lost its path; set until its next event.
  std::optional<TimePoint> PathLostAt_;
  /// Set while the stream looks for another path. If its own has not ended, that is kept meanwhile.
  std::optional<TimePoint> ResumeUntil_;
  TimePoint ResumeAt_{};
  std::uint32_t Unexplained_ = 0;
  PathShortage Shortage_ = PathShortage::NoWholeModel;
  BottleneckLayer Scarcest_;
  std::optional<AdmissionTicket> Ticket_;
  TimePoint WaitUntil_{};
  std::string FailureBody_;
  /// The last send ended with a whole answer.
  bool FailureWhole_ = false;
  /// The last try to send again failed for want of budget, not of a path.
  bool BudgetSpent_ = false;
  bool Started_ = false;
  bool Checking_ = false;
  /// Some send may have run.
  bool MayHaveRun_ = false;
};

} // namespace rattancart
