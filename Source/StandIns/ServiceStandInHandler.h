#pragma once

#include "StandIns/EventLines.h"
#include "StandIns/HistoryBuffer.h"
#include "StandIns/ServiceModel.h"
#include "StandIns/StandInHandler.h"

#include <random>

namespace rattancart {

struct ServiceIdentity {
  EndpointId Id_;
  ServiceId Service_;
  Incarnation Incarnation_{0};
  std::size_t HistoryLimit_ = 0;
  std::string HistoryFile_;
};

/// Serves the HTTP protocol of the stand-in for a plain service. Not thread-safe.
class ServiceStandInHandler final : public StandInHandler {
public:
  /// Preconditions: as StandInHandler; Time outlives the handler.
  ServiceStandInHandler(boost::asio::io_context &Loop, Logger &Log, const Clock &Time,
                        ServiceIdentity Identity, ServiceConfig Config, ServiceFaults Faults);

  void leave() override;
  bool isIdle() const override { return true; }

protected:
  void serve(HttpRequest Request, HttpResponderPtr Responder) override;
  const CommonFaults &commonFaults() const override { return Faults_.Common_; }
  std::string faultText() const override { return describeFaults(Faults_); }
  bool setFaultText(const std::string &Text) override;
  std::string historyText(std::uint64_t From) const override { return History_.text(From); }

private:
  std::string loadText();
  void record(const ServiceCall &Call);
  void recordLeaving(bool WasLeaving);
  EventOrigin origin() const;
  bool chance(std::uint32_t Percent);
  void answer(const HttpResponderPtr &Responder, const ServiceAnswer &Answer);

  const Clock &Time_;
  ServiceIdentity Identity_;
  ServiceFaults Faults_;
  ServiceConfig Config_;
  ServiceModel Model_;
  HistoryBuffer History_;
  std::uint64_t LoadSequence_ = 0;
  /// The fixed seed makes the faults of a run repeatable.
  std::mt19937 Random_{1};
};

} // namespace rattancart
