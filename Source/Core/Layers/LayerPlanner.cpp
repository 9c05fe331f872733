#include "Core/Layers/LayerPlanner.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace rattancart {

namespace {

/// Rooms that are tried, in tokens, from the largest. The largest is a little over what the traffic
/// of a data centre holds at once on the slowest engines; below the smallest a stage is full with
/// a few dozen requests.
constexpr double LargestRoom = 100'000;
constexpr double SmallestRoom = 20'000;
constexpr double RoomStep = 5'000;
/// Below this room the traffic of one data centre does not fit, and memory for spare layers is
/// better used as room.
constexpr double SmallestRoomWithSpare = 70'000;
/// An engine of a data centre that is in use keeps at least this room when it closes a gap; with
/// less, laying all anew serves more.
constexpr double SmallestRoomInUse = 40'000;
constexpr double BytesPerMb = 1e6;
/// A layer with less than this part of the planned room gets another copy; an engine is spare if
/// the others have at least the second part for its layers. The gap between the two keeps engines
/// from moving to and fro.
constexpr double ShortRoom = 0.7;
constexpr double EnoughRoom = 0.95;

/// How many engines hold each layer.
class Coverage {
public:
  explicit Coverage(std::uint32_t Layers) : Count_(Layers, 0) {}

  void add(LayerRange Range, int Step) {
    for (std::uint32_t Layer = Range.Begin_; Layer < std::min(Range.End_, size()); ++Layer)
      Count_[Layer] += Step;
  }
  std::uint32_t size() const { return static_cast<std::uint32_t>(Count_.size()); }
  int at(std::uint32_t Layer) const { return Count_[Layer]; }
  bool whole() const {
    return std::all_of(Count_.begin(), Count_.end(), [](int Count) { return Count > 0; });
  }

private:
  std::vector<int> Count_;
};

bool isEmpty(LayerRange Range) { return Range.Begin_ >= Range.End_; }

bool contains(LayerRange Range, std::uint32_t Layer) {
  return Layer >= Range.Begin_ && Layer < Range.End_;
}

/// Layers that two ranges have in common.
int overlap(LayerRange A, LayerRange B) {
  const std::uint32_t Begin = std::max(A.Begin_, B.Begin_);
  const std::uint32_t End = std::min(A.End_, B.End_);
  return Begin < End ? static_cast<int>(End - Begin) : 0;
}

/// What moving an engine to a window would bring.
struct Move {
  PlannedEngine *Engine_ = nullptr;
  LayerRange Window_;
  /// Layers covered that nobody covers yet, and layers to load.
  int Gained_ = 0;
  int Loaded_ = 0;
  bool WasEmpty_ = false;

  /// Whether this move is better than another: less loading for each layer gained, so that the gap
  /// is closed soon; then empty engines before those in use, and more layers at once. Of empty
  /// engines the fastest is taken, of second copies the slowest, which serve the least.
  bool betterThan(const Move &Other) const {
    if (!Other.Engine_)
      return true;
    const int Ours = Gained_ * std::max(1, Other.Loaded_);
    const int Theirs = Other.Gained_ * std::max(1, Loaded_);
    if (Ours != Theirs)
      return Ours > Theirs;
    if (WasEmpty_ != Other.WasEmpty_)
      return WasEmpty_;
    if (Gained_ != Other.Gained_)
      return Gained_ > Other.Gained_;
    const double Speed = Engine_->Kind_->StepFactor_;
    const double OtherSpeed = Other.Engine_->Kind_->StepFactor_;
    return WasEmpty_ ? Speed < OtherSpeed : Speed > OtherSpeed;
  }
};

/// Covers gaps, one engine after the other.
class GapFiller {
public:
  /// Held counts what may be relied on; layers of an engine that only it holds are not given up.
  GapFiller(const LayeredModel &Model, std::vector<PlannedEngine> &Engines, double Room,
            Coverage &Held)
      : Model_(Model), Engines_(Engines), Room_(Room), Held_(Held) {}

  /// Covers as much as it can; false if layers stay uncovered.
  bool fill(std::vector<LayerPlacement> &Plan) {
    while (!Held_.whole()) {
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
      const std::uint32_t Size = layerCapacity(Model_, *Engine.Kind_, Room_);
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
      Found.Gained_ += Held_.at(Layer) == 0 ? 1 : 0;
      Found.Loaded_ += contains(Engine.Layers_, Layer) ? 0 : 1;
    }
    if (Found.Gained_ == 0)
      return std::nullopt;
    for (std::uint32_t Layer = Engine.Layers_.Begin_; Layer < Engine.Layers_.End_; ++Layer)
      if (!contains(Window, Layer) && Held_.at(Layer) < 2)
        return std::nullopt;
    return Found;
  }

