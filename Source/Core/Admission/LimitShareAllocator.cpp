#include "Core/Admission/LimitShareAllocator.h"

#include <algorithm>
#include <set>

namespace rattancart {

LimitShareAllocator::LimitShareAllocator(LimitShareAllocatorOptions Options)
    : Options_(std::move(Options)) {
  DefaultShare_ = 1.0 / static_cast<double>(std::max<std::size_t>(1, Options_.DataCenters_.size()));
}

double LimitShareAllocator::demandWeight(const CustomerDemand &Demand) {
  // The limits of requests and of tokens are divided in the same proportion, because the requests
  // of a route have about the same length.
  return Demand.RequestsPerSecond_ + Demand.TokensPerSecond_ * 1e-3;
}

void LimitShareAllocator::reportRouter(const InstanceId &Router,
                                       const std::vector<CustomerDemand> &Demand, TimePoint Now) {
  Source &Reporter = Routers_[Router];
  Reporter.DataCenter_ = Options_.DataCenter_;
  Reporter.HeardAt_ = Now;
  Reporter.Demand_.clear();
  for (const CustomerDemand &Row : Demand)
    Reporter.Demand_[Row.Customer_] = Row;
}

void LimitShareAllocator::reportControl(const InstanceId &Control, const DataCenterId &DataCenter,
                                        const std::vector<CustomerDemand> &Demand, TimePoint Now) {
  Source &Reporter = Controls_[Control];
  Reporter.DataCenter_ = DataCenter;
  Reporter.HeardAt_ = Now;
  Reporter.Demand_.clear();
  for (const CustomerDemand &Row : Demand)
    Reporter.Demand_[Row.Customer_] = Row;
}

std::vector<CustomerDemand> LimitShareAllocator::ownDemand() const {
  DemandMap Sum;
  for (const auto &[Id, Reporter] : Routers_) {
    for (const auto &[Customer, Row] : Reporter.Demand_) {
      CustomerDemand &Total = Sum[Customer];
      Total.Customer_ = Customer;
      Total.RequestsPerSecond_ += Row.RequestsPerSecond_;
      Total.TokensPerSecond_ += Row.TokensPerSecond_;
    }
  }
  std::vector<CustomerDemand> Rows;
  Rows.reserve(Sum.size());
  for (auto &[Customer, Row] : Sum)
    Rows.push_back(std::move(Row));
  return Rows;
}

void LimitShareAllocator::dropStale(TimePoint Now) {
  const auto IsStale = [&](const auto &Entry) {
    return Now - Entry.second.HeardAt_ > Options_.StaleAfter_;
  };
  std::erase_if(Routers_, IsStale);
  std::erase_if(Controls_, IsStale);
  std::erase_if(Shares_, [&](const auto &Entry) { return !Routers_.contains(Entry.first); });
}

std::unordered_map<CustomerId, LimitShareAllocator::DemandSums>
LimitShareAllocator::sumDemand() const {
  std::unordered_map<CustomerId, DemandSums> Totals;
  for (const auto *Sources : {&Routers_, &Controls_}) {
    for (const auto &[Id, Reporter] : *Sources) {
      const bool Own = Reporter.DataCenter_ == Options_.DataCenter_;
      for (const auto &[Customer, Row] : Reporter.Demand_) {
        DemandSums &Sums = Totals[Customer];
        Sums.Heard_ += demandWeight(Row);
        if (Own)
          Sums.Own_ += demandWeight(Row);
      }
    }
  }
  return Totals;
}

double LimitShareAllocator::demandShare(const DemandSums &Sums) const {
  const auto Count = static_cast<double>(Options_.DataCenters_.size());
  const double Heard = Count - static_cast<double>(UnreachableDataCenters_);
  const double ByDemand = Sums.Heard_ > 0 ? Sums.Own_ / Sums.Heard_ : 1 / Heard;
  return (1 - Options_.ReservedFraction_) * (Heard / Count) * ByDemand;
}

double LimitShareAllocator::delayIncrease(ShareHistory &History, double Target) const {
  if (!History.Initialized_) {
    // A customer that is new at this router starts with the default share, which it had already.
    History.Initialized_ = true;
    History.Targets_.assign(Options_.IncreaseAfter_, std::min(Target, DefaultShare_));
  }
  History.Targets_.push_back(Target);
  if (History.Targets_.size() > Options_.IncreaseAfter_ + 1)
    History.Targets_.erase(History.Targets_.begin());
  return *std::min_element(History.Targets_.begin(), History.Targets_.end());
}

void LimitShareAllocator::compute(TimePoint Now) {
  dropStale(Now);
  std::set<DataCenterId> Heard{Options_.DataCenter_};
  std::size_t OwnControls = 1;
  for (const auto &[Id, Reporter] : Controls_) {
    Heard.insert(Reporter.DataCenter_);
    OwnControls += Reporter.DataCenter_ == Options_.DataCenter_ ? 1 : 0;
  }
  UnreachableDataCenters_ =
      Options_.DataCenters_.size() - std::min(Heard.size(), Options_.DataCenters_.size());
  // The other controls of the data centre are taken to have as many routers as this one. Every
  // router holds an even part of the reserved fraction for each customer, with or without demand.
  const auto Centres = static_cast<double>(Options_.DataCenters_.size());
  const auto Routers = static_cast<double>(std::max<std::size_t>(1, Routers_.size()) * OwnControls);
  DefaultShare_ = Options_.ReservedFraction_ / Centres / Routers;

  const auto Totals = sumDemand();
  for (const auto &Router : Routers_) {
    const DemandMap &Demand = Router.second.Demand_;
    auto &RouterShares = Shares_[Router.first];
    std::erase_if(RouterShares, [&](const auto &Entry) { return !Demand.contains(Entry.first); });
    for (const auto &[Customer, Row] : Demand) {
      const DemandSums &Sums = Totals.at(Customer);
      const double Part = Sums.Own_ > 0 ? demandWeight(Row) / Sums.Own_ : 1 / Routers;
      ShareHistory &History = RouterShares[Customer];
      History.Share_ = delayIncrease(History, DefaultShare_ + demandShare(Sums) * Part);
    }
  }
}

std::vector<CustomerShare> LimitShareAllocator::sharesOf(const InstanceId &Router) const {
  std::vector<CustomerShare> Rows;
  const auto It = Shares_.find(Router);
  if (It == Shares_.end())
    return Rows;
  Rows.reserve(It->second.size());
  for (const auto &[Customer, History] : It->second)
    Rows.push_back({Customer, History.Share_});
  return Rows;
}

} // namespace rattancart
