#include "Core/Membership/GatewayCensus.h"

#include <utility>

namespace rattancart {

namespace {

/// Until a lost store is noticed at its slowest, and a machine's pause at its longest.
constexpr Duration NoticeTime = std::chrono::seconds(10);
constexpr Duration PauseTime = std::chrono::seconds(15);

} // namespace

GatewayCensusOptions GatewayCensusOptions::forWindow(Duration Window) {
  GatewayCensusOptions Options;
  Options.Settle_ = Window;
  Options.Return_ = 2 * Window;
  Options.Ownerless_ = Options.Hold_ + NoticeTime + PauseTime + Window;
  return Options;
}

GatewayCensus::GatewayCensus(const std::vector<DataCenterId> &Places, DataCenterId Home,
                             GatewayCensusOptions Options)
    : Options_(Options), Home_(std::move(Home)) {
  for (const DataCenterId &Each : Places)
    Places_.emplace(Each, Place{});
}

void GatewayCensus::counted(const DataCenterId &Where, std::uint32_t Gateways, TimePoint Now) {
  const auto Found = Places_.find(Where);
  if (Found == Places_.end())
    return;
  Place &Each = Found->second;
  if (Where == Home_ && ReliableAt_ && Now - Each.HeardAt_ > Options_.Hold_)
    ReliableAt_ = Now + Options_.Return_;
  Each.HeardAt_ = Now;
  Each.OwnerlessSince_.reset();
  while (!Each.Said_.empty() && Each.Said_.back().Gateways_ <= Gateways)
    Each.Said_.pop_back();
  Each.Said_.push_back({Now, Gateways});
  while (Now - Each.Said_.front().At_ > Options_.Memory_)
    Each.Said_.pop_front();
  if (!ReliableAt_ && sum(Now))
    ReliableAt_ = Now + Options_.Settle_;
}

void GatewayCensus::ownerAsked(const DataCenterId &Where, bool Named, TimePoint Now) {
  const auto Found = Places_.find(Where);
  if (Found == Places_.end())
    return;
  if (Named)
    Found->second.OwnerlessSince_.reset();
  else if (!Found->second.OwnerlessSince_)
    Found->second.OwnerlessSince_ = Now;
}

void GatewayCensus::storeReachable(bool Reachable, TimePoint Now) {
  if (!Reachable) {
    StoreLostAt_ = StoreLostAt_.value_or(Now);
    return;
  }
  if (StoreLostAt_ && ReliableAt_ && Now - *StoreLostAt_ > Options_.Hold_)
    ReliableAt_ = Now + Options_.Return_;
  StoreLostAt_.reset();
}

std::optional<std::uint32_t> GatewayCensus::gatewaysAt(const Place &Each, TimePoint Now) const {
  // Gateways without an owner can't reach the store, and have no count themselves by then.
  if (Each.OwnerlessSince_ && Now - *Each.OwnerlessSince_ > Options_.Ownerless_)
    return 0;
  if (Each.Said_.empty())
    return std::nullopt;
  return Each.Said_.front().Gateways_;
}

GatewayCount GatewayCensus::count(TimePoint Now) const {
  if (StoreLostAt_ && Now - *StoreLostAt_ > Options_.Hold_)
    return {std::nullopt, "store away"};
  const auto Home = Places_.find(Home_);
  if (Home == Places_.end() || Home->second.Said_.empty() ||
      Now - Home->second.HeardAt_ > Options_.Hold_)
    return {std::nullopt, "owner at home silent"};
  const auto Sum = sum(Now);
  if (!Sum || !ReliableAt_)
    return {std::nullopt, "data centre never heard"};
  if (Now < *ReliableAt_)
    return {std::nullopt, "not settled yet"};
  return {Sum, {}};
}

std::optional<std::uint32_t> GatewayCensus::sum(TimePoint Now) const {
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