  const LayeredModel &Model_;
  std::vector<PlannedEngine> &Engines_;
  double Room_;
  Coverage &Held_;
};

/// Closes gaps with as much room as possible: with less, an engine holds layers of a gap beside its
/// own. Room comes back when engines do, and by moves of spare ones. False, and nothing changed, if
/// some gap stays.
bool closeGaps(const LayeredModel &Model, double Room, std::vector<PlannedEngine> &Engines,
               Coverage &Held, std::vector<LayerPlacement> &Plan) {
  const std::vector<PlannedEngine> EnginesBefore = Engines;
  const Coverage HeldBefore = Held;
  for (double Less = Room; Less >= SmallestRoomInUse; Less -= RoomStep) {
    if (GapFiller(Model, Engines, Less, Held).fill(Plan))
      return true;
    Engines = EnginesBefore;
    Held = HeldBefore;
    Plan.clear();
  }
  return false;
}

/// Lays all layers anew, one engine's after the other's, each time the engine that already holds
/// the most of them. For a data centre that holds no whole model and can't close its gaps one by
/// one: it serves nothing meanwhile anyway. Empty if the engines' memory is too small with that
/// room.
std::vector<LayerPlacement> layAnew(const LayeredModel &Model,
                                    const std::vector<PlannedEngine> &Engines, double Room) {
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
      const std::uint32_t Size = layerCapacity(Model, *Engine.Kind_, Room);
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
      Plan.push_back({Engines[Best].Id_, BestWindow, true});
  }
  return Plan;
}

/// How fast the engines that hold each layer are together: the inverse of a step's time, summed.
std::vector<double> layerSpeeds(const LayeredModel &Model,
                                const std::vector<PlannedEngine> &Engines) {
  std::vector<double> Speeds(Model.Layers_, 0);
  for (const PlannedEngine &Engine : Engines)
    for (std::uint32_t Layer = Engine.Layers_.Begin_;
         Layer < std::min(Engine.Layers_.End_, Model.Layers_); ++Layer)
      Speeds[Layer] += 1 / Engine.Kind_->StepFactor_;
  return Speeds;
}

/// The window whose layers take the longest time.
LayerRange slowestWindow(const std::vector<double> &Speeds, std::uint32_t Size) {
  LayerRange Best{0, Size};
  double BestTime = -1;
  for (std::uint32_t Begin = 0; Begin + Size <= Speeds.size(); ++Begin) {
    double Time = 0;
    for (std::uint32_t Layer = Begin; Layer < Begin + Size; ++Layer)
      Time += 1 / Speeds[Layer];
    if (Time > BestTime + 1e-9) {
      BestTime = Time;
      Best = {Begin, Begin + Size};
    }
  }
  return Best;
}

