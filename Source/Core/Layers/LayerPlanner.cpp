#include "Core/Layers/LayerPlanner.h"

#include "Core/Layers/LayoutMetrics.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace rattancart {

namespace {

/// Range and step of the token capacities that are tried, from the largest to the smallest. The
/// largest is slightly more than the requests of a data centre hold at once on the slowest engines;
/// below the smallest a stage is full with a few dozen requests.
constexpr double MaxTokenCapacity = 100'000;
constexpr double MinTokenCapacity = 20'000;
constexpr double TokenCapacityStep = 5'000;
/// The largest token capacity of an engine where all engines together hold every layer twice. More
/// would leave fewer copies of each layer, so that a lost engine breaks more streams.
constexpr double MaxTokenCapacityOfTwoCopies = 150'000;
/// Of two windows of layers, the one with more layers of the fewest copies gets another copy: a
/// layer with one more copy counts less by this factor. Where the engines can't hold every layer
/// twice, only the speed counts: a copy of the slowest layers protects the most engines of a path.
constexpr double CopyWeightRatio = 8;
/// Below this token capacity the requests of one data centre do not fit, so memory is better used
/// for tokens than for spare layers.
constexpr double MinTokenCapacityWithSpare = 70'000;
/// Engines keep at least this token capacity when they close gaps of a data centre that is in use;
/// with less, assigning all layers from scratch serves more requests.
constexpr double MinTokenCapacityInUse = 40'000;
/// Gains below these, in tokens and in layers, are not worth another layout.
constexpr double MinTokenGain = 1'000;
constexpr double MinUncoveredGain = 1e-3;
constexpr double BytesPerMb = 1e6;
/// A layer with less than the first part of the planned token capacity gets another copy; an engine
/// is redundant if the others have at least the second part for its layers. The difference between
/// the two keeps engines from moving back and forth.
constexpr double LowCapacityRatio = 0.7;
constexpr double SufficientCapacityRatio = 0.95;

/// The number of engines that hold each layer.
class Coverage {
public:
  explicit Coverage(std::uint32_t Layers) : Count_(Layers, 0) {}

  void add(LayerRange Range, int Step) {
    for (std::uint32_t Layer = Range.Begin_; Layer < std::min(Range.End_, size()); ++Layer)
      Count_[Layer] += Step;
  }
  std::uint32_t size() const { return static_cast<std::uint32_t>(Count_.size()); }
  int at(std::uint32_t Layer) const { return Count_[Layer]; }
  bool coversAllLayers() const {
    return std::all_of(Count_.begin(), Count_.end(), [](int Count) { return Count > 0; });
  }

private:
  std::vector<int> Count_;
};

bool isEmpty(LayerRange Range) { return Range.Begin_ >= Range.End_; }

bool contains(LayerRange Range, std::uint32_t Layer) {
  return Layer >= Range.Begin_ && Layer < Range.End_;
}

/// The number of layers that two ranges have in common.
int overlap(LayerRange A, LayerRange B) {
  const std::uint32_t Begin = std::max(A.Begin_, B.Begin_);
  const std::uint32_t End = std::min(A.End_, B.End_);
  return Begin < End ? static_cast<int>(End - Begin) : 0;
}

/// The effect of moving an engine to a window of layers.
struct Move {
  PlannedEngine *Engine_ = nullptr;
  LayerRange Window_;
  /// Layers of the window that no engine covers yet, and those that the engine has to load.
  int NewlyCovered_ = 0;
  int LayersToLoad_ = 0;
  bool WasEmpty_ = false;

