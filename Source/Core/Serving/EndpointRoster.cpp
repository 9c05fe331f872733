#include "Core/Serving/EndpointRoster.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

/// Entries that lapsed during an outage are back this long after it, if the endpoint lives; a
/// property of the platform.
constexpr Duration RelistTime = std::chrono::seconds(2);
/// Silent endpoints are asked again each half second, so at least two more answers have failed.
constexpr Duration LostTime = std::chrono::milliseconds(1500);
/// What a report says was true up to this long before.
constexpr Duration ReportLag = std::chrono::milliseconds(300);
/// Refusals further apart have nothing to do with each other: a surge passes sooner.
constexpr Duration RefusalMemory = std::chrono::milliseconds(2000);
/// An engine that moves layers within the time of a report is known right after this time.
constexpr Duration LeastDecline = std::chrono::milliseconds(400);
/// An engine that leaves goes on for some seconds; a few requests in this time find out.
constexpr Duration MostDecline = std::chrono::milliseconds(3200);
/// Two refusals and the report between them come within this time if the engine is still needed.
constexpr Duration DeclineMemory = std::chrono::milliseconds(1500);
/// Free part of an engine's memory. Full engines were seen with a fifth of it free in their
/// reports, which lag; engines that leave are soon empty.
constexpr double AmpleShare = 0.4;

} // namespace

bool EndpointRecord::lost(TimePoint Now) const {
  return silent(Now) && Now - SilentSince_ >= LostTime && ReportedAt_ <= SilentSince_;
}

bool EndpointRecord::declinesForLong(TimePoint Now) const {
  return DeclineBackoff_ > LeastDecline && Now - DeclinesUntil_ < DeclineMemory;
}

bool EndpointRecord::hasAmpleMemory() const {
  const double Used = std::max(Report_.UsedTokenLayers_, OwnTokenLayers_);
  return reported() && Report_.Waiting_ == 0 && Report_.TotalTokenLayers_ > 0 &&
         Report_.TotalTokenLayers_ - Used >= AmpleShare * Report_.TotalTokenLayers_;
}

EndpointRoster::Change EndpointRoster::updateListing(EndpointListing Listing, TimePoint Now) {
  const auto Place = Records_.find(Listing.Id_);
  if (Place == Records_.end()) {
    EndpointRecord Record;
    Record.ListedAt_ = Now;
    const EndpointId Id = Listing.Id_;
    Record.Listing_ = std::move(Listing);
    Records_.emplace(Id, std::move(Record));
    return Change::Added;
  }
  EndpointRecord &Record = Place->second;
  if (Listing.Run_ < Record.Listing_.Run_)
    return Change::None;
  const bool Restarted = Listing.Run_ != Record.Listing_.Run_;
  const bool Moved = Listing.Address_ != Record.Listing_.Address_;
  // Leaving does not end within one run.
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
  }
  Record.Missing_ = false;
  Record.ListedAt_ = Now;
  Record.Listing_ = std::move(Listing);
  if (Restarted)
    return Change::Restarted;
  if (Left)
    return Change::Leaving;
  return Moved ? Change::Moved : Change::None;
}

EndpointRoster::Change EndpointRoster::removeListing(const EndpointId &Id, bool AfterOutage,
                                                     TimePoint Now) {
  const auto Place = Records_.find(Id);
  if (Place == Records_.end())
    return Change::None;
  EndpointRecord &Record = Place->second;
  if (AfterOutage && Record.Listing_.State_ == EndpointState::Live) {
    if (!Record.Missing_)
      Record.MissingSince_ = Now;
    Record.Missing_ = true;
    return Change::Missing;
  }
  Records_.erase(Place);
  return Change::Removed;
}

std::vector<EndpointId> EndpointRoster::prune(TimePoint Now) {
  std::vector<EndpointId> Removed;
  for (auto Place = Records_.begin(); Place != Records_.end();) {
    const EndpointRecord &Record = Place->second;
    if (!Record.Missing_ || Now - Record.MissingSince_ < RelistTime) {
      ++Place;
      continue;
    }
    Removed.push_back(Place->first);
    Place = Records_.erase(Place);
  }
  return Removed;
}

bool EndpointRoster::updateReport(const EndpointId &Id, const EngineReport &Report,
                                  TimePoint TrueAt) {
  const auto Place = Records_.find(Id);
  if (Place == Records_.end())
    return false;
  EndpointRecord &Record = Place->second;
  if (Report.Run_ != Incarnation(0) && Report.Run_ < Record.Listing_.Run_)
    return false;
  if (TrueAt < Record.ReportedAt_)
    return true;
  Record.Report_ = Report;
  Record.ReportedAt_ = TrueAt;
  return true;
}

void EndpointRoster::markSilent(const EndpointId &Id, TimePoint Now, TimePoint Until) {
  const auto Place = Records_.find(Id);
  if (Place == Records_.end())
    return;
  EndpointRecord &Record = Place->second;
  if (!Record.silent(Now))
    Record.SilentSince_ = Now;
  Record.SilentUntil_ = std::max(Record.SilentUntil_, Until);
}

void EndpointRoster::markHeard(const EndpointId &Id, TimePoint Now) {
  if (const auto Place = Records_.find(Id); Place != Records_.end())
    Place->second.SilentUntil_ = {};
  noteActivity(Id, Now);
}

void EndpointRoster::noteActivity(const EndpointId &Id, TimePoint Now) {
  if (const auto Place = Records_.find(Id); Place != Records_.end())
    Place->second.LastActivityAt_ = Now;
}

bool EndpointRoster::noteRefusal(const EndpointId &Id, TimePoint Now) {
  const auto Place = Records_.find(Id);
  if (Place == Records_.end() || Place->second.declines(Now))
    return false;
  EndpointRecord &Record = Place->second;
  const bool Recent = Record.RefusedAt_ != TimePoint{} && Now - Record.RefusedAt_ < RefusalMemory;
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
      Record.DeclineBackoff_ > Duration{} && Now - Record.DeclinesUntil_ < DeclineMemory;
  Record.DeclineBackoff_ = Again ? std::min(2 * Record.DeclineBackoff_, MostDecline) : LeastDecline;
  Record.DeclinesUntil_ = Now + Record.DeclineBackoff_;
  return true;
}

void EndpointRoster::addOwnLoad(const EndpointId &Id, int Requests, double TokenLayers) {
  const auto Place = Records_.find(Id);
  if (Place == Records_.end())
    return;
  EndpointRecord &Record = Place->second;
  Record.OwnRequests_ = static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, static_cast<std::int64_t>(Record.OwnRequests_) + Requests));
  Record.OwnTokenLayers_ = std::max(0.0, Record.OwnTokenLayers_ + TokenLayers);
}

bool EndpointRoster::takesWork(const EndpointRecord &Record, TimePoint Now) const {
  return Record.Listing_.State_ == EndpointState::Live && !Record.silent(Now) &&
         !Record.declines(Now);
}

const EndpointRecord *EndpointRoster::find(const EndpointId &Id) const {
  const auto Place = Records_.find(Id);
  return Place == Records_.end() ? nullptr : &Place->second;
}

const EndpointRecord *EndpointRoster::findByAddress(const NetAddress &Address) const {
  for (const auto &[Id, Record] : Records_)
    if (Record.Listing_.Address_ == Address)
      return &Record;
  return nullptr;
}

} // namespace rattancart
