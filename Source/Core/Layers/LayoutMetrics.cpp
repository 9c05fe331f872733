#include "Core/Layers/LayoutMetrics.h"

#include "Core/Layers/PathFinder.h"

#include <algorithm>
#include <array>
#include <limits>

namespace rattancart {

namespace {

constexpr double BytesPerMb = 1e6;
/// Precision, in tokens, at which the search for the largest number ends.
constexpr double TokenPrecision = 1;
/// Token capacity that the greedy layout leaves beside the layers: one request of the largest size.
constexpr double MinTokenCapacity = 5'000;

double tokenLayerMb(const LayeredModel &Model) {
  return Model.TokenBytes_ / Model.Layers_ / BytesPerMb;
}

std::uint32_t layerCount(const PlannedEngine &Engine) {
  return Engine.Layers_.End_ > Engine.Layers_.Begin_ ? Engine.Layers_.End_ - Engine.Layers_.Begin_
                                                     : 0;
}

/// Whether the engines have memory for that many tokens at each layer.
bool canHoldTokens(const LayeredModel &Model, std::vector<PlannedEngine> Engines, double Tokens) {
  std::sort(Engines.begin(), Engines.end(), [](const PlannedEngine &A, const PlannedEngine &B) {
    return A.Layers_.End_ < B.Layers_.End_;
  });
  std::vector<double> Free;
  Free.reserve(Engines.size());
  for (const PlannedEngine &Engine : Engines)
    Free.push_back(std::max(0.0, Engine.Kind_->MemoryMb_ - layerCount(Engine) * Model.LayerMb_) /
                   tokenLayerMb(Model));
  for (std::uint32_t Layer = 0; Layer < Model.Layers_; ++Layer) {
    double Needed = Tokens;
    for (std::size_t I = 0; I < Engines.size() && Needed > 0; ++I) {
      if (Layer < Engines[I].Layers_.Begin_ || Layer >= Engines[I].Layers_.End_)
        continue;
      const double Taken = std::min(Needed, Free[I]);
      Free[I] -= Taken;
      Needed -= Taken;
    }
    if (Needed > 0)
      return false;
  }
  return true;
}

bool coversModel(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines) {
  for (std::uint32_t Layer = 0; Layer < Model.Layers_; ++Layer)
    if (std::none_of(Engines.begin(), Engines.end(), [&](const PlannedEngine &Engine) {
          return Layer >= Engine.Layers_.Begin_ && Layer < Engine.Layers_.End_;
        }))
      return false;
  return true;
}

/// Assigns Size(engine) layers to each engine, in order. After the last layer, the next engine gets
/// the first layers again if WrapAround is set, and none otherwise.
template <typename Count>
void assignInOrder(const LayeredModel &Model, std::vector<PlannedEngine> &Engines, bool WrapAround,
                   Count Size) {
  std::uint32_t Next = 0;
  for (PlannedEngine &Engine : Engines) {
    Engine.Layers_ = {};
    if (Next >= Model.Layers_ && !WrapAround)
      continue;
    if (Next >= Model.Layers_)
      Next = 0;
    const std::uint32_t Held = std::min<std::uint32_t>(Size(Engine), Model.Layers_ - Next);
    Engine.Layers_ = {Next, Next + Held};
    Next += Held;
  }
}

} // namespace

double tokensInFlight(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines) {
  double Lower = 0;
  double Upper = tokensInFlightBound(Model, Engines);
  if (!coversModel(Model, Engines))
    return 0;
  while (Upper - Lower > TokenPrecision) {
    const double Middle = (Lower + Upper) / 2;
    (canHoldTokens(Model, Engines, Middle) ? Lower : Upper) = Middle;
  }
  return Lower;
}

double tokensInFlightBound(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines) {
  double AllMb = 0;
  for (const PlannedEngine &Engine : Engines)
    AllMb += Engine.Kind_->MemoryMb_;
  return std::max(0.0, AllMb - Model.Layers_ * Model.LayerMb_) / tokenLayerMb(Model) /
         Model.Layers_;
}

std::optional<Duration> tokenTime(const LayeredModel &Model,
                                  const std::vector<PlannedEngine> &Engines) {
  std::vector<StageCandidate> Candidates;
  for (const PlannedEngine &Engine : Engines) {
    if (layerCount(Engine) == 0)
      continue;
    StageCandidate Candidate;
    Candidate.Id_ = Engine.Id_;
    Candidate.Kind_ = Engine.Kind_;
    Candidate.Layers_ = Engine.Layers_;
    Candidates.push_back(std::move(Candidate));
  }
  const auto Path = findPath(Model, Candidates, {0, 1});
  return Path ? std::optional(Path->Cost_) : std::nullopt;
}

std::size_t countRedundantEngines(const LayeredModel &Model,
                                  const std::vector<PlannedEngine> &Engines) {
  std::size_t Spare = 0;
  for (std::size_t Lost = 0; Lost < Engines.size(); ++Lost) {
    auto Others = Engines;
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Lost));
    Spare += coversModel(Model, Others) ? 1 : 0;
  }
  return Spare;
}