  /// Whether this move is better than another. Compares, in this order: less loading for each newly
  /// covered layer, so that the gap is closed soon; empty engines before those in use; more newly
  /// covered layers; among empty engines the fastest, among second copies the slowest, since these
  /// serve the least.
  bool betterThan(const Move &Other) const {
    if (!Other.Engine_)
      return true;
    const int ThisScore = NewlyCovered_ * std::max(1, Other.LayersToLoad_);
    const int OtherScore = Other.NewlyCovered_ * std::max(1, LayersToLoad_);
    if (ThisScore != OtherScore)
      return ThisScore > OtherScore;
    if (WasEmpty_ != Other.WasEmpty_)
      return WasEmpty_;
    if (NewlyCovered_ != Other.NewlyCovered_)
      return NewlyCovered_ > Other.NewlyCovered_;
    const double Speed = Engine_->Kind_->StepFactor_;
    const double OtherSpeed = Other.Engine_->Kind_->StepFactor_;
    return WasEmpty_ ? Speed < OtherSpeed : Speed > OtherSpeed;
  }
};

/// Covers gaps by moving one engine after the other.
class GapFiller {
public:
  /// Held counts the engines that hold each layer. An engine does not give up layers that no other
  /// one holds.
  GapFiller(const LayeredModel &Model, std::vector<PlannedEngine> &Engines, double Capacity,
            Coverage &Held)
      : Model_(Model), Engines_(Engines), Capacity_(Capacity), Held_(Held) {}

  /// Covers as many layers as possible; false if some stay uncovered.
  bool fill(std::vector<LayerPlacement> &Plan) {
    while (!Held_.coversAllLayers()) {
      const Move Best = bestMove();
      if (!Best.Engine_)
        return false;
      PlannedEngine &Engine = *Best.Engine_;
      Held_.add(Engine.Layers_, -1);
      Held_.add(Best.Window_, 1);
      Engine.Layers_ = Best.Window_;
      Engine.Movable_ = false;
      Plan.push_back({Engine.Id_, Engine.Layers_, true});
    }
    return true;
  }

private:
  Move bestMove() {
    Move Best;
    for (PlannedEngine &Engine : Engines_) {
      const std::uint32_t Size = layerCapacity(Model_, *Engine.Kind_, Capacity_);
      if (!Engine.Movable_ || Size == 0)
        continue;
      for (std::uint32_t Begin = 0; Begin + Size <= Model_.Layers_; ++Begin) {
        const auto Found = move(Engine, {Begin, Begin + Size});
        if (Found && Found->betterThan(Best))
          Best = *Found;
      }
    }
    return Best;
  }

  std::optional<Move> move(PlannedEngine &Engine, LayerRange Window) const {
    Move Found{&Engine, Window, 0, 0, isEmpty(Engine.Layers_)};
    for (std::uint32_t Layer = Window.Begin_; Layer < Window.End_; ++Layer) {
      Found.NewlyCovered_ += Held_.at(Layer) == 0 ? 1 : 0;
      Found.LayersToLoad_ += contains(Engine.Layers_, Layer) ? 0 : 1;
    }
    if (Found.NewlyCovered_ == 0)
      return std::nullopt;
    for (std::uint32_t Layer = Engine.Layers_.Begin_; Layer < Engine.Layers_.End_; ++Layer)
      if (!contains(Window, Layer) && Held_.at(Layer) < 2)
        return std::nullopt;
    return Found;
  }

