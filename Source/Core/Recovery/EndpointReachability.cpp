#include "Core/Recovery/EndpointReachability.h"

#include <algorithm>
#include <utility>

namespace rattancart {

std::size_t EndpointReachability::limit(const State &Each, std::size_t Failures) const {
  return Each.Endpoints_ == 0 ? Failures : std::min(Failures, Each.Endpoints_);
}

void EndpointReachability::onAccepted(const ServiceId &Service, const EndpointId &Endpoint,
                                      TimePoint Now) {
  State &Each = Services_[Service];
  Each.AcceptedAt_ = Now;
  if (!Each.IsolatedSince_) {
    Each.Failed_.clear();
    return;
  }
  Each.Failed_.erase(Endpoint);
  Each.Accepted_.insert(Endpoint);
  if (Each.Accepted_.size() < limit(Each, Options_.AcceptedConnects_))
    return;
  Changes_.push_back({Service, false, 0, Now - *Each.IsolatedSince_});
  Each.IsolatedSince_.reset();
  Each.Accepted_.clear();
  Each.Failed_.clear();
}

void EndpointReachability::onFailed(const ServiceId &Service, const EndpointId &Endpoint,
                                    TimePoint StartedAt, TimePoint Now) {
  State &Each = Services_[Service];
  // The links may have worked again after it began.
  if (StartedAt < Each.AcceptedAt_)
    return;
  Each.Accepted_.erase(Endpoint);
  std::erase_if(Each.Failed_,
                [&](const auto &Entry) { return Now - Entry.second > Options_.FailureLifetime_; });
  Each.Failed_[Endpoint] = Now;
  if (Each.IsolatedSince_ || Each.Failed_.size() < limit(Each, Options_.IsolatedFailures_))
    return;
  const auto First =
      std::min_element(Each.Failed_.begin(), Each.Failed_.end(),
                       [](const auto &A, const auto &B) { return A.second < B.second; });
  if (Now - First->second < Options_.MinFailureTime_)
    return;
  Each.IsolatedSince_ = Now;
  Changes_.push_back({Service, true, Each.Failed_.size(), {}});
}

Reachability EndpointReachability::state(const ServiceId &Service, TimePoint Now) const {
  const auto Found = Services_.find(Service);
  if (Found == Services_.end())
    return Reachability::Connected;
  const State &Each = Found->second;
  if (Each.IsolatedSince_)
    return Reachability::Isolated;
  const auto Failures = static_cast<std::size_t>(
      std::count_if(Each.Failed_.begin(), Each.Failed_.end(), [&](const auto &Entry) {
        return Now - Entry.second <= Options_.FailureLifetime_;
      }));
  return Failures >= limit(Each, Options_.DoubtfulFailures_) && Failures > 0
             ? Reachability::Doubtful
             : Reachability::Connected;
}

bool EndpointReachability::isIsolated(const ServiceId &Service) const {
  const auto Found = Services_.find(Service);
  return Found != Services_.end() && Found->second.IsolatedSince_.has_value();
}

bool EndpointReachability::hasFailed(const ServiceId &Service, const EndpointId &Endpoint) const {
  const auto Found = Services_.find(Service);
  return Found != Services_.end() && Found->second.Failed_.contains(Endpoint);
}

std::vector<ServiceId> EndpointReachability::affectedServices(TimePoint Now) const {
  std::vector<ServiceId> Affected;
  for (const auto &[Service, Each] : Services_)
    if (state(Service, Now) != Reachability::Connected)
      Affected.push_back(Service);
  return Affected;
}

std::vector<ReachabilityChange> EndpointReachability::takeChanges() {
  return std::exchange(Changes_, {});
}

} // namespace rattancart
