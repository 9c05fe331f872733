#include "Core/Membership/GatewayCountEstimator.h"

#include <utility>

namespace rattancart {

namespace {

/// Until a lost store is noticed at its slowest, and a machine's pause at its longest.
constexpr Duration NoticeTime = std::chrono::seconds(10);
constexpr Duration PauseTime = std::chrono::seconds(15);

} // namespace

GatewayCountOptions GatewayCountOptions::forWindow(Duration Window) {
  GatewayCountOptions Options;
  Options.SettleTime_ = Window;
  Options.ResettleTime_ = 2 * Window;
  Options.OwnerlessTimeout_ = Options.MaxSilence_ + NoticeTime + PauseTime + Window;
  return Options;
}

GatewayCountEstimator::GatewayCountEstimator(const std::vector<DataCenterId> &Places,
                                             DataCenterId Home, GatewayCountOptions Options)
    : Options_(Options), Home_(std::move(Home)) {
  for (const DataCenterId &Each : Places)
    Places_.emplace(Each, Place{});
}

void GatewayCountEstimator::onCountReported(const DataCenterId &Where, std::uint32_t Gateways,
                                            TimePoint Now) {
  const auto Found = Places_.find(Where);
  if (Found == Places_.end())
    return;
  Place &Each = Found->second;
  if (Where == Home_ && ReliableAt_ && Now - Each.HeardAt_ > Options_.MaxSilence_)
    ReliableAt_ = Now + Options_.ResettleTime_;
  Each.HeardAt_ = Now;
  Each.OwnerlessSince_.reset();
  while (!Each.Said_.empty() && Each.Said_.back().Gateways_ <= Gateways)
    Each.Said_.pop_back();
  Each.Said_.push_back({Now, Gateways});
  while (Now - Each.Said_.front().At_ > Options_.RetentionTime_)
    Each.Said_.pop_front();
  if (!ReliableAt_ && sum(Now))
    ReliableAt_ = Now + Options_.SettleTime_;
}

void GatewayCountEstimator::onOwnerLookup(const DataCenterId &Where, bool Named, TimePoint Now) {
  const auto Found = Places_.find(Where);
  if (Found == Places_.end())
    return;
  if (Named)
    Found->second.OwnerlessSince_.reset();
  else if (!Found->second.OwnerlessSince_)
    Found->second.OwnerlessSince_ = Now;
}

void GatewayCountEstimator::setStoreReachable(bool Reachable, TimePoint Now) {
  if (!Reachable) {
    StoreLostAt_ = StoreLostAt_.value_or(Now);
    return;
  }
  if (StoreLostAt_ && ReliableAt_ && Now - *StoreLostAt_ > Options_.MaxSilence_)
    ReliableAt_ = Now + Options_.ResettleTime_;
  StoreLostAt_.reset();
}

std::optional<std::uint32_t> GatewayCountEstimator::gatewaysAt(const Place &Each,
                                                               TimePoint Now) const {
  // Gateways without an owner can't reach the store, and have no count themselves by then.
  if (Each.OwnerlessSince_ && Now - *Each.OwnerlessSince_ > Options_.OwnerlessTimeout_)
    return 0;
  if (Each.Said_.empty())
    return std::nullopt;
  return Each.Said_.front().Gateways_;
}

GatewayCount GatewayCountEstimator::count(TimePoint Now) const {
  if (StoreLostAt_ && Now - *StoreLostAt_ > Options_.MaxSilence_)
    return {std::nullopt, "store away"};
  const auto Home = Places_.find(Home_);
  if (Home == Places_.end() || Home->second.Said_.empty() ||
      Now - Home->second.HeardAt_ > Options_.MaxSilence_)
    return {std::nullopt, "owner at home silent"};
  const auto Sum = sum(Now);
  if (!Sum || !ReliableAt_)
    return {std::nullopt, "data centre never heard"};
  if (Now < *ReliableAt_)
    return {std::nullopt, "not settled yet"};
  return {Sum, {}};
}

std::optional<std::uint32_t> GatewayCountEstimator::sum(TimePoint Now) const {
  std::uint32_t Sum = 0;
  for (const auto &[Where, Each] : Places_) {
    const auto Gateways = gatewaysAt(Each, Now);
    if (!Gateways)
      return std::nullopt;
    Sum += *Gateways;
  }
  return Sum;
}

} // namespace rattancart
