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

/// The number of tokens per second that an engine can decode.
double decodeRate(const LoadReport &Load) {
  return std::max(1U, Load.BatchSlots_) / std::max(MinStepSeconds, seconds(Load.StepTime_));
}

struct RankedEngine {
  double Rank_;
  const Endpoint *Engine_;
};

/// Keeps the Count engines with the lowest ranks.
void keepLowestRanked(std::vector<RankedEngine> &Ranked, std::size_t Count) {
  if (Ranked.size() <= Count)
    return;
  std::nth_element(
      Ranked.begin(), Ranked.begin() + static_cast<std::ptrdiff_t>(Count), Ranked.end(),
      [](const RankedEngine &Left, const RankedEngine &Right) { return Left.Rank_ < Right.Rank_; });
  Ranked.resize(Count);
}

} // namespace

ShortestPathPolicy::ShortestPathPolicy(std::string Router, ShortestPathOptions Options,
                                       const CachedPrefixEstimator *CachedPrefixes)
    : Router_(std::move(Router)), SubsetSeed_(stableHash(Router_)), Options_(Options),
      CachedPrefixes_(CachedPrefixes) {}

double ShortestPathPolicy::cost(const ChainQuery &Query, const Endpoint &Engine) const {
  const LoadReport &Load = Engine.Load_;
  const double Slots = std::max(1U, Load.BatchSlots_);
  const double Requests = Query.Load_.estimate(Engine) + 1;
  // An engine runs up to its batch slots of requests at once. The small slope below that spreads
  // requests over engines that are otherwise equal.
  const double QueueingFactor = std::max(1.0, Requests / Slots) + 0.1 * Requests / Slots;
  double Prefill = Query.Size_.PromptTokens_ * seconds(Load.PrefillTime_);
  if (CachedPrefixes_ && !Query.Prefix_.empty())
    Prefill *= 1 - CachedPrefixes_->cachedFraction(Engine, Query.Prefix_);
  const double Decode = Query.Size_.NewTokens_ * std::max(MinStepSeconds, seconds(Load.StepTime_));
  double Link = 0;
  const ModelSpec &Spec = Query.Graph_.spec();
  if (Engine.Layers_.End_ < Spec.LayerCount_) {
    const double Transfer =
        Load.LinkBytesPerSecond_ > 0 ? Spec.ActivationBytes_ / Load.LinkBytesPerSecond_ : 0;
    Link = (Query.Size_.NewTokens_ + 1) * seconds(Load.LinkDelay_) +
           (Query.Size_.NewTokens_ + Query.Size_.PromptTokens_) * Transfer;
  }
  return (Prefill + Decode) * QueueingFactor + Link;
}

std::vector<const Endpoint *> ShortestPathPolicy::sampleEngines(const LayerGroup &Group,
                                                                std::mt19937_64 &Random) const {
  if (Group.Engines_.size() <= Options_.SampleSize_)
    return Group.Engines_;
  std::vector<RankedEngine> Ranked;
  Ranked.reserve(Group.Engines_.size());
  const bool UseSubset = Group.Engines_.size() > Options_.SubsetSize_;
  for (const Endpoint *Engine : Group.Engines_)
    Ranked.push_back(
        {UseSubset ? static_cast<double>(stableHash(Engine->Id_.str(), SubsetSeed_)) : 0, Engine});
  keepLowestRanked(Ranked, Options_.SubsetSize_);
  // Weighted draw without replacement: an exponential variable is drawn for each engine with its
  // weight as the rate, and the engines with the lowest ones are taken.
  std::exponential_distribution<double> Exponential(1.0);
  for (RankedEngine &Item : Ranked)
    Item.Rank_ = Exponential(Random) / decodeRate(Item.Engine_->Load_);
  keepLowestRanked(Ranked, Options_.SampleSize_);
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
    const Endpoint *LastEngine_ = nullptr;
  };
  const std::uint32_t Layers = Query.Graph_.spec().LayerCount_;
  std::vector<Boundary> Boundaries(Layers + 1);
  Boundaries[0].Cost_ = 0;
  // Groups are ordered by their first layer, so the cost of a boundary is final before any edge
  // that starts there is considered.
  for (const LayerGroup &Group : Query.Graph_.groups()) {
    const double CostBefore = Boundaries[Group.Layers_.Begin_].Cost_;
    Boundary &End = Boundaries[Group.Layers_.End_];
    for (const Endpoint *Engine : sampleEngines(Group, Random)) {
      const double Total = CostBefore + cost(Query, *Engine);
      if (Total < End.Cost_)
        End = {Total, Engine};
    }
  }
  std::vector<const Endpoint *> Chosen;
  for (std::uint32_t Position = Layers; Position > 0;
       Position = Boundaries[Position].LastEngine_->Layers_.Begin_)
    Chosen.push_back(Boundaries[Position].LastEngine_);
  std::reverse(Chosen.begin(), Chosen.end());
  return Chosen;
}

} // namespace rattancart
