#include "StandIns/EngineModel.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

constexpr std::size_t CancelledKept = 20000;
constexpr std::size_t TensorsKept = 4096;

StepAdmission refused(StepRefusal Refusal, std::uint32_t Expected = 0) {
  StepAdmission Admission;
  Admission.Refusal_ = Refusal;
  Admission.Expected_ = Expected;
  return Admission;
}

bool sameSpan(const StepRequest &A, const StepRequest &B) {
  return A.Position_ == B.Position_ && A.Count_ == B.Count_ && A.Layers_ == B.Layers_;
}

double layerShare(const StepRequest &Request, const LayerRange &Held) {
  return static_cast<double>(Request.Layers_.End_ - Request.Layers_.Begin_) /
         static_cast<double>(Held.End_ - Held.Begin_);
}

} // namespace

std::string_view refusalName(StepRefusal Refusal) {
  switch (Refusal) {
  case StepRefusal::None:
    break;
  case StepRefusal::Malformed:
    return "malformed";
  case StepRefusal::Model:
    return "model";
  case StepRefusal::Version:
    return "version";
  case StepRefusal::Layers:
    return "layers";
  case StepRefusal::Position:
    return "position";
  case StepRefusal::Attempt:
    return "attempt";
  case StepRefusal::Leaving:
    return "leaving";
  case StepRefusal::Full:
    return "full";
  }
  return "none";
}

EngineModel::EngineModel(EngineConfig Config)
    : Config_(std::move(Config)), Cache_(Config_.CacheTokens_) {}

StepRefusal EngineModel::checkFit(const StepRequest &Request) const {
  if (Request.Request_.empty() || Request.Attempt_.value() == 0 || Request.Count_ == 0)
    return StepRefusal::Malformed;
  if (Request.Model_ != Config_.Model_)
    return StepRefusal::Model;
  if (Request.Version_ != Config_.Version_)
    return StepRefusal::Version;
  const LayerRange &Layers = Request.Layers_;
  if (Layers.Begin_ >= Layers.End_ || Layers.Begin_ < Config_.Layers_.Begin_ ||
      Layers.End_ > Config_.Layers_.End_ || Request.LayerCount_ != Config_.LayerCount_)
    return StepRefusal::Layers;
  return StepRefusal::None;
}

bool EngineModel::cancelled(const RequestId &Request, AttemptNumber Attempt) const {
  const auto Place = Cancelled_.find(Request);
  return Place != Cancelled_.end() && Attempt <= Place->second;
}

StepRefusal EngineModel::checkNew(const RequestId &Request, AttemptNumber Attempt) const {
  const auto Place = Sequences_.find(Request);
  if (cancelled(Request, Attempt) ||
      (Place != Sequences_.end() && Place->second.Attempt_ >= Attempt))
    return StepRefusal::Attempt;
  if (Leaving_)
    return StepRefusal::Leaving;
  if (liveSequences() >= Config_.MaxSequences_)
    return StepRefusal::Full;
  return StepRefusal::None;
}

StepAdmission EngineModel::admit(const StepRequest &Request, TimePoint Now) {
  const StepRefusal Misfit = checkFit(Request);
  if (Misfit != StepRefusal::None)
    return refused(Misfit);
  if (cancelled(Request.Request_, Request.Attempt_))
    return refused(StepRefusal::Attempt);
  const auto Place = Sequences_.find(Request.Request_);
  if (Place != Sequences_.end() && Place->second.Attempt_ > Request.Attempt_)
    return refused(StepRefusal::Attempt);
  if (Place != Sequences_.end() && Place->second.Attempt_ == Request.Attempt_)
    return begin(Request, Place->second, Now);
  if (Request.Position_ != 0)
    return refused(StepRefusal::Position, 0);
  const StepRefusal Reason = checkNew(Request.Request_, Request.Attempt_);
  if (Reason != StepRefusal::None)
    return refused(Reason);
  return begin(Request, startSequence(Request.Request_, Request.Attempt_, Request.Layers_), Now);
}

StepAdmission EngineModel::begin(const StepRequest &Request, Sequence &Of, TimePoint Now) {
  StepAdmission Admission;
  const auto Next = static_cast<std::uint32_t>(Of.Tokens_.size());
  if (Of.Layers_ != Request.Layers_)
    return refused(StepRefusal::Layers);
  if (Of.Step_) {
    if (!sameSpan(Steps_.at(*Of.Step_).Request_, Request))
      return refused(StepRefusal::Position, Next);
    Admission.Kind_ = StepAdmission::Kind::Join;
    Admission.Id_ = *Of.Step_;
    return Admission;
  }
  if (Of.Last_ && sameSpan(Of.Last_->Step_, Request)) {
    Admission.Kind_ = StepAdmission::Kind::Repeat;
    Admission.Result_ = *Of.Last_;
    return Admission;
  }
  if (Request.Position_ != Next)
    return refused(StepRefusal::Position, Next);
  Admission.Kind_ = StepAdmission::Kind::Run;
  Admission.Id_ = NextStep_;
  NextStep_ = NextStep_.next();
  Steps_[Admission.Id_].Request_ = Request;
  Of.Step_ = Admission.Id_;
  Of.UsedAt_ = Now;
  return Admission;
}

