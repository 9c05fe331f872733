#include "StandIns/EngineModel.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

constexpr std::size_t MaxCancelled = 20000;
constexpr std::size_t MaxTensors = 4096;

StepAdmission refused(StepRefusal Refusal, std::uint32_t Expected = 0) {
  StepAdmission Admission;
  Admission.Refusal_ = Refusal;
  Admission.Expected_ = Expected;
  return Admission;
}

bool isSameStep(const StepRequest &A, const StepRequest &B) {
  return A.Position_ == B.Position_ && A.Count_ == B.Count_ && A.Layers_ == B.Layers_;
}

double layerFraction(const StepRequest &Request, const LayerRange &Held) {
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

StepRefusal EngineModel::checkCompatible(const StepRequest &Request) const {
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

bool EngineModel::isCancelled(const RequestId &Request, AttemptNumber Attempt) const {
  const auto It = Cancelled_.find(Request);
  return It != Cancelled_.end() && Attempt <= It->second;
}

StepRefusal EngineModel::checkNewAttempt(const RequestId &Request, AttemptNumber Attempt) const {
  const auto It = Sequences_.find(Request);
  if (isCancelled(Request, Attempt) || (It != Sequences_.end() && It->second.Attempt_ >= Attempt))
    return StepRefusal::Attempt;
  if (Leaving_)
    return StepRefusal::Leaving;
  if (liveSequences() >= Config_.MaxSequences_)
    return StepRefusal::Full;
  return StepRefusal::None;
}

StepAdmission EngineModel::admit(const StepRequest &Request, TimePoint Now) {
  const StepRefusal Mismatch = checkCompatible(Request);
  if (Mismatch != StepRefusal::None)
    return refused(Mismatch);
  if (isCancelled(Request.Request_, Request.Attempt_))
    return refused(StepRefusal::Attempt);
  const auto It = Sequences_.find(Request.Request_);
  if (It != Sequences_.end() && It->second.Attempt_ > Request.Attempt_)
    return refused(StepRefusal::Attempt);
  if (It != Sequences_.end() && It->second.Attempt_ == Request.Attempt_)
    return admitToSequence(Request, It->second, Now);
  if (Request.Position_ != 0)
    return refused(StepRefusal::Position, 0);
  const StepRefusal Reason = checkNewAttempt(Request.Request_, Request.Attempt_);
  if (Reason != StepRefusal::None)
    return refused(Reason);
  return admitToSequence(Request,
                         startSequence(Request.Request_, Request.Attempt_, Request.Layers_), Now);
}

StepAdmission EngineModel::admitToSequence(const StepRequest &Request, Sequence &Owner,
                                           TimePoint Now) {
  StepAdmission Admission;
  const auto Next = static_cast<std::uint32_t>(Owner.Tokens_.size());
  if (Owner.Layers_ != Request.Layers_)
    return refused(StepRefusal::Layers);
  if (Owner.Step_) {
    if (!isSameStep(Steps_.at(*Owner.Step_).Request_, Request))
      return refused(StepRefusal::Position, Next);
    Admission.Kind_ = StepAdmission::Kind::Join;
    Admission.Id_ = *Owner.Step_;
    return Admission;
  }
  if (Owner.LastResult_ && isSameStep(Owner.LastResult_->Step_, Request)) {
    Admission.Kind_ = StepAdmission::Kind::Repeat;
    Admission.Result_ = *Owner.LastResult_;
    return Admission;
  }
  if (Request.Position_ != Next)
    return refused(StepRefusal::Position, Next);
  Admission.Kind_ = StepAdmission::Kind::Run;
  Admission.Id_ = NextStep_;
  NextStep_ = NextStep_.next();
  Steps_[Admission.Id_].Request_ = Request;
  Owner.Step_ = Admission.Id_;
  Owner.LastUsedAt_ = Now;
  return Admission;
}

EngineModel::Sequence &EngineModel::startSequence(const RequestId &Request, AttemptNumber Attempt,
                                                  LayerRange Layers) {
  const auto Old = Sequences_.find(Request);
  if (Old != Sequences_.end()) {
    dropStep(Old->second);
    Sequences_.erase(Old);
  }
  Sequence &Created = Sequences_.emplace(Request, Sequence(Config_.Version_.str())).first->second;
  Created.Attempt_ = Attempt;
  Created.Layers_ = Layers;
  return Created;
}

bool EngineModel::supply(StepId Id, Tensor Input) {
  const auto It = Steps_.find(Id);
  if (It == Steps_.end())
    return true;
  Step &Item = It->second;
  if (Input.Tokens_.size() != Item.Request_.Count_ ||
      Input.LayersRun_ != Item.Request_.Layers_.Begin_) {
    abandon(Id);
    return false;
  }
  Item.Tokens_ = std::move(Input.Tokens_);
  Item.State_ = StepState::Queued;
  return true;
}

void EngineModel::abandon(StepId Id) {
  const auto It = Steps_.find(Id);
  if (It == Steps_.end())
    return;
  const auto Owner = Sequences_.find(It->second.Request_.Request_);
  if (Owner != Sequences_.end() && Owner->second.Step_ == Id)
    Owner->second.Step_.reset();
  Steps_.erase(It);
}

void EngineModel::dropStep(Sequence &Owner) {
  if (!Owner.Step_)
    return;
  Dropped_.push_back(*Owner.Step_);
  Steps_.erase(*Owner.Step_);
  Owner.Step_.reset();
}

void EngineModel::cancel(const RequestId &Request, AttemptNumber Attempt) {
  rememberCancelled(Request, Attempt);
  const auto It = Sequences_.find(Request);
  if (It == Sequences_.end() || It->second.Attempt_ > Attempt)
    return;
  dropStep(It->second);
  if (It->second.LastResult_)
    Tensors_.erase(It->second.LastResult_->Ref_);
  Sequences_.erase(It);
}

void EngineModel::rememberCancelled(const RequestId &Request, AttemptNumber Attempt) {
  const auto [It, Inserted] = Cancelled_.try_emplace(Request, Attempt);
  It->second = std::max(It->second, Attempt);
  if (!Inserted)
    return;
  CancelledOrder_.push_back(Request);
  if (CancelledOrder_.size() <= MaxCancelled)
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
    return !Entry.second.Step_ && Entry.second.LastUsedAt_ + Config_.SequenceIdle_ < Now;
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
    const double Layers = layerFraction(Request, Config_.Layers_);
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
    const auto It = Steps_.find(Id);
    if (It == Steps_.end())
      continue;
    const Step Item = std::move(It->second);
    Steps_.erase(It);
    const auto Owner = Sequences_.find(Item.Request_.Request_);
    if (Owner == Sequences_.end() || Owner->second.Step_ != Id)
      continue;
    Owner->second.LastUsedAt_ = Now;
    if (Item.Request_.Position_ == 0)
      Cache_.store(Item.Request_.Prefix_, Item.Request_.PrefixTokens_, Now);
    Finished.push_back({Id, run(Item, Owner->second)});
  }
  return Finished;
}

StepResult EngineModel::run(const Step &Item, Sequence &Owner) {
  StepResult Result;
  Result.Step_ = Item.Request_;
  for (const std::string &Token : Item.Tokens_) {
    Owner.Answer_.add(Token);
    Owner.Tokens_.push_back(Token);
  }
  if (Owner.LastResult_)
    Tensors_.erase(Owner.LastResult_->Ref_);
  if (Item.Request_.Layers_.End_ == Config_.LayerCount_) {
    Result.Token_ = Owner.Answer_.next();
    Result.End_ = Owner.Answer_.nextIsLast();
    Owner.Ended_ = Result.End_;
  } else {
    Result.Ref_ = keepTensor({Item.Tokens_, Item.Request_.Layers_.End_});
  }
  Owner.Step_.reset();
  Owner.LastResult_ = Result;
  return Result;
}

std::string EngineModel::keepTensor(Tensor Output) {
  std::string Ref = fmt::format("t{}", NextTensor_++);
  Tensors_.emplace(Ref, std::move(Output));
  TensorOrder_.push_back(Ref);
  if (TensorOrder_.size() > MaxTensors) {
    Tensors_.erase(TensorOrder_.front());
    TensorOrder_.pop_front();
  }
  return Ref;
}

const Tensor *EngineModel::tensor(const std::string &Ref) const {
  const auto It = Tensors_.find(Ref);
  return It == Tensors_.end() ? nullptr : &It->second;
}

std::optional<KvImage> EngineModel::exportKv(const RequestId &Request,
                                             AttemptNumber Attempt) const {
  const auto It = Sequences_.find(Request);
  if (It == Sequences_.end() || It->second.Attempt_ != Attempt)
    return std::nullopt;
  return KvImage{Config_.Version_, It->second.Layers_, It->second.Tokens_};
}

StepRefusal EngineModel::importKv(const RequestId &Request, AttemptNumber Attempt,
                                  const KvImage &Image, TimePoint Now) {
  if (Image.Version_ != Config_.Version_)
    return StepRefusal::Version;
  if (Image.Layers_.Begin_ < Config_.Layers_.Begin_ || Image.Layers_.End_ > Config_.Layers_.End_)
    return StepRefusal::Layers;
  const StepRefusal Reason = checkNewAttempt(Request, Attempt);
  if (Reason != StepRefusal::None)
    return Reason;
  Sequence &Created = startSequence(Request, Attempt, Image.Layers_);
  for (const std::string &Token : Image.Tokens_)
    Created.Answer_.add(Token);
  Created.Tokens_ = Image.Tokens_;
  Created.LastUsedAt_ = Now;
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
