#include "Tests/System/LookupCallers.h"

#include <fmt/format.h>

namespace rattancart {

LookupCallers::LookupCallers(GatewayDeployment &Deployment, std::size_t Callers, Duration Interval)
    : Deployment_(Deployment), Interval_(Interval), Gateways_(Callers) {
  for (std::size_t I = 0; I < Callers; ++I) {
    Gateways_[I] = I % Deployment.size();
    Threads_.emplace_back([this, I] { sendLookups(I); });
  }
}

LookupCallers::~LookupCallers() { stop(); }

void LookupCallers::moveAllTo(std::size_t Gateway) {
  for (auto &Each : Gateways_)
    Each = Gateway;
}

std::vector<SentLookup> LookupCallers::stop() {
  Stopping_ = true;
  for (std::thread &Each : Threads_)
    if (Each.joinable())
      Each.join();
  return Sent_;
}

void LookupCallers::sendLookups(std::size_t Caller) {
  // Begins at a different time for each caller.
  TimePoint Due =
      Time_.now() + Interval_ * static_cast<int>(Caller) / static_cast<int>(Gateways_.size());
  for (int I = 0; !Stopping_; ++I) {
    std::this_thread::sleep_until(Due);
    Due += Interval_;
    SentLookup Lookup;
    Lookup.Id_ = fmt::format("caller-{}-{}", Caller, I);
    Lookup.SentAt_ = Time_.now();
    Lookup.Status_ =
        Deployment_.call(Gateways_[Caller], Lookup.Id_, "GET", site::LookupPath).Response_.Status_;
    Lookup.Took_ = Time_.now() - Lookup.SentAt_;
    const std::lock_guard Lock(Mutex_);
    Sent_.push_back(std::move(Lookup));
  }
}

} // namespace rattancart
