#include "Core/Layers/RecoveryTracker.h"

#include "Core/Layers/LayoutMetrics.h"

#include <utility>

namespace rattancart {

namespace {

/// Layouts after a loss differ slightly, so the capacity counts as restored from this share on.
constexpr double RestoredShare = 0.95;
/// Loads end long before; what is not restored by then needs other engines.
constexpr Duration RecoveryTimeout = std::chrono::seconds(60);

} // namespace

void RecoveryTracker::reset() {
  Layout_.clear();
  Tokens_ = 0;
  Recovery_.reset();
}

RecoveryTracker::Layout RecoveryTracker::currentLayout(const LayeredModel &Model,
                                                       const ServiceId &Service,
                                                       const DataCenterId &DataCenter,
                                                       const EndpointRoster &Roster,
                                                       TimePoint Now) {
  Layout Current;
  for (const auto &[Id, Record] : Roster.all()) {
    const EndpointListing &Listing = Record.Listing_;
    const EngineKind *Kind = Model.kind(Listing.Kind_);
    if (Listing.Service_ == Service && Listing.DataCenter_ == DataCenter && Kind &&
        Listing.State_ == EndpointState::Live && !Record.gone(Now) && !Record.silent(Now) &&
        !Record.addressInDoubt())
      Current[Id] = {Record.run(), Record.layersOf(Model), Kind};
  }
  return Current;
}

RecoveryEvent RecoveryTracker::event(RecoveryEvent::Kind Kind, TimePoint Now) const {
  return {Kind,
          Now - Recovery_->Since_,
          Recovery_->WholeAfter_,
          Recovery_->Engines_,
          Recovery_->TokensBefore_,
          Tokens_};
}

std::vector<RecoveryEvent> RecoveryTracker::update(const LayeredModel &Model,
                                                   const ServiceId &Service,
                                                   const DataCenterId &DataCenter,
                                                   const EndpointRoster &Roster, TimePoint Now) {
  std::vector<RecoveryEvent> Events;
  Layout Current = currentLayout(Model, Service, DataCenter, Roster, Now);
  const double TokensBefore = Tokens_;
  std::uint32_t Lost = 0;
  if (Current != Layout_) {
    for (const auto &[Id, Each] : Layout_) {
      const auto Found = Current.find(Id);
      const bool Gone = Found == Current.end() || Found->second.Run_ != Each.Run_;
      Lost += Gone && Each.Layers_.Begin_ < Each.Layers_.End_ ? 1 : 0;
    }
    Layout_ = std::move(Current);
    std::vector<PlannedEngine> Engines;
    for (const auto &[Id, Each] : Layout_)
      if (Each.Layers_.Begin_ < Each.Layers_.End_)
        Engines.push_back({Id, Each.Kind_, Each.Layers_, true});
    Tokens_ = tokensInFlight(Model, Engines);
  }
  // A data centre that did not hold the model before has nothing to restore.
  if (!Recovery_ && Lost > 0 && TokensBefore > 0) {
    Recovery_ = Recovery{Now, std::nullopt, Lost, TokensBefore};
    if (Tokens_ > 0)
      Recovery_->WholeAfter_ = Duration{};
    Events.push_back(event(RecoveryEvent::Kind::Lost, Now));
  } else if (Recovery_) {
    Recovery_->Engines_ += Lost;
  }
  if (!Recovery_)
    return Events;
  if (Tokens_ == 0) // A further loss may come after the model was whole again.
    Recovery_->WholeAfter_.reset();
  if (Tokens_ > 0 && !Recovery_->WholeAfter_) {
    Recovery_->WholeAfter_ = Now - Recovery_->Since_;
    Events.push_back(event(RecoveryEvent::Kind::Whole, Now));
  }
  if (Tokens_ >= RestoredShare * Recovery_->TokensBefore_)
    Events.push_back(event(RecoveryEvent::Kind::Restored, Now));
  else if (Now - Recovery_->Since_ >= RecoveryTimeout)
    Events.push_back(event(RecoveryEvent::Kind::GivenUp, Now));
  else
    return Events;
  Recovery_.reset();
  return Events;
}

} // namespace rattancart