  const LayeredModel &Model_;
  std::vector<PlannedEngine> &Engines_;
  double Capacity_;
  Coverage &Held_;
};

/// Closes gaps with as much token capacity as possible. With a lower capacity an engine can hold
/// layers of a gap in addition to its own; the capacity rises again when engines come back and
/// redundant ones move. If some gap can't be closed, returns false and changes nothing.
bool closeGaps(const LayeredModel &Model, double Capacity, std::vector<PlannedEngine> &Engines,
               Coverage &Held, std::vector<LayerPlacement> &Plan) {
  const std::vector<PlannedEngine> EnginesBefore = Engines;
  const Coverage HeldBefore = Held;
  for (double Reduced = Capacity; Reduced >= MinTokenCapacityInUse; Reduced -= TokenCapacityStep) {
    if (GapFiller(Model, Engines, Reduced, Held).fill(Plan))
      return true;
    Engines = EnginesBefore;
    Held = HeldBefore;
    Plan.clear();
  }
  return false;
}

/// Assigns all layers from scratch, window by window, each to the engine that already holds the
/// most of its layers. Meant for a data centre that does not hold the whole model and can't close
/// its gaps one by one: it serves nothing in the meantime anyway. Empty if the engines' memory is
/// too small for this token capacity.
std::vector<LayerPlacement> planFromScratch(const LayeredModel &Model,
                                            const std::vector<PlannedEngine> &Engines,
                                            double Capacity) {
  std::vector<LayerPlacement> Plan;
  std::vector<bool> Used(Engines.size(), false);
  for (std::uint32_t Next = 0; Next < Model.Layers_;) {
    // Layers of engines that can't be moved stay where they are.
    const auto Fixed =
        std::find_if(Engines.begin(), Engines.end(), [&](const PlannedEngine &Engine) {
          return !Engine.Movable_ && contains(Engine.Layers_, Next);
        });
    if (Fixed != Engines.end()) {
      Next = Fixed->Layers_.End_;
      continue;
    }
    std::size_t Best = Engines.size();
    LayerRange BestWindow;
    int BestKept = -1;
    for (std::size_t Index = 0; Index < Engines.size(); ++Index) {
      const PlannedEngine &Engine = Engines[Index];
      const std::uint32_t Size = layerCapacity(Model, *Engine.Kind_, Capacity);
      if (Used[Index] || !Engine.Movable_ || Size == 0)
        continue;
      const std::uint32_t Begin = std::min(Next, Model.Layers_ - Size);
      const LayerRange Window{Begin, Begin + Size};
      const int Kept = overlap(Engine.Layers_, Window);
      if (Kept <= BestKept)
        continue;
      Best = Index;
      BestWindow = Window;
      BestKept = Kept;
    }
    if (Best == Engines.size())
      return {};
    Used[Best] = true;
    Next = BestWindow.End_;
    if (BestWindow != Engines[Best].Layers_)
      Plan.push_back({Engines[Best].Id_, BestWindow, true, true});
  }
  return Plan;
}

/// The combined speed of the engines that hold each layer: the sum of the inverse step times.
std::vector<double> layerSpeeds(const LayeredModel &Model,
                                const std::vector<PlannedEngine> &Engines) {
  std::vector<double> Speeds(Model.Layers_, 0);
  for (const PlannedEngine &Engine : Engines)
    for (std::uint32_t Layer = Engine.Layers_.Begin_;
         Layer < std::min(Engine.Layers_.End_, Model.Layers_); ++Layer)
      Speeds[Layer] += 1 / Engine.Kind_->StepFactor_;
  return Speeds;
}

/// The layers that an engine keeps when it gives up, at the ends of its range, layers that others
/// hold too. Stops at Size layers, or when no other engine holds either outermost layer.
LayerRange trimRange(const Coverage &Settled, LayerRange Held, std::uint32_t Size) {
  while (Held.End_ - Held.Begin_ > Size) {
    const bool First = Settled.at(Held.Begin_) > 1;
    const bool Last = Settled.at(Held.End_ - 1) > 1;
    if (First && (!Last || Settled.at(Held.Begin_) >= Settled.at(Held.End_ - 1)))
      ++Held.Begin_;
    else if (Last)
      --Held.End_;
    else
      break;
  }
  return Held;
}

/// Makes engines that hold too many layers for the planned token capacity give up some.
void trimSurplusLayers(const LayeredModel &Model, double Capacity,
                       std::vector<PlannedEngine> &Engines, std::vector<LayerPlacement> &Plan) {
  Coverage Settled(Model.Layers_);
  for (const PlannedEngine &Engine : Engines)
    if (Engine.Movable_)
      Settled.add(Engine.Layers_, 1);
  for (PlannedEngine &Engine : Engines) {
    const std::uint32_t Size = layerCapacity(Model, *Engine.Kind_, Capacity);
    if (!Engine.Movable_ || Size == 0 || Engine.Layers_.End_ - Engine.Layers_.Begin_ <= Size)
      continue;
    const LayerRange Kept = trimRange(Settled, Engine.Layers_, Size);
    if (Kept == Engine.Layers_)
      continue;
    Settled.add(Engine.Layers_, -1);
    Settled.add(Kept, 1);
    Engine.Layers_ = Kept;
    Engine.Movable_ = false;
    Plan.push_back({Engine.Id_, Kept, false});
  }
}

/// The number of tokens for which an engine has memory beside its layers.
double tokenCapacityOf(const LayeredModel &Model, const PlannedEngine &Engine) {
  const std::uint32_t Count = Engine.Layers_.End_ - Engine.Layers_.Begin_;
  if (isEmpty(Engine.Layers_))
    return 0;
  const double FreeMb = Engine.Kind_->MemoryMb_ - Count * Model.LayerMb_;
  return std::max(0.0, FreeMb) * BytesPerMb * Model.Layers_ / Model.TokenBytes_ / Count;
}

/// The token capacity at each layer, summed over the engines that hold it.
std::vector<double> tokenCapacityByLayer(const LayeredModel &Model,
                                         const std::vector<PlannedEngine> &Engines) {
  std::vector<double> Capacities(Model.Layers_, 0);
  for (const PlannedEngine &Engine : Engines)
    for (std::uint32_t Layer = Engine.Layers_.Begin_;
         Layer < std::min(Engine.Layers_.End_, Model.Layers_); ++Layer)
      Capacities[Layer] += tokenCapacityOf(Model, Engine);
  return Capacities;
}

/// The least token capacity of a layer after the loss of one engine, averaged over all engines.
double meanLeastTokenCapacityAfterLoss(const LayeredModel &Model,
                                       const std::vector<PlannedEngine> &Engines) {
  const std::vector<double> Capacities = tokenCapacityByLayer(Model, Engines);
  double Sum = 0;
  for (const PlannedEngine &Lost : Engines) {
    const double Own = tokenCapacityOf(Model, Lost);
    double Least = std::numeric_limits<double>::max();
    for (std::uint32_t Layer = 0; Layer < Model.Layers_; ++Layer)
      Least = std::min(Least, Capacities[Layer] - (contains(Lost.Layers_, Layer) ? Own : 0));
    Sum += Least;
  }
  return Sum / static_cast<double>(Engines.size());
}

/// How the copies of a layer are counted by its token capacity where the engines can hold every
/// layer twice: in whole copies, so that the slowest of several layers with as many copies gets the
/// next one, or in fractions of a copy, so that the capacities become more even.
enum class CopyCount : std::uint8_t { Whole, Fraction };

/// The window of Size layers that needs another copy most: the one with the least token capacity,
/// counted in copies, and among equals the slowest one.
LayerRange neediestWindow(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines,
                          std::uint32_t Size, double Capacity, CopyCount Count) {
  const std::vector<double> Speeds = layerSpeeds(Model, Engines);
  const std::vector<double> Capacities = tokenCapacityByLayer(Model, Engines);
  const double Lowest = *std::min_element(Capacities.begin(), Capacities.end());
  const double Ratio = Capacity > MaxTokenCapacity ? CopyWeightRatio : 1;
  LayerRange Best{0, Size};
  double BestNeed = -1;
  for (std::uint32_t Begin = 0; Begin + Size <= Model.Layers_; ++Begin) {
    double Need = 0;
    for (std::uint32_t Layer = Begin; Layer < Begin + Size; ++Layer) {
      double Copies = (Capacities[Layer] - Lowest) / Capacity;
      if (Count == CopyCount::Whole)
        Copies = std::round(Copies);
      Need += 1 / Speeds[Layer] / std::pow(Ratio, Copies);
    }
    if (Need > BestNeed + 1e-9) {
      BestNeed = Need;
      Best = {Begin, Begin + Size};
    }
  }
  return Best;
}

/// A way to place copies on the engines that no gap needs.
struct CopyPlan {
  /// All engines, with the layers that they will hold.
  std::vector<PlannedEngine> Engines_;
  std::vector<LayerPlacement> Placements_;
};

CopyPlan placeCopies(const LayeredModel &Model, double Capacity, std::vector<PlannedEngine> Engines,
                     CopyCount Count) {
  CopyPlan Result;
  for (PlannedEngine &Engine : Engines) {
    const std::uint32_t Size = layerCapacity(Model, *Engine.Kind_, Capacity);
    if (!Engine.Movable_ || !isEmpty(Engine.Layers_) || Size == 0)
      continue;
    Engine.Layers_ = neediestWindow(Model, Engines, Size, Capacity, Count);
    Engine.Movable_ = false;
    Result.Placements_.push_back({Engine.Id_, Engine.Layers_, false});
  }
  Result.Engines_ = std::move(Engines);
  return Result;
}

/// Places copies by whole copies, or by fractions if that leaves fewer layers without an engine
/// after a joint loss of three engines, and at least as much token capacity.
CopyPlan bestCopyPlan(const LayeredModel &Model, double Capacity,
                      const std::vector<PlannedEngine> &Engines) {
  CopyPlan Whole = placeCopies(Model, Capacity, Engines, CopyCount::Whole);
  if (Whole.Placements_.empty() || Capacity <= MaxTokenCapacity)
    return Whole;
  CopyPlan Fraction = placeCopies(Model, Capacity, Engines, CopyCount::Fraction);
  const double Tokens = tokensInFlight(Model, Fraction.Engines_);
  const double TokensOfWhole = tokensInFlight(Model, Whole.Engines_);
  const double Uncovered = meanUncoveredAfterThreeLosses(Model, Fraction.Engines_);
  const double UncoveredOfWhole = meanUncoveredAfterThreeLosses(Model, Whole.Engines_);
  const bool IsBetter =
      Tokens >= TokensOfWhole && Uncovered <= UncoveredOfWhole &&
      meanLeastTokenCapacityAfterLoss(Model, Fraction.Engines_) >=
          meanLeastTokenCapacityAfterLoss(Model, Whole.Engines_) &&
      (Tokens > TokensOfWhole + MinTokenGain || Uncovered < UncoveredOfWhole - MinUncoveredGain);
  return IsBetter ? Fraction : Whole;
}

/// Whether the other engines have about the planned token capacity for all layers of an engine.
bool isRedundant(const LayeredModel &Model, const PlannedEngine &Engine,
                 const std::vector<double> &Capacities, double Capacity) {
  const double Own = tokenCapacityOf(Model, Engine);
  for (std::uint32_t Layer = Engine.Layers_.Begin_; Layer < Engine.Layers_.End_; ++Layer)
    if (Capacities[Layer] - Own < Capacity * SufficientCapacityRatio)
      return false;
  return true;
}

/// The token capacity that each layer should have, over all its copies: as many copies as the
/// engines can hold of all layers.
double targetCapacity(const LayeredModel &Model, double Capacity,
                      const std::vector<PlannedEngine> &Engines) {
  std::uint32_t Total = 0;
  for (const PlannedEngine &Engine : Engines)
    Total += layerCapacity(Model, *Engine.Kind_, Capacity);
  return Capacity * std::max(1U, Total / Model.Layers_);
}

/// Moves one redundant engine to the layers with the lowest token capacity.
void rebalance(const LayeredModel &Model, double Capacity, std::vector<PlannedEngine> &Engines,
               std::vector<LayerPlacement> &Plan) {
  const double Wanted = targetCapacity(Model, Capacity, Engines);
  const std::vector<double> Capacities = tokenCapacityByLayer(Model, Engines);
  // Engines that are still loading can't be relied on yet.
  std::vector<PlannedEngine> Settled = Engines;
  std::erase_if(Settled, [](const PlannedEngine &Engine) { return !Engine.Movable_; });
  const std::vector<double> SettledCapacities = tokenCapacityByLayer(Model, Settled);
  const auto Lowest = std::min_element(Capacities.begin(), Capacities.end());
  if (*Lowest >= Wanted * LowCapacityRatio)
    return;
  const auto Target = static_cast<std::uint32_t>(Lowest - Capacities.begin());
  PlannedEngine *Mover = nullptr;
  for (PlannedEngine &Engine : Engines)
    if (Engine.Movable_ && layerCapacity(Model, *Engine.Kind_, Capacity) > 0 &&
        isRedundant(Model, Engine, SettledCapacities, Wanted) &&
        (!Mover || Engine.Kind_->StepFactor_ > Mover->Kind_->StepFactor_))
      Mover = &Engine;
  if (!Mover)
    return;
  const std::uint32_t Size = layerCapacity(Model, *Mover->Kind_, Capacity);
  LayerRange Best{};
  double BestShortfall = -1;
  for (std::uint32_t Begin = Target < Size ? 0 : Target - Size + 1;
       Begin <= Target && Begin + Size <= Model.Layers_; ++Begin) {
    double Shortfall = 0;
    for (std::uint32_t Layer = Begin; Layer < Begin + Size; ++Layer)
      Shortfall += std::max(0.0, Wanted - Capacities[Layer]);
    if (Shortfall <= BestShortfall)
      continue;
    BestShortfall = Shortfall;
    Best = {Begin, Begin + Size};
  }
  if (isEmpty(Best) || Best == Mover->Layers_)
    return;
  Plan.push_back({Mover->Id_, Best, false});
}

} // namespace

