#include "Watch/InstanceListFollower.h"

#include <utility>
#include <vector>

namespace rattancart {

namespace {

/// An endpoint that is neither listed nor heard of for this long is gone.
constexpr Duration UnlistedTimeout = std::chrono::seconds(10);
/// A gone endpoint's incarnation is remembered for this long, so that a late list can't bring
/// it back.
constexpr Duration GoneRetention = std::chrono::minutes(10);

} // namespace

InstanceListFollower::InstanceListFollower(
    boost::asio::io_context &Loop, const Clock &Time, Logger &Log, InstanceListService &Service,
    EndpointTable &Table, std::function<void(const EndpointId &, EndpointChange)> Changed)
    : Time_(Time), Log_(Log), Service_(Service), Table_(Table), Changed_(std::move(Changed)),
      Ticker_(Loop) {}

InstanceListFollower::~InstanceListFollower() { *Alive_ = false; }

void InstanceListFollower::start(Duration Interval) {
  ask();
  Ticker_.every(Interval, [this] { ask(); });
}

void InstanceListFollower::ask() {
  if (std::exchange(UnderWay_, true))
    return;
  Service_.list([this, Alive = Alive_](const Result<InstanceList> &Answer) {
    if (*Alive)
      received(Answer);
  });
}

void InstanceListFollower::received(const Result<InstanceList> &Answer) {
  UnderWay_ = false;
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
    // The epoch: the list alone does not make it fresh.
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
    // The list lags: an endpoint that still answers is no less there for being unlisted.
    if (Time_.now() - Table_.heardAt(Known.Id_) < UnlistedTimeout)
      continue;
    if (Table_.markGone(Known.Id_, Known.Incarnation_) == EndpointChange::Gone) {
      Log_.log(LogEvent::EndpointGone, {{"endpoint", Known.Id_.str()}});
      Changed_(Known.Id_, EndpointChange::Gone);
    }
  }
}

} // namespace rattancart
