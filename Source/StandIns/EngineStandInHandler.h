#pragma once

#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "StandIns/EngineModel.h"
#include "StandIns/EventLines.h"
#include "StandIns/HistoryBuffer.h"
#include "StandIns/LinkModel.h"
#include "StandIns/StandInHandler.h"

#include <boost/json/object.hpp>

#include <map>
#include <optional>

namespace rattancart {

struct EngineStandInConfig {
  EngineConfig Engine_;
  Incarnation Incarnation_{0};
  bool ChecksFencing_ = false;
  /// Rate of the link to other engines; 0 is no limit.
  double LinkBytesPerSecond_ = 0;
  Duration LinkDelay_{};
  std::uint64_t TensorBytesPerToken_ = 8192;
  std::uint64_t KvBytesPerTokenAndLayer_ = 1024;
  std::size_t HistoryLimit_ = 0;
  std::string HistoryFile_;
  /// The platform that a load order fetches weights from; empty to load without fetching.
  NetAddress Platform_;
};

/// Serves the HTTP protocol of the engine stand-in. Not thread-safe.
class EngineStandInHandler final : public StandInHandler {
public:
  /// Preconditions: as StandInHandler; Time and Client outlive the handler.
  EngineStandInHandler(boost::asio::io_context &Loop, Logger &Log, const Clock &Time,
                       HttpClient &Client, EngineStandInConfig Config, EngineFaults Faults);

  void leave() override { setLeaving(true); }
  bool isIdle() const override;
  void setAddress(const NetAddress &Address) override { Address_ = Address; }

protected:
  void serve(HttpRequest Request, HttpResponderPtr Responder) override;
  const CommonFaults &commonFaults() const override { return Faults_.Common_; }
  std::string faultText() const override { return describeFaults(Faults_); }
  bool setFaultText(const std::string &Text) override;
  std::string historyText(std::uint64_t From) const override { return History_.text(From); }

private:
  /// The stored output that a later stage fetches as its input, and the engine that has it.
  struct InputReference {
    std::string Ref_;
    NetAddress Address_;
  };
  /// A step answer that is held back until it can be swapped with the answer of another step.
  struct HeldStepAnswer {
    StepResult Result_;
    std::vector<HttpResponderPtr> Responders_;
  };
  struct LoadSnapshot {
    TimePoint At_{};
    std::string Text_;
  };

  void serveStep(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void admitStep(const boost::json::object &Body, const HttpResponderPtr &Responder);
  void resolveInput(StepId Id, const boost::json::object &Body);
  void fetchInput(StepId Id, const InputReference &From);
  void supplyInput(StepId Id, Tensor Input);
  void failStep(StepId Id, std::uint32_t Status, const std::string &Reason);
  void refuseDropped();
  void startBatch();
  void finishBatch();
  void record(const StepResult &Result);
  void recordRefused(const RequestId &Request, StepRefusal Refusal);
  void setLeaving(bool Leaving);
  EventOrigin origin() const;
  void answerStep(const StepResult &Result, std::vector<HttpResponderPtr> Responders);
  void sendStep(const StepResult &Result, const std::vector<HttpResponderPtr> &Responders);
  void releaseHeldAnswer();
  std::string stepText(const StepResult &Result) const;
  /// Drops all sequences and closes the connections that wait for a step.
  void crash();
  /// Continues after a crash as a new incarnation.
  void restart();

  void serveCancel(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void serveLoad(const HttpResponderPtr &Responder);
  void serveEvents(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void serveOrder(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void loadWeights(const boost::json::object &Order, const HttpResponderPtr &Responder);
  void finishLoad(const boost::json::object &Order, const HttpResponderPtr &Responder);
  void serveKv(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void recordImport(const RequestId &Request, AttemptNumber Attempt, const KvImage &Image);
  void serveTensor(const HttpRequest &Request, const HttpResponderPtr &Responder);
  std::string loadText();
  void snapshotLoad();

  const Clock &Time_;
  HttpClient &Client_;
  EngineStandInConfig Config_;
  EngineFaults Faults_;
  EngineModel Model_;
  LinkModel Link_;
  HistoryBuffer History_;
  NetAddress Address_;
  Timer BatchTimer_;
  Timer ExpiryTimer_;
  Timer SwapTimer_;
  std::map<StepId, std::vector<HttpResponderPtr>> Waiting_;
  std::optional<HeldStepAnswer> HeldAnswer_;
  /// By sequence, the last step answer if it is to be sent again in place of the next one.
  std::unordered_map<RequestId, StepResult> DuplicateAnswers_;
  /// Requests whose answer was dropped by a fault.
  std::vector<HttpResponderPtr> Unanswered_;
  std::deque<LoadSnapshot> Snapshots_;
  std::uint64_t LoadSequence_ = 0;
  std::optional<FencingNumber> HighestFence_;
};

} // namespace rattancart