EngineModel::Sequence &EngineModel::startSequence(const RequestId &Request, AttemptNumber Attempt,
                                                  LayerRange Layers) {
  const auto Old = Sequences_.find(Request);
  if (Old != Sequences_.end()) {
    dropStep(Old->second);
    Sequences_.erase(Old);
  }
  Sequence &Fresh = Sequences_.emplace(Request, Sequence(Config_.Version_.str())).first->second;
  Fresh.Attempt_ = Attempt;
  Fresh.Layers_ = Layers;
  return Fresh;
}

bool EngineModel::supply(StepId Id, Tensor Input) {
  const auto Place = Steps_.find(Id);
  if (Place == Steps_.end())
    return true;
  Step &Item = Place->second;
  if (Input.Tokens_.size() != Item.Request_.Count_ ||
      Input.Through_ != Item.Request_.Layers_.Begin_) {
    abandon(Id);
    return false;
  }
  Item.Tokens_ = std::move(Input.Tokens_);
  Item.State_ = StepState::Queued;
  return true;
}

void EngineModel::abandon(StepId Id) {
  const auto Place = Steps_.find(Id);
  if (Place == Steps_.end())
    return;
  const auto Of = Sequences_.find(Place->second.Request_.Request_);
  if (Of != Sequences_.end() && Of->second.Step_ == Id)
    Of->second.Step_.reset();
  Steps_.erase(Place);
}

void EngineModel::dropStep(Sequence &Of) {
  if (!Of.Step_)
    return;
  Dropped_.push_back(*Of.Step_);
  Steps_.erase(*Of.Step_);
  Of.Step_.reset();
}

void EngineModel::cancel(const RequestId &Request, AttemptNumber Attempt) {
  rememberCancelled(Request, Attempt);
  const auto Place = Sequences_.find(Request);
  if (Place == Sequences_.end() || Place->second.Attempt_ > Attempt)
    return;
  dropStep(Place->second);
  if (Place->second.Last_)
    Tensors_.erase(Place->second.Last_->Ref_);
  Sequences_.erase(Place);
}

void EngineModel::rememberCancelled(const RequestId &Request, AttemptNumber Attempt) {
  const auto [Place, Fresh] = Cancelled_.try_emplace(Request, Attempt);
  Place->second = std::max(Place->second, Attempt);
  if (!Fresh)
    return;
  CancelledOrder_.push_back(Request);
  if (CancelledOrder_.size() <= CancelledKept)
    return;
  Cancelled_.erase(CancelledOrder_.front());
  CancelledOrder_.pop_front();
}

void EngineModel::dropAll() {
  for (const auto &[Id, Item] : Steps_)
    Dropped_.push_back(Id);
  Steps_.clear();
  Batch_.clear();
  Sequences_.clear();
  Tensors_.clear();
  TensorOrder_.clear();
}

void EngineModel::expire(TimePoint Now) {
  std::erase_if(Sequences_, [&](const auto &Entry) {
    return !Entry.second.Step_ && Entry.second.UsedAt_ + Config_.SequenceIdle_ < Now;
  });
}

std::optional<Duration> EngineModel::startBatch() {
  if (!Batch_.empty())
    return std::nullopt;
  std::vector<StepId> Queued;
  for (const auto &[Id, Item] : Steps_)
    if (Item.State_ == StepState::Queued)
      Queued.push_back(Id);
  if (Queued.empty())
    return std::nullopt;
  std::stable_sort(Queued.begin(), Queued.end(), [&](StepId A, StepId B) {
    return Steps_.at(A).Request_.Priority_ < Steps_.at(B).Request_.Priority_;
  });
  Queued.resize(std::min<std::size_t>(Queued.size(), std::max(Config_.Slots_, 1U)));
  for (const StepId Id : Queued)
    Steps_.at(Id).State_ = StepState::Running;
  Batch_ = std::move(Queued);
  return batchTime(Batch_);
}

Duration EngineModel::batchTime(const std::vector<StepId> &Batch) {
  double Share = 0;
  double Prefill = 0;
  for (const StepId Id : Batch) {
    const StepRequest &Request = Steps_.at(Id).Request_;
    const double Layers = layerShare(Request, Config_.Layers_);
    Share = std::max(Share, Layers);
    if (Request.Count_ == 1)
      continue;
    const std::uint32_t Cached =
        Request.Position_ == 0 ? std::min(Cache_.lookUp(Request.Prefix_), Request.Count_ - 1) : 0;
    Prefill += Layers * (Request.Count_ - Cached);
  }
  const double Time = Share * static_cast<double>(Config_.StepTime_.count()) +
                      Prefill * static_cast<double>(Config_.PrefillTime_.count());
  return Duration(static_cast<Duration::rep>(Time));
}

