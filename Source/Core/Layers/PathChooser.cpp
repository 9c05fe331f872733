#include "Core/Layers/PathChooser.h"

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

PathChoice PathChooser::choose(const LayeredModel &Model, const ServiceId &Service,
                               const PathDemand &Demand, const PathConstraints &Limits,
                               std::mt19937 &Random, TimePoint Now) const {
  PathChoice None;
  std::vector<PathChoice> Found;
  double FreeShares = 0;
  for (const DataCenterId &DataCenter : dataCenters(Service)) {
    PathChoice Here;
    Here.DataCenter_ = DataCenter;
    auto Candidates = candidates(Model, Service, DataCenter, Limits, Now, Here.OldestReport_);
    for (StageCandidate &Each : Candidates) {
      Each.RandomFactor_ = std::uniform_real_distribution<double>(1, MaxRandomFactor)(Random);
      addConcurrentSends(Each, Random, Now);
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
