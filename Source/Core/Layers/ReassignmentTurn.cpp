#include "Core/Layers/ReassignmentTurn.h"

#include <algorithm>
#include <vector>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// A data centre serves nothing while it lacks a layer, so it does not wait longer for others.
constexpr Duration LongestWait = milliseconds(2000);
/// Data centres that have waited together begin this far apart, so that each sees in the engine
/// states that the one before has begun.
constexpr Duration StartInterval = milliseconds(500);
/// Owners send their states to other data centres every 3 s; older states are late.
constexpr Duration StateLifetime = milliseconds(4000);

/// Owners receive each other's states every 200 ms while they need them, and learn of a loss in
/// another data centre after about as long. Another 200 ms later they know what it did before it
/// learned of theirs.
constexpr Duration StateDelay = milliseconds(500);

/// What is known of the layers of one data centre.
struct DataCenterState {
  std::vector<bool> Held_;
  bool Loads_ = false;
  TimePoint ReportedAt_{};
};

std::map<DataCenterId, DataCenterState> knownStates(const LayeredModel &Model,
                                                    const ServiceId &Service,
                                                    const EndpointRoster &Roster, TimePoint Now) {
  std::map<DataCenterId, DataCenterState> States;
  for (const auto &[Id, Record] : Roster.all()) {
    if (Record.Listing_.Service_ != Service || !Model.kind(Record.Listing_.Kind_))
      continue;
    DataCenterState &State = States[Record.Listing_.DataCenter_];
    State.Held_.resize(Model.Layers_, false);
    State.ReportedAt_ = std::max(State.ReportedAt_, Record.ReportedAt_);
    if (Record.Listing_.State_ != EndpointState::Live || Record.gone(Now) || Record.silent(Now) ||
        Record.addressInDoubt())
      continue;
    State.Loads_ = State.Loads_ || (Record.reported() && Record.Report_.Busy_);
    const LayerRange Layers = Record.layersOf(Model);
    for (std::uint32_t Layer = Layers.Begin_; Layer < Layers.End_; ++Layer)
      State.Held_[Layer] = true;
  }
  return States;
}

} // namespace

bool mayAssignFromScratch(const ReassignmentQuestion &Asked, TimePoint Now) {
  bool Waits = !Asked.IsFirst_ && Now - Asked.UnservedSince_ < StateDelay;
  int Rank = 0;
  int Starting = 0;
  for (const auto &[Id, Other] : Asked.Others_) {
    Waits = Waits || Other.LoadsSince_;
    if (!(Id < Asked.Home_))
      continue;
    // After that time it would have begun, so it can't.
    Waits = Waits || Now - Other.Since_ < LongestWait + ++Rank * StartInterval;
    Starting += !Other.LoadsSince_ || Now - *Other.LoadsSince_ < StartInterval ? 1 : 0;
  }
  return !Waits || Now - Asked.LackingSince_ >= LongestWait + Starting * StartInterval;
}

void ReassignmentTurn::update(const LayeredModel &Model, const ServiceId &Service,
                              const DataCenterId &Home, Gaps Own, const EndpointRoster &Roster,
                              TimePoint Now) {
  const auto Follow = [Now](std::optional<TimePoint> &Since, bool Holds) {
    Since = Holds ? std::optional(Since.value_or(Now)) : std::nullopt;
  };
  std::map<DataCenterId, LackingDataCenter> Others;
  const std::map<DataCenterId, DataCenterState> States = knownStates(Model, Service, Roster, Now);
  for (const auto &[Id, State] : States) {
    const bool Whole =
        std::find(State.Held_.begin(), State.Held_.end(), false) == State.Held_.end();
    if (Id == Home || Whole || Now - State.ReportedAt_ > StateLifetime)
      continue;
    const auto Known = Others_.find(Id);
    LackingDataCenter Other = Known == Others_.end() ? LackingDataCenter{Now} : Known->second;
    Follow(Other.LoadsSince_, State.Loads_);
    Others[Id] = Other;
  }
  Others_ = std::move(Others);
  Follow(LackingSince_, Own.Lacks_);
  Follow(UnservedSince_, Own.Unserved_);
  const bool IsFirst = States.empty() || !(States.begin()->first < Home);
  May_ =
      !LackingSince_ ||
      rattancart::mayAssignFromScratch(
          {Home, *LackingSince_, UnservedSince_.value_or(*LackingSince_), IsFirst, Others_}, Now);
  Change_.reset();
}

void ReassignmentTurn::noteWaiting(bool Waits, TimePoint Now) {
  if (Waits == WaitsSince_.has_value())
    return;
  Change_ = {Waits, Waits ? Duration{} : Now - *WaitsSince_, Others_.size()};
  WaitsSince_ = Waits ? std::optional(Now) : std::nullopt;
}

} // namespace rattancart