std::vector<FinishedStep> EngineModel::finishBatch(TimePoint Now) {
  std::vector<FinishedStep> Finished;
  for (const StepId Id : std::exchange(Batch_, {})) {
    const auto Place = Steps_.find(Id);
    if (Place == Steps_.end())
      continue;
    const Step Item = std::move(Place->second);
    Steps_.erase(Place);
    const auto Of = Sequences_.find(Item.Request_.Request_);
    if (Of == Sequences_.end() || Of->second.Step_ != Id)
      continue;
    Of->second.UsedAt_ = Now;
    if (Item.Request_.Position_ == 0)
      Cache_.store(Item.Request_.Prefix_, Item.Request_.PrefixTokens_, Now);
    Finished.push_back({Id, run(Item, Of->second)});
  }
  return Finished;
}

StepResult EngineModel::run(const Step &Item, Sequence &Of) {
  StepResult Result;
  Result.Step_ = Item.Request_;
  for (const std::string &Token : Item.Tokens_) {
    Of.Answer_.add(Token);
    Of.Tokens_.push_back(Token);
  }
  if (Of.Last_)
    Tensors_.erase(Of.Last_->Ref_);
  if (Item.Request_.Layers_.End_ == Config_.LayerCount_) {
    Result.Token_ = Of.Answer_.next();
    Result.End_ = Of.Answer_.nextIsLast();
    Of.Ended_ = Result.End_;
  } else {
    Result.Ref_ = keepTensor({Item.Tokens_, Item.Request_.Layers_.End_});
  }
  Of.Step_.reset();
  Of.Last_ = Result;
  return Result;
}

std::string EngineModel::keepTensor(Tensor Output) {
  std::string Ref = fmt::format("t{}", NextTensor_++);
  Tensors_.emplace(Ref, std::move(Output));
  TensorOrder_.push_back(Ref);
  if (TensorOrder_.size() > TensorsKept) {
    Tensors_.erase(TensorOrder_.front());
    TensorOrder_.pop_front();
  }
  return Ref;
}

const Tensor *EngineModel::tensor(const std::string &Ref) const {
  const auto Place = Tensors_.find(Ref);
  return Place == Tensors_.end() ? nullptr : &Place->second;
}

std::optional<KvImage> EngineModel::exportKv(const RequestId &Request,
                                             AttemptNumber Attempt) const {
  const auto Place = Sequences_.find(Request);
  if (Place == Sequences_.end() || Place->second.Attempt_ != Attempt)
    return std::nullopt;
  return KvImage{Config_.Version_, Place->second.Layers_, Place->second.Tokens_};
}

StepRefusal EngineModel::importKv(const RequestId &Request, AttemptNumber Attempt,
                                  const KvImage &Image, TimePoint Now) {
  if (Image.Version_ != Config_.Version_)
    return StepRefusal::Version;
  if (Image.Layers_.Begin_ < Config_.Layers_.Begin_ || Image.Layers_.End_ > Config_.Layers_.End_)
    return StepRefusal::Layers;
  const StepRefusal Reason = checkNew(Request, Attempt);
  if (Reason != StepRefusal::None)
    return Reason;
  Sequence &Fresh = startSequence(Request, Attempt, Image.Layers_);
  for (const std::string &Token : Image.Tokens_)
    Fresh.Answer_.add(Token);
  Fresh.Tokens_ = Image.Tokens_;
  Fresh.UsedAt_ = Now;
  return StepRefusal::None;
}

void EngineModel::load(ModelId Model, ModelVersion Version, LayerRange Layers, TimePoint Now) {
  Config_.Model_ = std::move(Model);
  Config_.Version_ = std::move(Version);
  Config_.Layers_ = Layers;
  Cache_.clear(Now);
  dropAll();
}

std::uint32_t EngineModel::liveSequences() const {
  return static_cast<std::uint32_t>(
      std::count_if(Sequences_.begin(), Sequences_.end(),
                    [](const auto &Entry) { return !Entry.second.Ended_; }));
}

EngineOccupancy EngineModel::occupancy() const {
  EngineOccupancy Occupancy;
  Occupancy.Sequences_ = liveSequences();
  for (const auto &[Id, Item] : Steps_) {
    if (Item.State_ == StepState::Running)
      ++Occupancy.Running_;
    else
      ++Occupancy.Queued_;
  }
  return Occupancy;
}

} // namespace rattancart
