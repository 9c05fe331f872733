#include "Core/Common/Hash.h"
#include "Core/Membership/EndpointTable.h"
#include "Core/Routing/AffinityPolicy.h"
#include "Core/Routing/ChainPlanner.h"

#include <fmt/core.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

constexpr int Engines = 24;
constexpr int Routers = 9;
constexpr int Prefixes = 400;
constexpr std::size_t CachedPrefixes = 20;
constexpr std::uint32_t PrefixTokens = 512;
constexpr std::uint32_t PromptTokens = 640;
constexpr std::uint32_t NewTokens = 32;
constexpr std::uint32_t Slots = 8;
constexpr Duration StepTime = 4ms;
constexpr Duration PrefillTime = 100us;
constexpr Duration UpdateDelay = 500ms;
constexpr Duration RunTime = 120s;
constexpr Duration WarmUp = 20s;

/// Sends each prefix to one engine, whatever its load.
class FixedEnginePolicy final : public ChainPolicy {
public:
  std::vector<const Endpoint *> choose(const ChainQuery &Query, std::mt19937_64 &) override {
    const LayerGroup &Group = Query.Graph_.groups().front();
    std::vector<std::string> Names;
    Names.reserve(Group.Engines_.size());
    for (const Endpoint *Engine : Group.Engines_)
      Names.push_back(Engine->Id_.str());
    return {Group.Engines_[rendezvousOrder(Query.Prefix_, Names, 1).front()]};
  }
};

struct PolicySetup {
  const char *Name_;
  /// AffinityPolicyOptions::MaxUtilizationRatio_; none stands for FixedEnginePolicy.
  std::optional<double> UtilizationBound_;
};

struct Workload {
  const char *Name_;
  /// Offered load, relative to the throughput of the engines without a cache.
  double Load_;
  /// The popularity of the n-th prefix is n to the power of minus this.
  double Skew_;
  /// Percentage of cache events that are lost.
  int GapPercent_;
};

struct Job {
  TimePoint Arrived_;
  int Router_ = 0;
  std::string Prefix_;
};

/// An engine, modelled as a single queue: a request occupies it for its prefill and its share of
/// the batches.
struct Engine {
  Endpoint Endpoint_;
  std::deque<Job> Waiting_;
  std::list<std::string> Cache_;
  std::uint64_t NextEvent_ = 1;
};

struct Router {
  PrefixIndex Index_{4096};
  EngineLoadEstimator Load_;
  std::unique_ptr<ChainPlanner> Planner_;
};

struct Event {
  enum class Kind { Arrival, Done, Report, ReportReceived, Cache } Kind_;
  TimePoint At_;
  std::uint64_t Order_ = 0;
  std::size_t Engine_ = 0;
  PrefixEvent Cache_{};
  LoadReport Load_{};
  bool operator>(const Event &Other) const {
    return At_ != Other.At_ ? At_ > Other.At_ : Order_ > Other.Order_;
  }
};

/// Simulates engines that hold the whole model, behind routers that receive load reports late and
/// cache events late and incompletely.
class Simulation {
public:
  Simulation(const PolicySetup &Policy, const Workload &Offered)
      : GapPercent_(Offered.GapPercent_) {
    const double RatePerEngine = 1 / std::chrono::duration<double>(serviceTime(false)).count();
    Rate_ = Offered.Load_ * Engines * RatePerEngine;
    for (int Index = 0; Index < Engines; ++Index)
      addEngine(Index);
    Routers_.resize(Routers);
    for (Router &Each : Routers_)
      Each.Planner_ =
          std::make_unique<ChainPlanner>(Table_, Each.Load_, makePolicy(Policy, Each), Random_);
    std::vector<double> Weights;
    Weights.reserve(Prefixes);
    for (int Rank = 1; Rank <= Prefixes; ++Rank)
      Weights.push_back(std::pow(Rank, -Offered.Skew_));
    Popularity_ = std::discrete_distribution<int>(Weights.begin(), Weights.end());
  }