LossEffect lossOfThreeEngines(const LayeredModel &Model,
                              const std::vector<PlannedEngine> &Engines) {
  std::vector<int> Copies(Model.Layers_, 0);
  std::vector<double> Tokens(Model.Layers_, 0);
  const auto Add = [&](const PlannedEngine &Engine, int Sign) {
    if (layerCount(Engine) == 0)
      return;
    const double FreeMb = Engine.Kind_->MemoryMb_ - layerCount(Engine) * Model.LayerMb_;
    const double Own = std::max(0.0, FreeMb) / tokenLayerMb(Model) / layerCount(Engine);
    for (std::uint32_t Layer = Engine.Layers_.Begin_; Layer < Engine.Layers_.End_; ++Layer) {
      Copies[Layer] += Sign;
      Tokens[Layer] += Sign * Own;
    }
  };
  for (const PlannedEngine &Engine : Engines)
    Add(Engine, 1);
  LossEffect Effect;
  Effect.LeastTokens_ = std::numeric_limits<double>::max();
  std::size_t Sets = 0;
  for (std::size_t A = 0; A < Engines.size(); ++A)
    for (std::size_t B = A + 1; B < Engines.size(); ++B)
      for (std::size_t C = B + 1; C < Engines.size(); ++C) {
        for (const std::size_t Lost : {A, B, C})
          Add(Engines[Lost], -1);
        const auto Uncovered =
            static_cast<std::uint32_t>(std::count(Copies.begin(), Copies.end(), 0));
        const double Least = Uncovered > 0 ? 0 : *std::min_element(Tokens.begin(), Tokens.end());
        Effect.MostUncovered_ = std::max(Effect.MostUncovered_, Uncovered);
        Effect.MeanUncovered_ += Uncovered;
        Effect.LeastTokens_ = std::min(Effect.LeastTokens_, Least);
        Effect.MeanLeastTokens_ += Least;
        ++Sets;
        for (const std::size_t Lost : {A, B, C})
          Add(Engines[Lost], 1);
      }
  if (Sets == 0)
    return {};
  Effect.MeanUncovered_ /= static_cast<double>(Sets);
  Effect.MeanLeastTokens_ /= static_cast<double>(Sets);
  return Effect;
}

double meanUncoveredAfterThreeLosses(const LayeredModel &Model,
                                     const std::vector<PlannedEngine> &Engines) {
  if (Engines.size() < 3)
    return 0;
  std::vector<std::size_t> Copies(Model.Layers_, 0);
  for (const PlannedEngine &Engine : Engines)
    for (std::uint32_t Layer = Engine.Layers_.Begin_; Layer < Engine.Layers_.End_; ++Layer)
      ++Copies[Layer];
  const auto Count = static_cast<double>(Engines.size());
  const double Sets = Count * (Count - 1) * (Count - 2) / 6;
  // The sets of three that contain all copies of a layer, by the number of copies.
  const std::array<double, 4> Containing{Sets, (Count - 1) * (Count - 2) / 2, Count - 2, 1};
  double Uncovered = 0;
  for (const std::size_t Each : Copies)
    Uncovered += Each < Containing.size() ? Containing[Each] / Sets : 0;
  return Uncovered;
}

std::vector<PlannedEngine> makeBaselineLayout(Baseline Kind, const LayeredModel &Model,
                                              std::vector<PlannedEngine> Engines) {
  std::stable_sort(Engines.begin(), Engines.end(),
                   [](const PlannedEngine &A, const PlannedEngine &B) {
                     return A.Kind_->StepFactor_ < B.Kind_->StepFactor_;
                   });
  if (Engines.empty())
    return Engines;
  const double Capacity = plannedTokenCapacity(Model, Engines);
  const auto Share =
      static_cast<std::uint32_t>((Model.Layers_ + Engines.size() - 1) / Engines.size());
  switch (Kind) {
  case Baseline::OnePath:
    assignInOrder(Model, Engines, /*WrapAround=*/false, [&](const PlannedEngine &Engine) {
      return layerCapacity(Model, *Engine.Kind_, Capacity);
    });
    break;
  case Baseline::EqualSplit:
    assignInOrder(Model, Engines, /*WrapAround=*/true, [&](const PlannedEngine &Engine) {
      return std::min(Share, layerCapacity(Model, *Engine.Kind_, 0));
    });
    break;
  case Baseline::GreedyBySpeed:
    assignInOrder(Model, Engines, /*WrapAround=*/true, [&](const PlannedEngine &Engine) {
      return layerCapacity(Model, *Engine.Kind_, MinTokenCapacity);
    });
    break;
  }
  return Engines;
}

} // namespace rattancart
