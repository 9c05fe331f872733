#pragma once

#include "StandIns/FakeInstanceList.h"
#include "StandIns/FakeLog.h"
#include "StandIns/StandInHandler.h"

#include <list>
#include <memory>

namespace rattancart {

/// Serves the HTTP protocol of the platform stand-in. Not thread-safe.
class PlatformStandInHandler final : public StandInHandler {
public:
  /// WeightsPerSecond limits the requests to the weight store; 0 is no limit. Preconditions: as
  /// StandInHandler; Time outlives the handler.
  PlatformStandInHandler(boost::asio::io_context &Loop, Logger &Log, const Clock &Time,
                         PlatformFaults Faults, double WeightsPerSecond);

  void leave() override;
  bool isIdle() const override { return Waiting_.empty(); }

protected:
  void serve(HttpRequest Request, HttpResponderPtr Responder) override;
  const CommonFaults &commonFaults() const override { return Faults_.Common_; }
  std::string faultText() const override { return describeFaults(Faults_); }
  bool setFaultText(const std::string &Text) override;

private:
  /// A read that waits for a record.
  struct WaitingRead {
    std::string Stream_;
    LogOffset From_;
    std::size_t Max_ = 0;
    HttpResponderPtr Responder_;
    TimePoint Until_{};
  };

  void serveLog(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void append(const std::string &Stream, std::string Body, const HttpResponderPtr &Responder);
  void appendNow(const std::string &Stream, std::string Body, const HttpResponderPtr &Responder);
  void read(WaitingRead Read);
  void answerRead(const WaitingRead &Read);
  void answerWaitingReads(bool All);
  void serveInstances(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void serveWeights(const HttpRequest &Request, const HttpResponderPtr &Responder);
  /// Takes the next slot of the append limit; returns the time until it.
  Duration appendDelay();

  const Clock &Time_;
  PlatformFaults Faults_;
  FakeLog Records_;
  FakeInstanceList Instances_;
  std::list<WaitingRead> Waiting_;
  TimePoint NextAppend_{};
  double WeightsPerSecond_;
  TimePoint NextWeights_{};
  bool Leaving_ = false;
};

} // namespace rattancart