  void run(const std::string &Name) {
    push({Event::Kind::Arrival, Now_});
    while (Now_ < Begin_ + RunTime) {
      const Event Next = Events_.top();
      Events_.pop();
      Now_ = Next.At_;
      handle(Next);
    }
    std::sort(Latencies_.begin(), Latencies_.end());
    const double Seconds = std::chrono::duration<double>(RunTime - WarmUp).count();
    const double Capacity =
        Rate_ > 0 ? Engines / std::chrono::duration<double>(serviceTime(false)).count() : 1;
    fmt::print("prefix.{}.throughput_to_uncached_bound {:.3f} ratio\n", Name,
               static_cast<double>(Latencies_.size()) / Seconds / Capacity);
    fmt::print("prefix.{}.hit_ratio {:.3f} ratio\n", Name,
               static_cast<double>(Hits_) /
                   static_cast<double>(std::max<std::size_t>(1, Started_)));
    fmt::print("prefix.{}.latency_p95 {:.3f} s\n", Name,
               Latencies_.empty() ? 0 : Latencies_[Latencies_.size() * 95 / 100]);
  }

private:
  static std::unique_ptr<ChainPolicy> makePolicy(const PolicySetup &Policy, const Router &At) {
    if (!Policy.UtilizationBound_)
      return std::make_unique<FixedEnginePolicy>();
    AffinityPolicyOptions Options;
    Options.Capacity_.RouterCount_ = Routers;
    Options.MaxUtilizationRatio_ = *Policy.UtilizationBound_;
    return std::make_unique<AffinityPolicy>(Options, At.Index_);
  }

  static Duration serviceTime(bool Hit) {
    const std::uint32_t Prefill = Hit ? PromptTokens - PrefixTokens : PromptTokens;
    return Prefill * PrefillTime + NewTokens * StepTime / Slots;
  }

  void addEngine(int Index) {
    Engine Added;
    Added.Endpoint_.Id_ = EndpointId(fmt::format("e{}", Index));
    Added.Endpoint_.Kind_ = EndpointKind::Engine;
    Added.Endpoint_.Model_ = Spec_.Model_;
    Added.Endpoint_.Version_ = Spec_.Version_;
    Added.Endpoint_.Layers_ = {0, Spec_.LayerCount_};
    Added.Endpoint_.Load_.StepTime_ = StepTime;
    Added.Endpoint_.Load_.PrefillTime_ = PrefillTime;
    Added.Endpoint_.Load_.BatchSlots_ = Slots;
    Added.Endpoint_.LoadSequence_ = 1;
    Table_.apply(Added.Endpoint_, Now_);
    Engines_.push_back(std::move(Added));
    push({Event::Kind::Report, Now_ + Index * 20ms, 0, static_cast<std::size_t>(Index)});
  }

  void push(Event Next) {
    Next.Order_ = Order_++;
    Events_.push(std::move(Next));
  }

  void handle(const Event &Next) {
    Engine &At = Engines_[Next.Engine_];
    switch (Next.Kind_) {
    case Event::Kind::Arrival:
      return arrive();
    case Event::Kind::Done:
      return finish(Next.Engine_);
    case Event::Kind::Report: {
      Event Received{Event::Kind::ReportReceived, Now_ + UpdateDelay, 0, Next.Engine_};
      Received.Load_ = At.Endpoint_.Load_;
      Received.Load_.Active_ = static_cast<std::uint32_t>(At.Waiting_.size());
      push(Received);
      return push({Event::Kind::Report, Now_ + 500ms, 0, Next.Engine_});
    }
    case Event::Kind::ReportReceived: {
      Endpoint Update = At.Endpoint_;
      Update.Load_ = Next.Load_;
      Update.LoadSequence_ = ++At.Endpoint_.LoadSequence_;
      Table_.apply(Update, Now_);
      return;
    }
    case Event::Kind::Cache:
      for (Router &Each : Routers_)
        Each.Index_.apply(At.Endpoint_.Id_, Next.Cache_);
    }
  }

