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
  /// 0 is no limit.
  double LinkBytesPerSecond_ = 0;
  Duration LinkDelay_{};
  std::uint64_t TensorBytesPerToken_ = 8192;
  std::uint64_t KvBytesPerTokenAndLayer_ = 1024;
  std::size_t HistoryLimit_ = 0;
  std::string HistoryFile_;
  /// Where loads fetch their weights; empty if loads are immediate.
  NetAddress Platform_;
};

/// The engine stand-in over HTTP. Not thread-safe.
class EngineStandInHandler final : public StandInHandler {
public:
  /// Preconditions: as StandInHandler; Time and Client outlive the front.
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
  /// Where a later stage finds its input.
  struct InputPlace {
    std::string Ref_;
    NetAddress Address_;
  };
  /// An answer that waits for another one to be swapped with.
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
  void takeInput(StepId Id, const boost::json::object &Body);
  void fetchInput(StepId Id, const InputPlace &From);
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
  void releaseCrossed();
  std::string stepText(const StepResult &Result) const;
  void goDown();
  void comeBack();

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
  Timer Batch_;
  Timer Housekeeping_;
  Timer Crossing_;
  std::map<StepId, std::vector<HttpResponderPtr>> Waiting_;
  std::optional<HeldStepAnswer> Crossed_;
  /// Sequences whose last answer is still to arrive a second time, with that answer.
  std::unordered_map<RequestId, StepResult> Copies_;
  std::vector<HttpResponderPtr> Silent_;
  std::deque<LoadSnapshot> Snapshots_;
  std::uint64_t LoadSequence_ = 0;
  std::optional<FencingNumber> HighestFence_;
};

} // namespace rattancart
