#include "Core/Serving/EndpointRoster.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

/// Silent endpoints are polled again every half second, so after this time at least two more polls
/// have failed.
constexpr Duration LostTimeout = std::chrono::milliseconds(1500);
/// Reports lag behind the engine's state by up to this time.
constexpr Duration ReportLag = std::chrono::milliseconds(300);
/// Refusals that are further apart are unrelated: a surge of requests ends sooner.
constexpr Duration RefusalWindow = std::chrono::milliseconds(2000);
/// After this time, reports show the new layers of an engine that changed them quickly.
constexpr Duration MinDeclineBackoff = std::chrono::milliseconds(400);
/// Further refusals don't make the back-off longer than this.
constexpr Duration LongestDeclineBackoff = std::chrono::milliseconds(3200);
/// Two refusals and the report between them arrive within this time if the engine is still needed.
constexpr Duration DeclineWindow = std::chrono::milliseconds(1500);
/// An endpoint whose address was taken over usually disappears from the list within 6 s.
constexpr Duration MinAddressTakenBackoff = std::chrono::milliseconds(2000);
constexpr Duration MaxAddressTakenBackoff = std::chrono::milliseconds(32000);
/// Part of an engine's memory that must be free to count as ample. Reports lag, so those of full
/// engines showed up to a fifth of the memory as free; engines that leave are soon empty.
constexpr double AmpleMemoryShare = 0.4;

} // namespace

bool EndpointRecord::lost(TimePoint Now) const {
  return silent(Now) && Now - SilentSince_ >= LostTimeout && ReportedAt_ <= SilentSince_;
}

LayerRange EndpointRecord::layersOf(const LayeredModel &Model) const {
  const EngineKind *Kind = Model.kind(Listing_.Kind_);
  const auto IsPossible = [&](LayerRange Range) {
    return Range.Begin_ <= Range.End_ && Range.End_ <= Model.Layers_ && Kind &&
           (Range.End_ - Range.Begin_) * Model.LayerMb_ <= Kind->MemoryMb_;
  };
  const LayerRange Newest = layers();
  if (IsPossible(Newest))
    return Newest;
  return reported() && IsPossible(Report_.Layers_) ? Report_.Layers_ : LayerRange{};
}

double EndpointRecord::freeSlotShare() const {
  if (Listing_.Slots_ == 0)
    return 1;
  const double Used = std::max(Report_.Running_ + Report_.Waiting_, OwnRequests_);
  return std::clamp(1 - Used / Listing_.Slots_, 0.0, 1.0);
}

double EndpointRecord::usedTokenLayers(TimePoint Now) const {
  return reported() ? std::max(Memory_.used(Now), OwnTokenLayers_) : OwnTokenLayers_;
}

bool EndpointRecord::declinesForLong(TimePoint Now) const {
  return DeclineBackoff_ > MinDeclineBackoff && Now - DeclinesUntil_ < DeclineWindow;
}

bool EndpointRecord::hasAmpleMemory() const {
  const double Used = std::max(Report_.UsedTokenLayers_, OwnTokenLayers_);
  return reported() && Report_.Waiting_ == 0 && Report_.TotalTokenLayers_ > 0 &&
         Report_.TotalTokenLayers_ - Used >= AmpleMemoryShare * Report_.TotalTokenLayers_;
}

EndpointRoster::Change EndpointRoster::updateListing(EndpointListing Listing, TimePoint Now) {
  const auto It = Records_.find(Listing.Id_);
  if (It == Records_.end()) {
    EndpointRecord Record;
    Record.ListedAt_ = Now;
    const EndpointId Id = Listing.Id_;
    Record.Listing_ = std::move(Listing);
    Records_.emplace(Id, std::move(Record));
    return Change::Added;
  }
  EndpointRecord &Record = It->second;
  if (Listing.Run_ < Record.Listing_.Run_)
    return Change::None;
  const bool Restarted = Listing.Run_ != Record.Listing_.Run_;
  const bool Moved = Listing.Address_ != Record.Listing_.Address_;
  // Within one run, an endpoint that is leaving never becomes live again.
  if (!Restarted)
    Listing.State_ = std::max(Listing.State_, Record.Listing_.State_);
  const bool Left = Listing.State_ != Record.Listing_.State_;
  if (Restarted) {
    Record.Report_ = {};
    Record.ReportedAt_ = {};
    Record.SilentUntil_ = {};
    Record.LastActivityAt_ = {};
    Record.RefusedAt_ = {};
    Record.DeclinesUntil_ = {};
    Record.DeclineBackoff_ = {};
    Record.Memory_ = {};
  }
  if (Restarted || Moved) {
    Record.ConnectionRefusedAt_ = {};
    Record.AddressTakenUntil_ = {};
    Record.AddressTakenBackoff_ = {};
  }
  Record.MissingUntil_.reset();
  Record.ListedAt_ = Now;
  Record.Listing_ = std::move(Listing);
  if (Restarted)
    return Change::Restarted;
  if (Left)
    return Change::Leaving;
  return Moved ? Change::Moved : Change::None;
}

