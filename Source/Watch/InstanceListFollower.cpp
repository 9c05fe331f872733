#include "Watch/InstanceListFollower.h"

#include <utility>
#include <vector>

namespace rattancart {

namespace {

/// An unlisted endpoint is removed if it has sent no report for this long.
constexpr Duration UnlistedTimeout = std::chrono::seconds(10);
/// The incarnation of a removed endpoint is kept for this long, so that an outdated list can't add
/// the endpoint again.
constexpr Duration GoneRetention = std::chrono::minutes(10);

} // namespace

InstanceListFollower::InstanceListFollower(
    boost::asio::io_context &Loop, const Clock &Time, Logger &Log, InstanceListService &Service,
    EndpointTable &Table, std::function<void(const EndpointId &, EndpointChange)> Changed)
    : Time_(Time), Log_(Log), Service_(Service), Table_(Table), Changed_(std::move(Changed)),
      Ticker_(Loop) {}

InstanceListFollower::~InstanceListFollower() { *Alive_ = false; }

void InstanceListFollower::start(Duration Interval) {
  requestList();
  Ticker_.every(Interval, [this] { requestList(); });
}

void InstanceListFollower::requestList() {
  if (std::exchange(InProgress_, true))
    return;
  Service_.list([this, Alive = Alive_](const Result<InstanceList> &Answer) {
    if (*Alive)
      received(Answer);
  });
}

void InstanceListFollower::received(const Result<InstanceList> &Answer) {
  InProgress_ = false;
  const bool WasUp = std::exchange(Up_, static_cast<bool>(Answer));
  if (!Answer) {
    if (WasUp)
      Log_.log(LogEvent::PlatformLost,
               {{"what", "instance list"}, {"error", Answer.error().Code_.value()}});
    return;
  }
  if (!WasUp && Version_ != 0)
    Log_.log(LogEvent::PlatformBack, {{"what", "instance list"}});
  if (Answer->Version_ < Version_) {
    Log_.log(LogEvent::ListWentBack, {{"version", Answer->Version_}, {"known", Version_}});
    return;
  }
  Version_ = Answer->Version_;
  merge(*Answer);
}

void InstanceListFollower::merge(const InstanceList &List) {
  std::set<EndpointId> Listed;
  for (const ListedInstance &Entry : List.Instances_) {
    if (Entry.Kind_ == ListedInstance::Kind::Entry)
      continue;
    Listed.insert(Entry.Id_);
    mergeOne(Entry);
  }
  forgetUnlisted(Listed);
  Table_.forgetGone(Time_.now() - GoneRetention);
}

void InstanceListFollower::mergeOne(const ListedInstance &Entry) {
  const Endpoint *Known = Table_.find(Entry.Id_);
  if (!Known || Known->Incarnation_ < Entry.Incarnation_) {
    Endpoint Record;
    Record.Id_ = Entry.Id_;
    Record.Kind_ =
        Entry.Kind_ == ListedInstance::Kind::Engine ? EndpointKind::Engine : EndpointKind::Service;
    Record.Incarnation_ = Entry.Incarnation_;
    Record.Address_ = Entry.Address_;
    Record.DataCenter_ = Entry.DataCenter_;
    Record.Service_ = Entry.Service_;
    Record.State_ = Entry.Leaving_ ? EndpointState::Leaving : EndpointState::Live;
    // The time of the last report is the epoch, since a list entry alone does not make an endpoint
    // fresh.
    Table_.apply(Record, TimePoint{});
    Log_.log(LogEvent::EndpointAdded, {{"endpoint", Entry.Id_.str()},
                                       {"address", Entry.Address_.str()},
                                       {"incarnation", Entry.Incarnation_.value()}});
    return Changed_(Entry.Id_, EndpointChange::Added);
  }
  if (!Entry.Leaving_)
    return;
  const EndpointChange Change = Table_.markLeaving(Entry.Id_, Entry.Incarnation_);
  if (Change == EndpointChange::Leaving)
    Changed_(Entry.Id_, Change);
}

void InstanceListFollower::forgetUnlisted(const std::set<EndpointId> &Listed) {
  std::vector<Endpoint> Missing;
  Table_.forEach([&](const Endpoint &Known) {
    if (!Listed.contains(Known.Id_) && Known.State_ != EndpointState::Gone)
      Missing.push_back(Known);
  });
  for (const Endpoint &Known : Missing) {
    // The list lags behind, so an unlisted endpoint that still answers is kept.
    if (Time_.now() - Table_.heardAt(Known.Id_) < UnlistedTimeout)
      continue;
    if (Table_.markGone(Known.Id_, Known.Incarnation_) == EndpointChange::Gone) {
      Log_.log(LogEvent::EndpointGone, {{"endpoint", Known.Id_.str()}});
      Changed_(Known.Id_, EndpointChange::Gone);
    }
  }
}

} // namespace rattancart
