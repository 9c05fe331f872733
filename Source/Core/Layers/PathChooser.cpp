#include "Core/Layers/PathChooser.h"

#include "Core/Layers/SlowStartFeed.h"

#include <algorithm>

namespace rattancart {

namespace {

/// The home data centre takes all of its requests while at least this share of the memory of each
/// engine on the path is free; below it, ever more of them go to other data centres.
constexpr double HomeFreeShare = 0.35;
/// Copies of a layer whose costs differ by less than this factor share the requests.
constexpr double MaxRandomFactor = 1.5;
/// An engine has memory to spare if all gateways together are not expected to use more than this
/// part of it before its next report.
constexpr double SpareMemoryShare = 0.9;
/// A path is searched again without the engines that their slow start denies at most this often;
/// then it may be that all engines of a data centre have just started.
constexpr int MaxDenials = 4;

/// Whether an engine with the first layer may be the first of a path.
bool canBegin(const std::vector<StageCandidate> &Candidates) {
  return std::any_of(Candidates.begin(), Candidates.end(), [](const StageCandidate &Each) {
    return Each.MayBeFirst_ && Each.Layers_.Begin_ == 0;
  });
}

} // namespace

std::vector<DataCenterId> PathChooser::dataCenters(const ServiceId &Service) const {
  std::set<DataCenterId> Found;
  for (const auto &[Id, Record] : Roster_.all())
    if (Record.Listing_.Service_ == Service)
      Found.insert(Record.Listing_.DataCenter_);
  std::vector<DataCenterId> DataCenters;
  if (Found.erase(Home_) > 0)
    DataCenters.push_back(Home_);
  DataCenters.insert(DataCenters.end(), Found.begin(), Found.end());
  return DataCenters;
}

std::vector<StageCandidate> PathChooser::candidates(const LayeredModel &Model,
                                                    const ServiceId &Service,
                                                    const DataCenterId &DataCenter,
                                                    const PathConstraints &Limits, TimePoint Now,
                                                    Duration &OldestReport) const {
  std::vector<StageCandidate> Found;
  for (const auto &[Id, Record] : Roster_.all()) {
    const LayerRange Layers = Record.layersOf(Model);
    if (Record.Listing_.Service_ != Service || Record.Listing_.DataCenter_ != DataCenter ||
        Layers.Begin_ >= Layers.End_ || Limits.ExcludedEngines_.contains(Id) ||
        !Roster_.takesWork(Record, Now))
      continue;
    StageCandidate Candidate;
    Candidate.Id_ = Id;
    Candidate.Kind_ = Model.kind(Record.Listing_.Kind_);
    if (!Candidate.Kind_)
      continue;
    Candidate.Layers_ = Layers;
    Candidate.MayBeFirst_ =
        (Limits.AllowedFirstEngines_.empty() || Limits.AllowedFirstEngines_.contains(Id)) &&
        !Limits.LimitedFirstEngines_.contains(Id);
    Candidate.UsedTokenLayers_ = Record.usedTokenLayers(Now);
    if (Record.reported()) {
      Candidate.Slowdown_ = Record.Report_.Slowdown_;
      Candidate.TotalTokenLayers_ = Record.Report_.TotalTokenLayers_;
      Candidate.FreeSlotShare_ = Record.freeSlotShare();
      OldestReport = std::max(OldestReport, Now - Record.ReportedAt_);
    }
    Found.push_back(std::move(Candidate));
  }
  return Found;
}

void PathChooser::addConcurrentSends(StageCandidate &Engine, std::mt19937 &Random,
                                     TimePoint Now) const {
  const double Most = Roster_.concurrentSends(*Roster_.find(Engine.Id_), Now);
  if (Engine.UsedTokenLayers_ + Most > SpareMemoryShare * Engine.TotalTokenLayers_)
    Engine.UsedTokenLayers_ += std::uniform_real_distribution<double>(0, Most)(Random);
}

bool PathChooser::denyWarming(const LayerPath &Path, const PathDemand &Demand, double Draw,
                              TimePoint Now, std::set<EndpointId> &Denied) const {
  bool Any = false;
  for (const PathStage &Stage : Path.Stages_) {
    const EndpointRecord &Record = *Roster_.find(Stage.Engine_);
    const double TokenLayers =
        (Demand.PromptTokens_ + Demand.AnswerTokens_) * (Stage.Layers_.End_ - Stage.Layers_.Begin_);
    if (SlowStart_->mayTake(Stage.Engine_, requestCapacity(Record, TokenLayers),
                            Record.OwnRequests_, Draw, Now))
      continue;
    Denied.insert(Stage.Engine_);
    Any = true;
  }
  return Any;
}

PathChoice PathChooser::choose(const LayeredModel &Model, const ServiceId &Service,
                               const PathDemand &Demand, const PathConstraints &Limits,
                               std::mt19937 &Random, TimePoint Now) const {
  // An engine with memory to spare takes all that is sent to it, so holding requests back from one
  // that has just started would only lengthen the paths of others.
  if (!Demand.Contended_ || !SlowStart_ || !SlowStart_->anyWarming())
    return chooseAmongAll(Model, Service, Demand, Limits, Random, Now, nullptr);
  // One draw for all engines: with one each, a path of several warming engines would hardly ever be
  // allowed.
  const double Draw = std::uniform_real_distribution<double>(0, 1)(Random);
  PathConstraints Narrowed = Limits;
  for (int Denials = 0; Denials < MaxDenials; ++Denials) {
    PathChoice Choice = chooseAmongAll(Model, Service, Demand, Narrowed, Random, Now, nullptr);
    if (!Choice.Path_)
      break;
    if (!denyWarming(*Choice.Path_, Demand, Draw, Now, Narrowed.ExcludedEngines_))
      return Choice;
  }
  // No other engines can take the request, so warming ones do, as few of them as possible.
  return chooseAmongAll(Model, Service, Demand, Limits, Random, Now, SlowStart_);
}

PathChoice PathChooser::chooseAmongAll(const LayeredModel &Model, const ServiceId &Service,
                                       const PathDemand &Demand, const PathConstraints &Limits,
                                       std::mt19937 &Random, TimePoint Now,
                                       const EndpointSlowStart *Avoided) const {
  PathChoice None;
  std::vector<PathChoice> Found;
  double FreeShares = 0;
  for (const DataCenterId &DataCenter : dataCenters(Service)) {
    PathChoice Here;
    Here.DataCenter_ = DataCenter;
    auto Candidates = candidates(Model, Service, DataCenter, Limits, Now, Here.OldestReport_);
    for (StageCandidate &Each : Candidates) {
      Each.RandomFactor_ = std::uniform_real_distribution<double>(1, MaxRandomFactor)(Random);
      if (Demand.Contended_)
        addConcurrentSends(Each, Random, Now);
      if (Avoided)
        Each.RandomFactor_ *= Avoided->costFactor(Each.Id_);
    }
    if (!holdWholeModel(Model, Candidates))
      continue;
    Here.Path_ = findPath(Model, Candidates, Demand);
    if (!Here.Path_) {
      if (!Limits.LimitedFirstEngines_.empty() && !canBegin(Candidates)) {
        if (None.Shortage_ == PathShortage::NoWholeModel)
          None.Shortage_ = PathShortage::LimitReached;
        continue;
      }
      if (None.Shortage_ != PathShortage::NoFreeMemory)
        None.Bottleneck_ = findBottleneckLayer(Model, Candidates);
      None.Shortage_ = PathShortage::NoFreeMemory;
      continue;
    }
    const double FreeShare = Here.Path_->FreeShare_;
    if (DataCenter == Home_ &&
        FreeShare >= std::uniform_real_distribution<double>(0, HomeFreeShare)(Random))
      return Here;
    FreeShares += FreeShare;
    Found.push_back(std::move(Here));
  }
  double Rest = std::uniform_real_distribution<double>(0, FreeShares)(Random);
  for (PathChoice &Each : Found) {
    Rest -= Each.Path_->FreeShare_;
    if (Rest < 0)
      return std::move(Each);
  }
  return Found.empty() ? None : std::move(Found.back());
}

std::vector<DataCenterId> PathChooser::dataCentersHoldingModel(const LayeredModel &Model,
                                                               const ServiceId &Service,
                                                               TimePoint Now) const {
  std::vector<DataCenterId> Whole;
  for (const DataCenterId &DataCenter : dataCenters(Service)) {
    Duration OldestReport{};
    if (holdWholeModel(Model, candidates(Model, Service, DataCenter, {}, Now, OldestReport)))
      Whole.push_back(DataCenter);
  }
  return Whole;
}

} // namespace rattancart
