#include "Core/Layers/SlowStartFeed.h"

#include <algorithm>

namespace rattancart {

namespace {

/// The capacity of an endpoint whose slots and memory are not known.
constexpr double DefaultCapacity = 16;

} // namespace

bool usesSlowStart(const EndpointRecord &Record, const ServingIndex &Config) {
  const ServingService *Service = Config.service(Record.Listing_.Service_);
  return Service && (!Service->Model_ || Config.ordersByClass(Service->Id_));
}

EndpointCondition conditionOf(const EndpointRecord &Record, WallTime WallNow, TimePoint Now) {
  EndpointCondition Known;
  Known.Id_ = Record.Listing_.Id_;
  Known.Service_ = Record.Listing_.Service_;
  Known.Run_ = Record.run();
  if (Known.Run_ != Incarnation(0))
    Known.RunningFor_ = WallNow.time_since_epoch() -
                        std::chrono::milliseconds(static_cast<std::int64_t>(Known.Run_.value()));
  Known.Reports_ = !Record.Listing_.Kind_.empty();
  Known.Silent_ = Record.silent(Now);
  Known.Declines_ = Record.declines(Now);
  if (!Record.reported())
    return Known;
  const EngineReport &Report = Record.Report_;
  EndpointLoad Load;
  Load.At_ = Record.ReportedAt_;
  Load.Running_ = Report.Running_;
  Load.Waiting_ = Report.Waiting_;
  Load.Slowdown_ = Report.Slowdown_;
  if (Record.Listing_.Slots_ > 0)
    Load.Use_ = static_cast<double>(Report.Running_ + Report.Waiting_) / Record.Listing_.Slots_;
  if (Report.TotalTokenLayers_ > 0)
    Load.Use_ = std::max(Load.Use_, Report.UsedTokenLayers_ / Report.TotalTokenLayers_);
  Known.Load_ = Load;
  return Known;
}

double requestCapacity(const EndpointRecord &Record, double TokenLayers) {
  const double Slots = Record.Listing_.Slots_;
  const double Total = Record.Report_.TotalTokenLayers_;
  if (Total <= 0 || TokenLayers <= 0)
    return Slots > 0 ? Slots : DefaultCapacity;
  const double Memory = std::max(1.0, Total / TokenLayers);
  return Slots > 0 ? std::min(Slots, Memory) : Memory;
}

} // namespace rattancart