std::uint32_t layerCapacity(const LayeredModel &Model, const EngineKind &Kind,
                            double TokenCapacity) {
  const double PerLayer =
      Model.LayerMb_ + TokenCapacity * Model.TokenBytes_ / Model.Layers_ / BytesPerMb;
  const double Fitting = std::floor(Kind.MemoryMb_ / PerLayer);
  return static_cast<std::uint32_t>(std::clamp<double>(Fitting, 0, Model.Layers_));
}

double plannedTokenCapacity(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines) {
  const auto Holds = [&](double Capacity, std::uint32_t Copies) {
    std::uint32_t Total = 0;
    std::uint32_t Largest = 0;
    for (const PlannedEngine &Engine : Engines) {
      const std::uint32_t Size = layerCapacity(Model, *Engine.Kind_, Capacity);
      Total += Size;
      Largest = std::max(Largest, Size);
    }
    return Total >= Copies * Model.Layers_ + Largest;
  };
  for (double Capacity = MaxTokenCapacityOfTwoCopies; Capacity > MaxTokenCapacity;
       Capacity -= TokenCapacityStep)
    if (Holds(Capacity, 2))
      return Capacity;
  double WithoutSpare = 0;
  for (double Capacity = MaxTokenCapacity; Capacity >= MinTokenCapacity;
       Capacity -= TokenCapacityStep) {
    std::uint32_t Total = 0;
    std::uint32_t Largest = 0;
    for (const PlannedEngine &Engine : Engines) {
      const std::uint32_t Size = layerCapacity(Model, *Engine.Kind_, Capacity);
      Total += Size;
      Largest = std::max(Largest, Size);
    }
    if (Total >= Model.Layers_ + Largest && Capacity >= MinTokenCapacityWithSpare)
      return Capacity;
    if (WithoutSpare == 0 && Total >= Model.Layers_)
      WithoutSpare = Capacity;
  }
  return WithoutSpare;
}