EndpointRoster::Change EndpointRoster::removeListing(const EndpointId &Id,
                                                     std::optional<TimePoint> MayReappearUntil,
                                                     TimePoint Now) {
  const auto It = Records_.find(Id);
  if (It == Records_.end())
    return Change::None;
  EndpointRecord &Record = It->second;
  if (MayReappearUntil && Now < *MayReappearUntil &&
      Record.Listing_.State_ == EndpointState::Live) {
    if (!Record.MissingUntil_)
      Record.MissingUntil_ = MayReappearUntil;
    return Change::Missing;
  }
  Records_.erase(It);
  return Change::Removed;
}

std::vector<EndpointId> EndpointRoster::prune(TimePoint Now) {
  std::vector<EndpointId> Removed;
  for (auto It = Records_.begin(); It != Records_.end();) {
    if (!It->second.gone(Now)) {
      ++It;
      continue;
    }
    Removed.push_back(It->first);
    It = Records_.erase(It);
  }
  return Removed;
}

bool EndpointRoster::updateReport(const EndpointId &Id, const EngineReport &Report,
                                  TimePoint TrueAt) {
  const auto It = Records_.find(Id);
  if (It == Records_.end())
    return false;
  EndpointRecord &Record = It->second;
  if (Report.Run_ != Incarnation(0) && Report.Run_ < Record.Listing_.Run_)
    return false;
  if (isFromOtherEndpoint(Record, Report.Run_))
    return false;
  if (TrueAt < Record.ReportedAt_)
    return true;
  Record.Report_ = Report;
  Record.ReportedAt_ = TrueAt;
  Record.Memory_.onReport(Report.UsedTokenLayers_, Report.TotalTokenLayers_, TrueAt);
  return true;
}

void EndpointRoster::markSilent(const EndpointId &Id, TimePoint Now, TimePoint Until) {
  const auto It = Records_.find(Id);
  if (It == Records_.end())
    return;
  EndpointRecord &Record = It->second;
  if (!Record.silent(Now))
    Record.SilentSince_ = Now;
  Record.SilentUntil_ = std::max(Record.SilentUntil_, Until);
}

void EndpointRoster::noteConnectionRefused(const EndpointId &Id, TimePoint Now) {
  if (const auto It = Records_.find(Id); It != Records_.end())
    It->second.ConnectionRefusedAt_ = Now;
}

void EndpointRoster::markHeard(const EndpointId &Id, TimePoint Now) {
  if (const auto It = Records_.find(Id); It != Records_.end()) {
    It->second.SilentUntil_ = {};
    It->second.ConnectionRefusedAt_ = {};
    It->second.AddressTakenUntil_ = {};
    It->second.AddressTakenBackoff_ = {};
  }
  noteActivity(Id, Now);
}

void EndpointRoster::noteActivity(const EndpointId &Id, TimePoint Now) {
  if (const auto It = Records_.find(Id); It != Records_.end())
    It->second.LastActivityAt_ = Now;
}

bool EndpointRoster::noteRefusal(const EndpointId &Id, TimePoint Now) {
  const auto It = Records_.find(Id);
  if (It == Records_.end() || It->second.declines(Now))
    return false;
  EndpointRecord &Record = It->second;
  const bool Recent = Record.RefusedAt_ != TimePoint{} && Now - Record.RefusedAt_ < RefusalWindow;
  if (!Recent) {
    Record.RefusedAt_ = Now;
    return false;
  }
  if (Record.ReportedAt_ < Record.RefusedAt_ + ReportLag)
    return false;
  Record.RefusedAt_ = {};
  if (!Record.hasAmpleMemory())
    return false;
  const bool Again =
      Record.DeclineBackoff_ > Duration{} && Now - Record.DeclinesUntil_ < DeclineWindow;
  Record.DeclineBackoff_ =
      Again ? std::min(2 * Record.DeclineBackoff_, LongestDeclineBackoff) : MinDeclineBackoff;
  Record.DeclinesUntil_ = Now + std::min(Record.DeclineBackoff_, MaxDeclineBackoff_);
  return true;
}

