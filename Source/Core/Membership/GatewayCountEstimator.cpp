#include "Core/Membership/GatewayCountEstimator.h"

#include <utility>

namespace rattancart {

namespace {

/// The longest time until a lost store is noticed, and the longest pause of a machine.
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

GatewayCountEstimator::GatewayCountEstimator(const std::vector<DataCenterId> &DataCenters,
                                             DataCenterId Home, GatewayCountOptions Options)
    : Options_(Options), Home_(std::move(Home)) {
  for (const DataCenterId &Each : DataCenters)
    DataCenters_.emplace(Each, DataCenterState{});
}

void GatewayCountEstimator::onCountReported(const DataCenterId &DataCenter, std::uint32_t Gateways,
                                            TimePoint Now) {
  const auto Found = DataCenters_.find(DataCenter);
  if (Found == DataCenters_.end())
    return;
  DataCenterState &Each = Found->second;
  if (DataCenter == Home_ && ReliableAt_ && Now - Each.HeardAt_ > Options_.MaxSilence_)
    ReliableAt_ = Now + Options_.ResettleTime_;
  Each.HeardAt_ = Now;
  Each.OwnerlessSince_.reset();
  while (!Each.Reports_.empty() && Each.Reports_.back().Gateways_ <= Gateways)
    Each.Reports_.pop_back();
  Each.Reports_.push_back({Now, Gateways});
  while (Now - Each.Reports_.front().At_ > Options_.RetentionTime_)
    Each.Reports_.pop_front();
  if (!ReliableAt_ && sum(Now))
    ReliableAt_ = Now + Options_.SettleTime_;
}

void GatewayCountEstimator::onOwnerLookup(const DataCenterId &DataCenter, bool Named,
                                          TimePoint Now) {
  const auto Found = DataCenters_.find(DataCenter);
  if (Found == DataCenters_.end())
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

std::optional<std::uint32_t> GatewayCountEstimator::gatewaysAt(const DataCenterState &Each,
                                                               TimePoint Now) const {
  // Gateways without an owner can't reach the store, and by then have no count themselves.
  if (Each.OwnerlessSince_ && Now - *Each.OwnerlessSince_ > Options_.OwnerlessTimeout_)
    return 0;
  if (Each.Reports_.empty())
    return std::nullopt;
  return Each.Reports_.front().Gateways_;
}

GatewayCount GatewayCountEstimator::count(TimePoint Now) const {
  if (StoreLostAt_ && Now - *StoreLostAt_ > Options_.MaxSilence_)
    return {std::nullopt, "store away"};
  const auto Home = DataCenters_.find(Home_);
  if (Home == DataCenters_.end() || Home->second.Reports_.empty() ||
      Now - Home->second.HeardAt_ > Options_.MaxSilence_)
    return {std::nullopt, "owner at home silent"};
  const auto Sum = sum(Now);
  if (!Sum || !ReliableAt_)
    return {std::nullopt, "data centre never heard"};
  if (Now < *ReliableAt_)
    return {std::nullopt, "not settled yet"};
  return {Sum, {}};
}

std::optional<std::uint32_t> GatewayCountEstimator::countAt(const DataCenterId &DataCenter,
                                                            TimePoint Now) const {
  const auto Found = DataCenters_.find(DataCenter);
  if (Found == DataCenters_.end() || !count(Now).Gateways_)
    return std::nullopt;
  return gatewaysAt(Found->second, Now);
}

std::optional<std::uint32_t> GatewayCountEstimator::sum(TimePoint Now) const {
  std::uint32_t Sum = 0;
  for (const auto &[DataCenter, Each] : DataCenters_) {
    const auto Gateways = gatewaysAt(Each, Now);
    if (!Gateways)
      return std::nullopt;
    Sum += *Gateways;
  }
  return Sum;
}

} // namespace rattancart
