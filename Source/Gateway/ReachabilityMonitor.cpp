#include "Gateway/ReachabilityMonitor.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

constexpr Duration CountInterval = milliseconds(500);
/// Connects that show soon whether the links work: at each tick while they are in doubt, and in
/// longer intervals while none does.
constexpr std::size_t ConnectsInDoubt = 3;
constexpr std::size_t ConnectsWhileIsolated = 3;
constexpr Duration IsolatedInterval = milliseconds(400);
/// Time limit of such a connect. An endpoint accepts within a few ms.
constexpr Duration ConnectTimeout = milliseconds(200);
constexpr Duration AnswerTimeout = milliseconds(400);

} // namespace

void ReachabilityMonitor::onConnect(const NetAddress &Address, bool Accepted, Duration Took) {
  const EndpointRecord *Record = Use_.Roster_.findByAddress(Address);
  if (!Record)
    return;
  const TimePoint Now = Use_.Time_.now();
  const EndpointListing &Listing = Record->Listing_;
  if (Accepted)
    Reach_.onAccepted(Listing.Service_, Listing.Id_, Now);
  else
    Reach_.onFailed(Listing.Service_, Listing.Id_, Now - Took, Now);
  reportChanges();
}

bool ReachabilityMonitor::isIsolatedFromAny() const {
  const auto Affected = Reach_.affectedServices(Use_.Time_.now());
  return std::any_of(Affected.begin(), Affected.end(),
                     [this](const ServiceId &Each) { return Reach_.isIsolated(Each); });
}

void ReachabilityMonitor::tick() {
  const TimePoint Now = Use_.Time_.now();
  if (Now - CountedAt_ >= CountInterval)
    countEndpoints();
  const bool ProbesIsolated = Now - ProbedAt_ >= IsolatedInterval;
  for (const ServiceId &Service : Reach_.affectedServices(Now)) {
    if (!Reach_.isIsolated(Service))
      connectToSome(Service, ConnectsInDoubt);
    else if (ProbesIsolated)
      connectToSome(Service, ConnectsWhileIsolated);
  }
  if (ProbesIsolated)
    ProbedAt_ = Now;
}

void ReachabilityMonitor::countEndpoints() {
  CountedAt_ = Use_.Time_.now();
  std::map<ServiceId, std::size_t> Counts;
  for (const auto &[Id, Record] : Use_.Roster_.all())
    if (Record.Listing_.State_ == EndpointState::Live && !Record.gone(CountedAt_))
      ++Counts[Record.Listing_.Service_];
  for (const auto &[Service, Count] : Counts)
    Reach_.setEndpointCount(Service, Count);
}

void ReachabilityMonitor::connectToSome(const ServiceId &Service, std::size_t Count) {
  std::vector<const EndpointRecord *> Endpoints;
  for (const auto &[Id, Record] : Use_.Roster_.all())
    if (Record.Listing_.Service_ == Service && Record.Listing_.State_ == EndpointState::Live)
      Endpoints.push_back(&Record);
  std::shuffle(Endpoints.begin(), Endpoints.end(), Use_.Random_);
  std::stable_partition(Endpoints.begin(), Endpoints.end(), [&](const EndpointRecord *Each) {
    return !Reach_.hasFailed(Service, Each->Listing_.Id_);
  });
  Endpoints.resize(std::min(Endpoints.size(), Count));
  HttpSendOptions Options;
  Options.Use_ = ConnectionUse::Fresh;
  Options.ConnectTimeout_ = ConnectTimeout;
  Options.ResponseTimeout_ = AnswerTimeout;
  for (const EndpointRecord *Each : Endpoints) {
    Use_.Metrics_.count("probes_total", "reachability");
    // The connect alone is of interest; onConnect is told of it.
    Use_.Client_.send(Each->Listing_.Address_, Use_.Protocol_.reportRequest(Each->Listing_.Id_),
                      Options, [](const HttpResult &) {});
  }
}

void ReachabilityMonitor::reportChanges() {
  for (const ReachabilityChange &Change : Reach_.takeChanges()) {
    Use_.Metrics_.count("isolations_total", Change.Isolated_ ? "began" : "ended");
    if (Change.Isolated_)
      Use_.Log_.log(LogEvent::GatewayIsolated,
                    {{"service", Change.Service_.str()}, {"failed", Change.Failures_}});
    else
      Use_.Log_.log(
          LogEvent::GatewayConnected,
          {{"service", Change.Service_.str()}, {"isolated_ms", Change.Lasted_ / milliseconds(1)}});
    if (ChangeHandler_)
      ChangeHandler_(Change);
  }
}

} // namespace rattancart
