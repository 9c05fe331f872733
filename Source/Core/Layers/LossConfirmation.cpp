#include "Core/Layers/LossConfirmation.h"

#include <algorithm>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// An engine counts as lost after 400 ms without an answer. It becomes silent 50 ms after the probe
/// that it did not answer, so this much of the time is left.
constexpr Duration ConfirmationTime = milliseconds(350);
/// A silence counts as a loss after this time even if nothing was received from other endpoints.
constexpr Duration LongestDoubt = milliseconds(2000);
/// While an engine is doubtful, updates follow each other within 200 ms. After a longer pause,
/// answers that have arrived may not have been read yet.
constexpr Duration LongestUpdateGap = milliseconds(500);

/// Planning is suspended if more than a third of the engines, and at least four, fall silent within
/// this time. Independent failures of that many are far apart.
constexpr Duration SuspicionWindow = milliseconds(1000);
constexpr std::size_t MinSuspiciousEngines = 4;
constexpr Duration LongestSuspension = milliseconds(2000);

TimePoint lastSignOfLife(const EndpointRecord &Record) {
  return std::max(Record.LastActivityAt_, Record.ReportedAt_);
}

bool isListedAsLive(const EndpointRecord &Record) {
  return Record.Listing_.State_ == EndpointState::Live && !Record.MissingUntil_ &&
         !Record.addressInDoubt();
}

bool isOf(const EndpointRecord &Record, const ServiceId &Service, const DataCenterId &DataCenter) {
  return Record.Listing_.Service_ == Service && Record.Listing_.DataCenter_ == DataCenter;
}

} // namespace

void LossConfirmation::update(const ServiceId &Service, const DataCenterId &DataCenter,
                              const EndpointRoster &Roster, TimePoint Now) {
  if (!StartedAt_)
    StartedAt_ = UpdatedAt_ = Now;
  const std::map<EndpointId, Silence> Before = Silences_;
  const std::vector<EndpointId> DoubtfulBefore = std::move(Doubtful_);
  updateSilences(Service, DataCenter, Roster, Now);
  updateSuspension(Service, DataCenter, Roster, Now);

  Doubtful_.clear();
  for (const auto &[Id, Each] : Silences_)
    if (standing(*Roster.find(Id), Now) == EngineStanding::Doubtful)
      Doubtful_.push_back(Id);
  Ended_.clear();
  for (const EndpointId &Id : DoubtfulBefore) {
    const EndpointRecord *Record = Roster.find(Id);
    const EngineStanding Current = Record ? standing(*Record, Now) : EngineStanding::Lost;
    if (Current != EngineStanding::Doubtful)
      Ended_.push_back({Id, Current == EngineStanding::Lost, Now - Before.at(Id).Since_});
  }
  UpdatedAt_ = Now;
}

void LossConfirmation::updateSilences(const ServiceId &Service, const DataCenterId &DataCenter,
                                      const EndpointRoster &Roster, TimePoint Now) {
  std::vector<TimePoint> Signs;
  for (const auto &[Id, Record] : Roster.all()) {
    Signs.push_back(Record.LastActivityAt_);
    Signs.push_back(Record.ReportedAt_);
  }
  std::sort(Signs.begin(), Signs.end());

  std::map<EndpointId, Silence> Silences;
  for (const auto &[Id, Record] : Roster.all()) {
    if (!isOf(Record, Service, DataCenter) || !Record.silent(Now))
      continue;
    const TimePoint Since = std::max({Record.SilentSince_, lastSignOfLife(Record), *StartedAt_});
    const auto Known = Silences_.find(Id);
    Silence Each = Known != Silences_.end() && Known->second.Since_ == Since
                       ? Known->second
                       : Silence{Since, Since, Since + LongestDoubt, false};
    if (!Each.HeardOthers_) {
      // The engine's own signs of life are not later than Since.
      const auto Heard = std::upper_bound(Signs.begin(), Signs.end(), Since);
      Each.HeardOthers_ = Heard != Signs.end();
      if (Each.HeardOthers_ && *Heard - Since > ConfirmationTime)
        Each.CountsFrom_ = *Heard;
    }
    if (Now - UpdatedAt_ > LongestUpdateGap)
      Each.CountsFrom_ = Now;
    Silences.emplace(Id, Each);
  }
  Silences_ = std::move(Silences);
}

void LossConfirmation::updateSuspension(const ServiceId &Service, const DataCenterId &DataCenter,
                                        const EndpointRoster &Roster, TimePoint Now) {
  std::size_t Engines = 0;
  std::size_t Silent = 0;
  std::size_t FellSilent = 0;
  for (const auto &[Id, Record] : Roster.all()) {
    if (!isOf(Record, Service, DataCenter) || !isListedAsLive(Record))
      continue;
    ++Engines;
    if (!Record.silent(Now) || Record.refusesConnections())
      continue;
    ++Silent;
    // Those of the last suspension had 2 s to answer.
    FellSilent +=
        Now - Record.SilentSince_ <= SuspicionWindow && Record.SilentSince_ > SuspensionEndedAt_
            ? 1
            : 0;
  }
  const auto AreMany = [&](std::size_t Count) {
    return Count >= MinSuspiciousEngines && 3 * Count > Engines;
  };
  Change_.reset();
  if (!SuspendedSince_) {
    if (!AreMany(FellSilent))
      return;
    SuspendedSince_ = Now;
    Change_ = {true, Silent, Engines, Duration{}};
    return;
  }
  const Duration Lasted = Now - *SuspendedSince_;
  if (AreMany(Silent) && Lasted < LongestSuspension)
    return;
  // Most engines answer again, so the others get as long as any silent engine to do so too.
  if (!AreMany(Silent))
    for (auto &[Id, Each] : Silences_) {
      Each.CountsFrom_ = Now;
      Each.LossAt_ = std::max(Each.LossAt_, Now + ConfirmationTime);
    }
  SuspendedSince_.reset();
  SuspensionEndedAt_ = Now;
  Change_ = {false, Silent, Engines, Lasted};
}

EngineStanding LossConfirmation::standing(const EndpointRecord &Record, TimePoint Now) const {
  if (Record.Listing_.State_ != EndpointState::Live || Record.gone(Now))
    return EngineStanding::Lost;
  if (!Record.silent(Now))
    return EngineStanding::Present;
  const auto Found = Silences_.find(Record.Listing_.Id_);
  if (Record.refusesConnections() || Found == Silences_.end())
    return EngineStanding::Lost;
  const Silence &Each = Found->second;
  if (suspended())
    return EngineStanding::Doubtful;
  if (Now >= Each.LossAt_)
    return EngineStanding::Lost;
  return Each.HeardOthers_ && Now - Each.CountsFrom_ >= ConfirmationTime ? EngineStanding::Lost
                                                                         : EngineStanding::Doubtful;
}

} // namespace rattancart