std::vector<LayerPlacement> planLayers(const LayeredModel &Model,
                                       const std::vector<PlannedEngine> &Engines) {
  std::vector<LayerPlacement> Plan;
  const double Capacity = plannedTokenCapacity(Model, Engines);
  if (Capacity == 0 || Model.Layers_ == 0)
    return Plan;
  std::vector<PlannedEngine> Work = Engines;
  // The plan must not depend on the order of the input.
  std::sort(Work.begin(), Work.end(), [](const PlannedEngine &A, const PlannedEngine &B) {
    return A.Kind_->StepFactor_ != B.Kind_->StepFactor_
               ? A.Kind_->StepFactor_ < B.Kind_->StepFactor_
               : A.Id_ < B.Id_;
  });
  Coverage Held(Model.Layers_);
  for (const PlannedEngine &Engine : Work)
    Held.add(Engine.Layers_, 1);

  if (!closeGaps(Model, Capacity, Work, Held, Plan)) {
    for (double Reduced = Capacity; Reduced >= MinTokenCapacity; Reduced -= TokenCapacityStep)
      if (auto FullPlan = planFromScratch(Model, Work, Reduced); !FullPlan.empty())
        return FullPlan;
    // Gaps that only busy or missing engines could cover have to wait; the others are closed.
    GapFiller(Model, Work, Capacity, Held).fill(Plan);
  }
  CopyPlan Copies = bestCopyPlan(Model, Capacity, Work);
  Work = std::move(Copies.Engines_);
  Plan.insert(Plan.end(), Copies.Placements_.begin(), Copies.Placements_.end());
  trimSurplusLayers(Model, Capacity, Work, Plan);
  // Only when there is nothing else to order, since each load slows those that close a gap.
  if (Plan.empty())
    rebalance(Model, Capacity, Work, Plan);
  return Plan;
}

} // namespace rattancart