/// Layers that an engine keeps when it gives up what others hold, or its own if it can't.
LayerRange trimmed(const Coverage &Settled, LayerRange Held, std::uint32_t Size) {
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

/// Makes engines give up layers beyond what leaves the planned room.
void trim(const LayeredModel &Model, double Room, std::vector<PlannedEngine> &Engines,
          std::vector<LayerPlacement> &Plan) {
  Coverage Settled(Model.Layers_);
  for (const PlannedEngine &Engine : Engines)
    if (Engine.Movable_)
      Settled.add(Engine.Layers_, 1);
  for (PlannedEngine &Engine : Engines) {
    const std::uint32_t Size = layerCapacity(Model, *Engine.Kind_, Room);
    if (!Engine.Movable_ || Size == 0 || Engine.Layers_.End_ - Engine.Layers_.Begin_ <= Size)
      continue;
    const LayerRange Kept = trimmed(Settled, Engine.Layers_, Size);
    if (Kept == Engine.Layers_)
      continue;
    Settled.add(Engine.Layers_, -1);
    Settled.add(Kept, 1);
    Engine.Layers_ = Kept;
    Engine.Movable_ = false;
    Plan.push_back({Engine.Id_, Kept, false});
  }
}

/// Tokens that an engine has room for beside its layers.
double roomOf(const LayeredModel &Model, const PlannedEngine &Engine) {
  const std::uint32_t Count = Engine.Layers_.End_ - Engine.Layers_.Begin_;
  if (isEmpty(Engine.Layers_))
    return 0;
  const double FreeMb = Engine.Kind_->SizeMb_ - Count * Model.LayerMb_;
  return std::max(0.0, FreeMb) * BytesPerMb * Model.Layers_ / Model.TokenBytes_ / Count;
}

/// Room for tokens at each layer, over all engines that hold it.
std::vector<double> roomByLayer(const LayeredModel &Model,
                                const std::vector<PlannedEngine> &Engines) {
  std::vector<double> Rooms(Model.Layers_, 0);
  for (const PlannedEngine &Engine : Engines)
    for (std::uint32_t Layer = Engine.Layers_.Begin_;
         Layer < std::min(Engine.Layers_.End_, Model.Layers_); ++Layer)
      Rooms[Layer] += roomOf(Model, Engine);
  return Rooms;
}

/// Whether the other engines have the planned room for all that an engine holds.
bool isSpare(const LayeredModel &Model, const PlannedEngine &Engine,
             const std::vector<double> &Rooms, double Room) {
  const double Own = roomOf(Model, Engine);
  for (std::uint32_t Layer = Engine.Layers_.Begin_; Layer < Engine.Layers_.End_; ++Layer)
    if (Rooms[Layer] - Own < Room * EnoughRoom)
      return false;
  return true;
}

/// Moves one spare engine to where the room for tokens is shortest.
void rebalance(const LayeredModel &Model, double Room, std::vector<PlannedEngine> &Engines,
               std::vector<LayerPlacement> &Plan) {
  const std::vector<double> Rooms = roomByLayer(Model, Engines);
  // What is about to be held can't be relied on yet.
  std::vector<PlannedEngine> Settled = Engines;
  std::erase_if(Settled, [](const PlannedEngine &Engine) { return !Engine.Movable_; });
  const std::vector<double> RoomsNow = roomByLayer(Model, Settled);
  const auto Scarcest = std::min_element(Rooms.begin(), Rooms.end());
  if (*Scarcest >= Room * ShortRoom)
    return;
  const auto Target = static_cast<std::uint32_t>(Scarcest - Rooms.begin());
  PlannedEngine *Mover = nullptr;
  for (PlannedEngine &Engine : Engines)
    if (Engine.Movable_ && layerCapacity(Model, *Engine.Kind_, Room) > 0 &&
        isSpare(Model, Engine, RoomsNow, Room) &&
        (!Mover || Engine.Kind_->StepFactor_ > Mover->Kind_->StepFactor_))
      Mover = &Engine;
  if (!Mover)
    return;
  const std::uint32_t Size = layerCapacity(Model, *Mover->Kind_, Room);
  LayerRange Best{};
  double BestNeed = -1;
  for (std::uint32_t Begin = Target < Size ? 0 : Target - Size + 1;
       Begin <= Target && Begin + Size <= Model.Layers_; ++Begin) {
    double Need = 0;
    for (std::uint32_t Layer = Begin; Layer < Begin + Size; ++Layer)
      Need += std::max(0.0, Room - Rooms[Layer]);
    if (Need <= BestNeed)
      continue;
    BestNeed = Need;
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
  const double Fitting = std::floor(Kind.SizeMb_ / PerLayer);
  return static_cast<std::uint32_t>(std::clamp<double>(Fitting, 0, Model.Layers_));
}

double plannedTokenCapacity(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines) {
  double Holding = 0;
  for (double Room = LargestRoom; Room >= SmallestRoom; Room -= RoomStep) {
    std::uint32_t Total = 0;
    std::uint32_t Largest = 0;
    for (const PlannedEngine &Engine : Engines) {
      const std::uint32_t Size = layerCapacity(Model, *Engine.Kind_, Room);
      Total += Size;
      Largest = std::max(Largest, Size);
    }
    if (Total >= Model.Layers_ + Largest && Room >= SmallestRoomWithSpare)
      return Room;
    if (Holding == 0 && Total >= Model.Layers_)
      Holding = Room;
  }
  return Holding;
}

std::vector<LayerPlacement> planLayers(const LayeredModel &Model,
                                       const std::vector<PlannedEngine> &Engines) {
  std::vector<LayerPlacement> Plan;
  const double Room = plannedTokenCapacity(Model, Engines);
  if (Room == 0 || Model.Layers_ == 0)
    return Plan;
  std::vector<PlannedEngine> Work = Engines;
  // The order of the input must not matter.
  std::sort(Work.begin(), Work.end(), [](const PlannedEngine &A, const PlannedEngine &B) {
    return A.Kind_->StepFactor_ != B.Kind_->StepFactor_
               ? A.Kind_->StepFactor_ < B.Kind_->StepFactor_
               : A.Id_ < B.Id_;
  });
  Coverage Held(Model.Layers_);
  for (const PlannedEngine &Engine : Work)
    Held.add(Engine.Layers_, 1);

  if (!closeGaps(Model, Room, Work, Held, Plan)) {
    for (double Less = Room; Less >= SmallestRoom; Less -= RoomStep)
      if (auto Anew = layAnew(Model, Work, Less); !Anew.empty())
        return Anew;
    // Some gaps have to wait for engines that are busy or missing; the others are closed.
    GapFiller(Model, Work, Room, Held).fill(Plan);
  }
  for (PlannedEngine &Engine : Work) {
    const std::uint32_t Size = layerCapacity(Model, *Engine.Kind_, Room);
    if (!Engine.Movable_ || !isEmpty(Engine.Layers_) || Size == 0)
      continue;
    Engine.Layers_ = slowestWindow(layerSpeeds(Model, Work), Size);
    Engine.Movable_ = false;
    Plan.push_back({Engine.Id_, Engine.Layers_, false});
  }
  trim(Model, Room, Work, Plan);
  // Once all else is ordered: a load slows those that close a gap.
  if (Plan.empty())
    rebalance(Model, Room, Work, Plan);
  return Plan;
}

} // namespace rattancart
