#include "Core/Routing/ShortestPathPolicy.h"

#include "Core/Common/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace rattancart {

namespace {

constexpr double MinStepSeconds = 1e-6;

double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

/// Tokens a second that an engine can decode.
double decodeRate(const LoadReport &Load) {
  return std::max(1U, Load.BatchSlots_) / std::max(MinStepSeconds, seconds(Load.StepTime_));
}

struct RankedEngine {
  double Rank_;
  const Endpoint *Engine_;
};

/// Keeps the Count engines of the lowest ranks.
void keepLowest(std::vector<RankedEngine> &Ranked, std::size_t Count) {
  if (Ranked.size() <= Count)
    return;
  std::nth_element(
      Ranked.begin(), Ranked.begin() + static_cast<std::ptrdiff_t>(Count), Ranked.end(),
      [](const RankedEngine &Left, const RankedEngine &Right) { return Left.Rank_ < Right.Rank_; });
  Ranked.resize(Count);
}

} // namespace

ShortestPathPolicy::ShortestPathPolicy(std::string Router, ShortestPathOptions Options,
                                       const PrefixBenefit *Benefit)
    : Router_(std::move(Router)), Seed_(stableHash(Router_)), Options_(Options), Benefit_(Benefit) {
}

double ShortestPathPolicy::cost(const ChainQuery &Query, const Endpoint &Engine) const {
  const LoadReport &Load = Engine.Load_;
  const double Slots = std::max(1U, Load.BatchSlots_);
  const double Requests = Query.Load_.estimate(Engine) + 1;
  // Below its slots an engine runs all requests at once; the small slope spreads requests over
  // equal engines.
  const double Stretch = std::max(1.0, Requests / Slots) + 0.1 * Requests / Slots;
  double Prefill = Query.Size_.PromptTokens_ * seconds(Load.PrefillTime_);
  if (Benefit_ && !Query.Prefix_.empty())
    Prefill *= 1 - Benefit_->cachedPart(Engine, Query.Prefix_);
  const double Decode = Query.Size_.NewTokens_ * std::max(MinStepSeconds, seconds(Load.StepTime_));
  double Link = 0;
  const ModelSpec &Spec = Query.Graph_.spec();
  if (Engine.Layers_.End_ < Spec.LayerCount_) {
    const double Transfer =
        Load.LinkBytesPerSecond_ > 0 ? Spec.ActivationBytes_ / Load.LinkBytesPerSecond_ : 0;
    Link = (Query.Size_.NewTokens_ + 1) * seconds(Load.LinkDelay_) +
           (Query.Size_.NewTokens_ + Query.Size_.PromptTokens_) * Transfer;
  }
  return (Prefill + Decode) * Stretch + Link;
}

std::vector<const Endpoint *> ShortestPathPolicy::sample(const LayerGroup &Group,
                                                         std::mt19937_64 &Random) const {
  if (Group.Engines_.size() <= Options_.SampleSize_)
    return Group.Engines_;
  std::vector<RankedEngine> Ranked;
  Ranked.reserve(Group.Engines_.size());
  const bool Subset = Group.Engines_.size() > Options_.SubsetSize_;
  for (const Endpoint *Engine : Group.Engines_)
    Ranked.push_back(
        {Subset ? static_cast<double>(stableHash(Engine->Id_.str(), Seed_)) : 0, Engine});
  keepLowest(Ranked, Options_.SubsetSize_);
  // Weighted draw without replacement: the least of exponential variables whose rates are the
  // weights.
  std::exponential_distribution<double> Exponential(1.0);
  for (RankedEngine &Item : Ranked)
    Item.Rank_ = Exponential(Random) / decodeRate(Item.Engine_->Load_);
  keepLowest(Ranked, Options_.SampleSize_);
  std::vector<const Endpoint *> Drawn;
  Drawn.reserve(Ranked.size());
  for (const RankedEngine &Item : Ranked)
    Drawn.push_back(Item.Engine_);
  return Drawn;
}

std::vector<const Endpoint *> ShortestPathPolicy::choose(const ChainQuery &Query,
                                                         std::mt19937_64 &Random) {
  struct Boundary {
    double Cost_ = std::numeric_limits<double>::infinity();
    const Endpoint *Last_ = nullptr;
  };
  const std::uint32_t Layers = Query.Graph_.spec().LayerCount_;
  std::vector<Boundary> Boundaries(Layers + 1);
  Boundaries[0].Cost_ = 0;
  // Groups are ordered by their begin, so each boundary is final before it is left.
  for (const LayerGroup &Group : Query.Graph_.groups()) {
    const double Before = Boundaries[Group.Layers_.Begin_].Cost_;
    Boundary &After = Boundaries[Group.Layers_.End_];
    for (const Endpoint *Engine : sample(Group, Random)) {
      const double Total = Before + cost(Query, *Engine);
      if (Total < After.Cost_)
        After = {Total, Engine};
    }
  }
  std::vector<const Endpoint *> Chosen;
  for (std::uint32_t At = Layers; At > 0; At = Boundaries[At].Last_->Layers_.Begin_)
    Chosen.push_back(Boundaries[At].Last_);
  std::reverse(Chosen.begin(), Chosen.end());
  return Chosen;
}

} // namespace rattancart
