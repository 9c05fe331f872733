#include "Core/Routing/EngineLoadEstimator.h"

#include <algorithm>

namespace rattancart {

void EngineLoadEstimator::onSequenceStarted(const Endpoint &Engine) {
  estimate(Engine);
  const auto [Place, Added] =
      Engines_.try_emplace(Engine.Id_, Counts{0, 0, Engine.LoadSequence_, Engine.Incarnation_});
  ++Place->second.InFlight_;
}

void EngineLoadEstimator::onSequenceEnded(const EndpointId &Engine) {
  const auto Place = Engines_.find(Engine);
  if (Place == Engines_.end())
    return;
  if (--Place->second.InFlight_ == 0)
    Engines_.erase(Place);
}

std::uint32_t EngineLoadEstimator::inFlight(const EndpointId &Engine) const {
  const auto Place = Engines_.find(Engine);
  return Place == Engines_.end() ? 0 : Place->second.InFlight_;
}

double EngineLoadEstimator::estimate(const Endpoint &Engine) const {
  const double Reported = Engine.Load_.Active_ + Engine.Load_.Queued_;
  const auto Place = Engines_.find(Engine.Id_);
  if (Place == Engines_.end())
    return Reported;
  Counts &Own = Place->second;
  if (Own.LoadSequence_ != Engine.LoadSequence_ || Own.Incarnation_ != Engine.Incarnation_) {
    Own.InFlightAtReport_ = Own.InFlight_;
    Own.LoadSequence_ = Engine.LoadSequence_;
    Own.Incarnation_ = Engine.Incarnation_;
  }
  const double SinceReport = static_cast<double>(Own.InFlight_) - Own.InFlightAtReport_;
  return std::max(Reported + SinceReport, static_cast<double>(Own.InFlight_));
}

} // namespace rattancart
