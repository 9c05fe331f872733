#include "Core/Admission/LimitShareAllocator.h"

#include <algorithm>
#include <set>

namespace rattancart {

LimitShareAllocator::LimitShareAllocator(LimitShareAllocatorOptions Options)
    : Options_(std::move(Options)) {
  DefaultShare_ = 1.0 / static_cast<double>(std::max<std::size_t>(1, Options_.DataCenters_.size()));
}

double LimitShareAllocator::weigh(const CustomerDemand &Demand) {
  // Requests and tokens are divided alike: a route's requests have about the same length.
  return Demand.RequestsPerSecond_ + Demand.TokensPerSecond_ * 1e-3;
}

void LimitShareAllocator::reportRouter(const InstanceId &Router,
                                       const std::vector<CustomerDemand> &Demand, TimePoint Now) {
  Source &From = Routers_[Router];
  From.DataCenter_ = Options_.DataCenter_;
  From.HeardAt_ = Now;
  From.Demand_.clear();
  for (const CustomerDemand &Row : Demand)
    From.Demand_[Row.Customer_] = Row;
}

void LimitShareAllocator::reportControl(const InstanceId &Control, const DataCenterId &DataCenter,
                                        const std::vector<CustomerDemand> &Demand, TimePoint Now) {
  Source &From = Controls_[Control];
  From.DataCenter_ = DataCenter;
  From.HeardAt_ = Now;
  From.Demand_.clear();
  for (const CustomerDemand &Row : Demand)
    From.Demand_[Row.Customer_] = Row;
}

std::vector<CustomerDemand> LimitShareAllocator::ownDemand() const {
  DemandMap Sum;
  for (const auto &[Id, From] : Routers_) {
    for (const auto &[Customer, Row] : From.Demand_) {
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

std::unordered_map<CustomerId, LimitShareAllocator::Sums> LimitShareAllocator::sumDemand() const {
  std::unordered_map<CustomerId, Sums> Totals;
  for (const auto *Sources : {&Routers_, &Controls_}) {
    for (const auto &[Id, From] : *Sources) {
      const bool Own = From.DataCenter_ == Options_.DataCenter_;
      for (const auto &[Customer, Row] : From.Demand_) {
        Sums &Sum = Totals[Customer];
        Sum.Heard_ += weigh(Row);
        if (Own)
          Sum.Own_ += weigh(Row);
      }
    }
  }
  return Totals;
}

double LimitShareAllocator::demandShare(const Sums &Sum) const {
  const auto Count = static_cast<double>(Options_.DataCenters_.size());
  const double Heard = Count - static_cast<double>(UnreachableDataCenters_);
  const double ByDemand = Sum.Heard_ > 0 ? Sum.Own_ / Sum.Heard_ : 1 / Heard;
  return (1 - Options_.Reserve_) * (Heard / Count) * ByDemand;
}

double LimitShareAllocator::raiseSlowly(History &Past, double Target) const {
  if (!Past.Seen_) {
    // A customer that is new here starts at the default share, which it already had.
    Past.Seen_ = true;
    Past.Targets_.assign(Options_.RiseAfter_, std::min(Target, DefaultShare_));
  }
  Past.Targets_.push_back(Target);
  if (Past.Targets_.size() > Options_.RiseAfter_ + 1)
    Past.Targets_.erase(Past.Targets_.begin());
  return *std::min_element(Past.Targets_.begin(), Past.Targets_.end());
}

void LimitShareAllocator::compute(TimePoint Now) {
  dropStale(Now);
  std::set<DataCenterId> Heard{Options_.DataCenter_};
  std::size_t OwnControls = 1;
  for (const auto &[Id, From] : Controls_) {
    Heard.insert(From.DataCenter_);
    OwnControls += From.DataCenter_ == Options_.DataCenter_ ? 1 : 0;
  }
  UnreachableDataCenters_ =
      Options_.DataCenters_.size() - std::min(Heard.size(), Options_.DataCenters_.size());
  // The other controls of the data centre have about as many routers as this one. Every router
  // holds an even part of the reserve for each customer, with or without demand.
  const auto Centres = static_cast<double>(Options_.DataCenters_.size());
  const auto Routers = static_cast<double>(std::max<std::size_t>(1, Routers_.size()) * OwnControls);
  DefaultShare_ = Options_.Reserve_ / Centres / Routers;

  const auto Totals = sumDemand();
  for (const auto &Router : Routers_) {
    const DemandMap &Demand = Router.second.Demand_;
    auto &Mine = Shares_[Router.first];
    std::erase_if(Mine, [&](const auto &Entry) { return !Demand.contains(Entry.first); });
    for (const auto &[Customer, Row] : Demand) {
      const Sums &Sum = Totals.at(Customer);
      const double Part = Sum.Own_ > 0 ? weigh(Row) / Sum.Own_ : 1 / Routers;
      History &Past = Mine[Customer];
      Past.Share_ = raiseSlowly(Past, DefaultShare_ + demandShare(Sum) * Part);
    }
  }
}

std::vector<CustomerShare> LimitShareAllocator::sharesOf(const InstanceId &Router) const {
  std::vector<CustomerShare> Rows;
  const auto It = Shares_.find(Router);
  if (It == Shares_.end())
    return Rows;
  Rows.reserve(It->second.size());
  for (const auto &[Customer, Past] : It->second)
    Rows.push_back({Customer, Past.Share_});
  return Rows;
}

} // namespace rattancart
