#pragma once

#include "StandIns/HistoryBuffer.h"
#include "StandIns/ServiceModel.h"
#include "StandIns/StandInFront.h"

#include <random>

namespace rattancart {

struct ServiceIdentity {
  EndpointId Id_;
  ServiceId Service_;
  Incarnation Incarnation_{0};
  std::size_t HistoryLimit_ = 0;
};

/// The plain service stand-in over HTTP. Not thread-safe.
class ServiceFront final : public StandInFront {
public:
  ServiceFront(boost::asio::io_context &Loop, Logger &Log, ServiceIdentity Identity,
               ServiceConfig Config, ServiceFaults Faults);

  void leave() override { Faults_.Leaving_ = true; }
  bool isIdle() const override { return true; }

protected:
  void serve(HttpRequest Request, HttpResponderPtr Responder) override;
  const CommonFaults &commonFaults() const override { return Faults_.Common_; }
  std::string faultText() const override { return describeFaults(Faults_); }
  bool setFaultText(const std::string &Text) override { return applyFaults(Faults_, Text); }
  std::string historyText(std::uint64_t From) const override { return History_.text(From); }

private:
  std::string loadText();
  void record(const ServiceCall &Call);
  bool chance(std::uint32_t Percent);
  void answer(const HttpResponderPtr &Responder, const ServiceAnswer &Answer);

  ServiceIdentity Identity_;
  ServiceFaults Faults_;
  ServiceConfig Config_;
  ServiceModel Model_;
  HistoryBuffer History_;
  std::uint64_t LoadSequence_ = 0;
  /// A fixed seed keeps runs alike.
  std::mt19937 Random_{1};
};

} // namespace rattancart