  void arrive() {
    push({Event::Kind::Arrival,
          Now_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                     std::exponential_distribution<double>(Rate_)(Random_)))});
    Job NewJob{Now_, static_cast<int>(Random_() % Routers),
               fmt::format("p{}", Popularity_(Random_))};
    Router &At = Routers_[static_cast<std::size_t>(NewJob.Router_)];
    const auto Chain = At.Planner_->plan({Spec_, {PromptTokens, NewTokens}, NewJob.Prefix_, {}});
    const EndpointId &Id = Chain->Stages_[0].Endpoint_;
    At.Load_.onSequenceStarted(*Table_.find(Id));
    At.Index_.recordUse(Id, NewJob.Prefix_);
    const std::size_t Index = std::stoul(Id.str().substr(1));
    Engines_[Index].Waiting_.push_back(std::move(NewJob));
    if (Engines_[Index].Waiting_.size() == 1)
      startJob(Index);
  }

  void startJob(std::size_t Index) {
    Engine &At = Engines_[Index];
    const std::string &Prefix = At.Waiting_.front().Prefix_;
    const auto Place = std::find(At.Cache_.begin(), At.Cache_.end(), Prefix);
    const bool Hit = Place != At.Cache_.end();
    if (Hit)
      At.Cache_.erase(Place);
    At.Cache_.push_front(Prefix);
    if (!Hit)
      publishCacheEvent(Index, PrefixEvent::Kind::Stored, Prefix);
    if (At.Cache_.size() > CachedPrefixes) {
      publishCacheEvent(Index, PrefixEvent::Kind::Evicted, At.Cache_.back());
      At.Cache_.pop_back();
    }
    if (Now_ >= Begin_ + WarmUp) {
      ++Started_;
      Hits_ += Hit ? 1 : 0;
    }
    push({Event::Kind::Done, Now_ + serviceTime(Hit), 0, Index});
  }

  void publishCacheEvent(std::size_t Index, PrefixEvent::Kind Kind, const std::string &Prefix) {
    const PrefixEvent Published{Engines_[Index].NextEvent_++, Kind, Prefix};
    if (static_cast<int>(Random_() % 100) < GapPercent_)
      return;
    push({Event::Kind::Cache, Now_ + UpdateDelay, 0, Index, Published});
  }

  void finish(std::size_t Index) {
    Engine &At = Engines_[Index];
    const Job Done = At.Waiting_.front();
    At.Waiting_.pop_front();
    Routers_[static_cast<std::size_t>(Done.Router_)].Load_.onSequenceEnded(At.Endpoint_.Id_);
    if (Now_ >= Begin_ + WarmUp)
      Latencies_.push_back(std::chrono::duration<double>(Now_ - Done.Arrived_).count());
    if (!At.Waiting_.empty())
      startJob(Index);
  }

  int GapPercent_;
  double Rate_ = 1;
  ModelSpec Spec_{ModelId("m"), ModelVersion("1"), 32, 8192, NewTokens};
  std::mt19937_64 Random_{1};
  TimePoint Begin_{1h};
  TimePoint Now_ = Begin_;
  std::uint64_t Order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  EndpointTable Table_;
  std::vector<Engine> Engines_;
  std::vector<Router> Routers_;
  std::discrete_distribution<int> Popularity_;
  std::vector<double> Latencies_;
  std::size_t Started_ = 0;
  std::size_t Hits_ = 0;
};

} // namespace

/// Compares policies for prefix affinity in a simulation with one queue per engine.
int main() {
  const PolicySetup Setups[] = {{"none", 0},
                                {"home", std::nullopt},
                                {"bound_1.25", 1.25},
                                {"bound_2", 2},
                                {"unbounded", 1e9}};
  const Workload Workloads[] = {{"load_80", 0.8, 1, 0},
                                {"load_160", 1.6, 1, 0},
                                {"load_160.gaps_30", 1.6, 1, 30},
                                {"load_160.no_events", 1.6, 1, 100},
                                {"load_160.hot", 1.6, 1.5, 0}};
  for (const Workload &Offered : Workloads)
    for (const PolicySetup &Policy : Setups)
      Simulation(Policy, Offered).run(fmt::format("{}.{}", Offered.Name_, Policy.Name_));
}