bool EndpointRoster::isFromOtherEndpoint(const EndpointRecord &Record,
                                         Incarnation ReportedRun) const {
  const EndpointListing &Listed = Record.Listing_;
  if (ReportedRun == Listed.Run_)
    return false;
  if (Record.addressInDoubt())
    return true;
  return std::any_of(Records_.begin(), Records_.end(), [&](const auto &Entry) {
    const EndpointListing &Other = Entry.second.Listing_;
    return Other.Id_ != Listed.Id_ && Other.Address_ == Listed.Address_ &&
           Other.Run_ == ReportedRun && ReportedRun != Incarnation(0);
  });
}

bool EndpointRoster::noteAddressTaken(const EndpointId &Id, const NetAddress &Address,
                                      Incarnation ListedRun, TimePoint Now) {
  const auto It = Records_.find(Id);
  if (It == Records_.end())
    return false;
  EndpointRecord &Record = It->second;
  if (Record.Listing_.Address_ != Address || Record.Listing_.Run_ != ListedRun ||
      Record.addressTaken(Now))
    return false;
  if (Record.reported() && Record.Report_.Run_ != ListedRun) {
    Record.Report_ = {};
    Record.ReportedAt_ = {};
    Record.Memory_ = {};
  }
  Record.AddressTakenBackoff_ =
      std::clamp(2 * Record.AddressTakenBackoff_, MinAddressTakenBackoff, MaxAddressTakenBackoff);
  Record.AddressTakenUntil_ = Now + Record.AddressTakenBackoff_;
  return true;
}

void EndpointRoster::noteMemoryRefusal(const EndpointId &Id, double TokenLayers, TimePoint Now) {
  if (const auto It = Records_.find(Id); It != Records_.end())
    It->second.Memory_.onRefused(TokenLayers, Now);
}

void EndpointRoster::noteSent(const EndpointId &Id, double TokenLayers, TimePoint Now) {
  if (const auto It = Records_.find(Id); It != Records_.end())
    It->second.Memory_.onSent(TokenLayers, Now);
  ConcurrentSends_.onSent(TokenLayers, Now);
}

void EndpointRoster::addOwnLoad(const EndpointId &Id, int Requests, double TokenLayers) {
  const auto It = Records_.find(Id);
  if (It == Records_.end())
    return;
  EndpointRecord &Record = It->second;
  Record.OwnRequests_ = static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, static_cast<std::int64_t>(Record.OwnRequests_) + Requests));
  Record.OwnTokenLayers_ = std::max(0.0, Record.OwnTokenLayers_ + TokenLayers);
}

double EndpointRoster::concurrentSends(const EndpointRecord &Record, TimePoint Now) const {
  return Record.reported() ? ConcurrentSends_.factor(Now) * Record.Memory_.averageSends(Now) : 0;
}

bool EndpointRoster::takesWork(const EndpointRecord &Record, TimePoint Now) const {
  return Record.Listing_.State_ == EndpointState::Live && !Record.gone(Now) &&
         !Record.silent(Now) && !Record.declines(Now) && !Record.addressTaken(Now);
}

const EndpointRecord *EndpointRoster::find(const EndpointId &Id) const {
  const auto It = Records_.find(Id);
  return It == Records_.end() ? nullptr : &It->second;
}

const EndpointRecord *EndpointRoster::findByAddress(const NetAddress &Address) const {
  const EndpointRecord *Found = nullptr;
  for (const auto &[Id, Record] : Records_) {
    if (Record.Listing_.Address_ != Address)
      continue;
    if (!Record.addressInDoubt())
      return &Record;
    Found = Found ? Found : &Record;
  }
  return Found;
}

double tokenCapacity(const EndpointRoster &Roster, const ServingService &Service,
                     const DataCenterId &DataCenter) {
  if (!Service.Model_ || Service.Model_->Layers_ == 0)
    return 0;
  double TokenLayers = 0;
  for (const auto &[Id, Record] : Roster.all())
    if (Record.Listing_.Service_ == Service.Id_ && Record.Listing_.DataCenter_ == DataCenter)
      TokenLayers += Record.Report_.TotalTokenLayers_;
  return TokenLayers / Service.Model_->Layers_;
}

} // namespace rattancart
