#include "Load/LimitSimulation.h"

#include "Core/Admission/CustomerLimiter.h"
#include "Core/Admission/LimitShareAllocator.h"

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace rattancart {

namespace {

const CustomerId Customer("large");
constexpr int WindowSeconds = 10;

class LimitModel {
public:
  LimitModel(const Experiment &Setup, ShareMode Mode, bool CutOff)
      : Setup_(Setup.Limits_), Mode_(Mode), CutOff_(CutOff), Random_(Setup.Seed_) {
    std::vector<DataCenterId> Ids;
    for (std::uint32_t I = 0; I < Setup_.DataCenters_; ++I)
      Ids.emplace_back("data-center-" + std::to_string(I));
    auto View = std::make_shared<SettingsView>();
    View->Limits_[Customer].RequestsPerSecond_ = Setup_.RequestsPerSecond_;
    for (const DataCenterId &Id : Ids)
      Controls_.emplace_back(LimitShareAllocatorOptions{Id, Ids});
    Limiters_.resize(std::size_t{Setup_.DataCenters_} * Setup_.RoutersPerDataCenter_);
    DemandShares_.resize(Limiters_.size(), 0);
    for (CustomerLimiter &Limiter : Limiters_) {
      Limiter.setLimits(View, Clock_.now());
      Limiter.takeDemand(Clock_.now());
    }
  }

  /// Moves the demand to two random routers, one half each; both may be the same one.
  void moveDemand() {
    std::fill(DemandShares_.begin(), DemandShares_.end(), 0.0);
    for (int I = 0; I < 2; ++I)
      DemandShares_[Random_() % DemandShares_.size()] += 0.5;
  }

  /// Simulates the requests of one second, then the heartbeats. Returns the number of admitted
  /// requests.
  std::uint32_t runOneSecond() {
    std::uint32_t Admitted = 0;
    const double PerTick = Setup_.RequestsPerSecond_ * Setup_.LoadPercent_ / 100 / 100;
    for (int Tick = 0; Tick < 100; ++Tick, Clock_.advance(std::chrono::milliseconds(10)))
      for (std::size_t I = 0; I < Limiters_.size(); ++I)
        Admitted += offer(I, PerTick * DemandShares_[I]);
    exchangeHeartbeats();
    return Admitted;
  }

private:
  std::uint32_t offer(std::size_t Index, double Mean) {
    if (Mean <= 0)
      return 0;
    const int Count = std::poisson_distribution<int>(Mean)(Random_);
    std::uint32_t Admitted = 0;
    for (int I = 0; I < Count; ++I) {
      if (Limiters_[Index].acquire(Customer, 0, Clock_.now()))
        continue;
      Limiters_[Index].release(Customer, 0, 0);
      ++Admitted;
    }
    return Admitted;
  }

  void exchangeHeartbeats() {
    const TimePoint Now = Clock_.now();
    // The demand that a control receives from other data centres is one second old: they sent it
    // before they knew this second's.
    std::vector<std::vector<CustomerDemand>> Sent;
    Sent.reserve(Controls_.size());
    for (const LimitShareAllocator &Control : Controls_)
      Sent.push_back(Control.ownDemand());
    for (std::size_t I = 0; I < Controls_.size(); ++I) {
      for (std::size_t R = 0; R < Setup_.RoutersPerDataCenter_; ++R)
        Controls_[I].reportRouter(
            router(R), Limiters_[I * Setup_.RoutersPerDataCenter_ + R].takeDemand(Now), Now);
      for (std::size_t J = 0; J < Controls_.size(); ++J)
        if (I != J && !CutOff_)
          Controls_[I].reportControl(InstanceId("control-" + std::to_string(J)),
                                     DataCenterId("data-center-" + std::to_string(J)), Sent[J],
                                     Now);
      Controls_[I].compute(Now);
      for (std::size_t R = 0; R < Setup_.RoutersPerDataCenter_; ++R)
        setShare(Limiters_[I * Setup_.RoutersPerDataCenter_ + R], Controls_[I], R, Now);
    }
  }

  void setShare(CustomerLimiter &Limiter, const LimitShareAllocator &Control, std::size_t Router,
                TimePoint Now) const {
    if (Mode_ == ShareMode::Demand)
      Limiter.setShares(Control.sharesOf(router(Router)), Control.defaultShare(), Now);
    else if (Mode_ == ShareMode::Equal)
      Limiter.setShares({}, 1.0 / static_cast<double>(Limiters_.size()), Now);
  }

  static InstanceId router(std::size_t Index) {
    return InstanceId("router-" + std::to_string(Index));
  }

  const LimitExperiment &Setup_;
  ShareMode Mode_;
  bool CutOff_;
  std::mt19937_64 Random_;
  ManualClock Clock_;
  std::vector<LimitShareAllocator> Controls_;
  std::vector<CustomerLimiter> Limiters_;
  /// The fraction of the demand that each router receives.
  std::vector<double> DemandShares_;
};

} // namespace

LimitResult simulateLimits(const Experiment &Setup, ShareMode Mode, bool CutOff) {
  LimitModel Model(Setup, Mode, CutOff);
  const auto Seconds = static_cast<int>(Setup.Duration_ / std::chrono::seconds(1));
  const auto MoveInterval =
      std::max<std::int64_t>(1, Setup.Limits_.DemandMoveInterval_ / std::chrono::seconds(1));
  const auto WarmUp = static_cast<int>(Setup.WarmUp_ / std::chrono::seconds(1));
  std::vector<double> Admitted;
  for (int I = 0; I < Seconds; ++I) {
    if (I % MoveInterval == 0)
      Model.moveDemand();
    const double Count = Model.runOneSecond();
    if (I >= WarmUp)
      Admitted.push_back(Count);
  }
  LimitResult Result;
  double Window = 0;
  double Sum = 0;
  for (std::size_t I = 0; I < Admitted.size(); ++I) {
    Sum += Admitted[I];
    Window += Admitted[I] - (I >= WindowSeconds ? Admitted[I - WindowSeconds] : 0);
    if (I + 1 >= WindowSeconds)
      Result.MaxAdmittedRatio_ = std::max(
          Result.MaxAdmittedRatio_, Window / WindowSeconds / Setup.Limits_.RequestsPerSecond_);
  }
  if (!Admitted.empty())
    Result.MeanAdmittedRatio_ =
        Sum / static_cast<double>(Admitted.size()) / Setup.Limits_.RequestsPerSecond_;
  return Result;
}

} // namespace rattancart
