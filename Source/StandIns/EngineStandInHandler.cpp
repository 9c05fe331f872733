#include "StandIns/EngineStandInHandler.h"

#include "StandIns/EngineMessages.h"
#include "StandIns/JsonFields.h"

#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace rattancart {

namespace json = boost::json;

namespace {

constexpr std::string_view KvPrefix = "/v1/kv/";
constexpr std::string_view TensorPrefix = "/v1/tensor/";
constexpr Duration ExpiryInterval = std::chrono::seconds(1);
constexpr Duration SnapshotInterval = std::chrono::milliseconds(20);
/// A held answer is sent to its own request if no other answer comes within this time.
constexpr Duration MaxSwapWait = std::chrono::milliseconds(200);
constexpr Duration WeightsRetry = std::chrono::milliseconds(500);

std::uint32_t refusalStatus(StepRefusal Refusal) {
  if (Refusal == StepRefusal::Full)
    return 503;
  return Refusal == StepRefusal::Malformed ? 400 : 409;
}

HttpResponse malformed() { return jsonAnswer(400, "{\"error\":\"malformed\"}\n"); }

std::int64_t microseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Time).count();
}

/// A sequence named in a path as REQUEST/ATTEMPT.
struct SequencePath {
  RequestId Request_;
  AttemptNumber Attempt_;
};

SequencePath parseSequencePath(std::string_view Path) {
  const std::size_t Slash = Path.rfind('/');
  if (Slash == std::string_view::npos)
    return {};
  std::uint32_t Attempt = 0;
  std::from_chars(Path.data() + Slash + 1, Path.data() + Path.size(), Attempt);
  return {RequestId(std::string(Path.substr(0, Slash))), AttemptNumber(Attempt)};
}

} // namespace

EngineStandInHandler::EngineStandInHandler(boost::asio::io_context &Loop, Logger &Log,
                                           const Clock &Time, HttpClient &Client,
                                           EngineStandInConfig Config, EngineFaults Faults)
    : StandInHandler(Loop, Log), Time_(Time), Client_(Client), Config_(std::move(Config)),
      Faults_(Faults), Model_(Config_.Engine_),
      Link_(Config_.LinkBytesPerSecond_, Config_.LinkDelay_),
      History_(Config_.HistoryLimit_, Config_.HistoryFile_), BatchTimer_(Loop), ExpiryTimer_(Loop),
      SwapTimer_(Loop) {
  ExpiryTimer_.every(ExpiryInterval, [this] { Model_.expire(Time_.now()); });
  Model_.setLeaving(Faults_.Leaving_);
}

bool EngineStandInHandler::isIdle() const {
  const EngineOccupancy Occupancy = Model_.occupancy();
  return Occupancy.Sequences_ == 0 && Occupancy.Queued_ == 0 && Occupancy.Running_ == 0;
}

bool EngineStandInHandler::setFaultText(const std::string &Text) {
  const bool WasLeaving = Faults_.Leaving_;
  const bool WasDown = Faults_.Common_.Down_;
  if (!applyFaults(Faults_, Text))
    return false;
  if (WasDown && !Faults_.Common_.Down_)
    restart();
  if (Faults_.Leaving_ != WasLeaving)
    setLeaving(Faults_.Leaving_);
  if (Faults_.Common_.Down_)
    crash();
  return true;
}

void EngineStandInHandler::restart() {
  // The engine lost its sequences, so it registers as a new incarnation.
  Config_.Incarnation_ = Config_.Incarnation_.next();
  notifyEntryChanged({Model_.leaving(), Config_.Incarnation_});
}

void EngineStandInHandler::crash() {
  Faults_.Common_.Down_ = true;
  BatchTimer_.cancel();
  Model_.dropAll();
  Model_.takeDropped();
  for (const auto &[Id, Responders] : std::exchange(Waiting_, {}))
    for (const HttpResponderPtr &Responder : Responders)
      Responder->abort();
  releaseHeldAnswer();
  DuplicateAnswers_.clear();
  for (const HttpResponderPtr &Responder : std::exchange(Unanswered_, {}))
    Responder->abort();
}

void EngineStandInHandler::serve(HttpRequest Request, HttpResponderPtr Responder) {
  const std::string_view Path = Request.path();
  if (Path == "/v1/step")
    return serveStep(Request, Responder);
  if (Path == "/v1/cancel")
    return serveCancel(Request, Responder);
  if (Path == "/v1/load")
    return serveLoad(Responder);
  if (Path == "/v1/cache-events")
    return serveEvents(Request, Responder);
  if (Path == "/v1/order")
    return serveOrder(Request, Responder);
  if (Path.starts_with(KvPrefix))
    return serveKv(Request, Responder);
  if (Path.starts_with(TensorPrefix))
    return serveTensor(Request, Responder);
  deliver(Responder, jsonAnswer(404, "{\"error\":\"no such resource\"}\n"));
}

void EngineStandInHandler::serveStep(const HttpRequest &Request,
                                     const HttpResponderPtr &Responder) {
  const json::value Body = parseObject(Request.Body_);
  if (!Body.is_object())
    return deliver(Responder, malformed());
  if (Faults_.FailSteps_ > 0) {
    --Faults_.FailSteps_;
    return deliver(Responder, jsonAnswer(500, "{\"error\":\"failed\"}\n"));
  }
  admitStep(Body.as_object(), Responder);
  refuseDropped();
}

void EngineStandInHandler::admitStep(const json::object &Body, const HttpResponderPtr &Responder) {
  if (Body.contains("incarnation") &&
      jsonInteger(Body, "incarnation") != static_cast<std::int64_t>(Config_.Incarnation_.value()))
    return deliver(Responder, jsonAnswer(409, "{\"error\":\"incarnation\"}\n"));
  const StepRequest Request = parseStep(Body);
  StepAdmission Admission = Model_.admit(Request, Time_.now());
  switch (Admission.Kind_) {
  case StepAdmission::Kind::Refused:
    recordRefused(Request.Request_, Admission.Refusal_);
    return deliver(Responder, jsonAnswer(refusalStatus(Admission.Refusal_),
                                         refusalText(Admission.Refusal_, Admission.Expected_)));
  case StepAdmission::Kind::Repeat:
    return answerStep(Admission.Result_, {Responder});
  case StepAdmission::Kind::Join:
    Waiting_[Admission.Id_].push_back(Responder);
    return;
  case StepAdmission::Kind::Run:
    Waiting_[Admission.Id_].push_back(Responder);
    resolveInput(Admission.Id_, Body);
  }
}

void EngineStandInHandler::resolveInput(StepId Id, const json::object &Body) {
  const json::value *Input = Body.if_contains("input");
  if (!Input || !Input->is_object()) {
    Model_.abandon(Id);
    return failStep(Id, 400, "input");
  }
  const json::object &Given = Input->as_object();
  if (Given.contains("ref"))
    return fetchInput(Id, {jsonText(Given, "ref"), NetAddress(jsonText(Given, "address"))});
  supplyInput(Id, parseTensor(Given));
}

void EngineStandInHandler::fetchInput(StepId Id, const InputReference &From) {
  HttpRequest Request;
  Request.Target_ = std::string(TensorPrefix) + From.Ref_;
  Client_.send(From.Address_, std::move(Request), {}, [this, Id](const HttpResult &Outcome) {
    const json::value Body = Outcome.Error_ ? json::value() : parseObject(Outcome.Response_.Body_);
    if (!Body.is_object() || Outcome.Response_.Status_ != 200) {
      Model_.abandon(Id);
      return failStep(Id, 502, "input");
    }
    supplyInput(Id, parseTensor(Body.as_object()));
  });
}

void EngineStandInHandler::supplyInput(StepId Id, Tensor Input) {
  if (!Model_.supply(Id, std::move(Input)))
    return failStep(Id, 409, "tensor");
  startBatch();
}

void EngineStandInHandler::failStep(StepId Id, std::uint32_t Status, const std::string &Reason) {
  const auto It = Waiting_.find(Id);
  if (It == Waiting_.end())
    return;
  const std::vector<HttpResponderPtr> Responders = std::move(It->second);
  Waiting_.erase(It);
  for (const HttpResponderPtr &Responder : Responders)
    deliver(Responder, jsonAnswer(Status, fmt::format("{{\"error\":\"{}\"}}\n", Reason)));
}

void EngineStandInHandler::refuseDropped() {
  for (const StepId Id : Model_.takeDropped())
    failStep(Id, 409, "attempt");
}

void EngineStandInHandler::startBatch() {
  const std::optional<Duration> Time = Model_.startBatch();
  if (!Time)
    return;
  const double Scaled = static_cast<double>(Time->count()) / Faults_.SpeedFactor_;
  BatchTimer_.after(Duration(static_cast<Duration::rep>(Scaled)), [this] { finishBatch(); });
}

void EngineStandInHandler::finishBatch() {
  for (const FinishedStep &Step : Model_.finishBatch(Time_.now())) {
    record(Step.Result_);
    const auto It = Waiting_.find(Step.Id_);
    if (It == Waiting_.end())
      continue;
    std::vector<HttpResponderPtr> Responders = std::move(It->second);
    Waiting_.erase(It);
    answerStep(Step.Result_, std::move(Responders));
    if (Faults_.CutAfterSteps_ > 0 && --Faults_.CutAfterSteps_ == 0)
      return crash();
  }
  startBatch();
}

EventOrigin EngineStandInHandler::origin() const {
  return {Config_.Engine_.Id_, Config_.Incarnation_, Time_.wallNow()};
}

void EngineStandInHandler::record(const StepResult &Result) {
  History_.add(layerRunText(Result, origin(), History_.nextSequence()));
}

void EngineStandInHandler::recordRefused(const RequestId &Request, StepRefusal Refusal) {
  if (Refusal == StepRefusal::Leaving)
    History_.add(newWorkLine(origin(), Request));
}

void EngineStandInHandler::setLeaving(bool Leaving) {
  if (Model_.leaving() != Leaving)
    History_.add(leavingLine(origin(), Leaving));
  Model_.setLeaving(Leaving);
}

void EngineStandInHandler::answerStep(const StepResult &Result,
                                      std::vector<HttpResponderPtr> Responders) {
  if (Faults_.DropStepAnswers_ > 0) {
    --Faults_.DropStepAnswers_;
    Unanswered_.insert(Unanswered_.end(), Responders.begin(), Responders.end());
    return;
  }
  if (HeldAnswer_) {
    SwapTimer_.cancel();
    const HeldStepAnswer Other = *std::exchange(HeldAnswer_, std::nullopt);
    sendStep(Result, Other.Responders_);
    return sendStep(Other.Result_, Responders);
  }
  if (Faults_.CrossAnswers_ > 0) {
    --Faults_.CrossAnswers_;
    HeldAnswer_ = HeldStepAnswer{Result, std::move(Responders)};
    return SwapTimer_.after(MaxSwapWait, [this] { releaseHeldAnswer(); });
  }
  // An HTTP/1.1 client reads a duplicate of an answer as the answer to its next request.
  const RequestId &Request = Result.Step_.Request_;
  const auto Copy = DuplicateAnswers_.find(Request);
  if (Copy != DuplicateAnswers_.end()) {
    sendStep(Copy->second, Responders);
    DuplicateAnswers_.erase(Copy);
    return;
  }
  if (Faults_.DuplicateStepAnswers_ && !Result.End_)
    DuplicateAnswers_.emplace(Request, Result);
  sendStep(Result, Responders);
}

void EngineStandInHandler::releaseHeldAnswer() {
  SwapTimer_.cancel();
  if (const auto Held = std::exchange(HeldAnswer_, std::nullopt))
    sendStep(Held->Result_, Held->Responders_);
}

void EngineStandInHandler::sendStep(const StepResult &Result,
                                    const std::vector<HttpResponderPtr> &Responders) {
  for (const HttpResponderPtr &Responder : Responders)
    deliver(Responder, jsonAnswer(200, stepText(Result)));
}

std::string EngineStandInHandler::stepText(const StepResult &Result) const {
  json::object Body{{"request", Result.Step_.Request_.str()},
                    {"attempt", Result.Step_.Attempt_.value()},
                    {"position", Result.Step_.Position_},
                    {"count", Result.Step_.Count_},
                    {"engine", Config_.Engine_.Id_.str()}};
  if (Result.Ref_.empty()) {
    Body["token"] = Result.Token_;
    Body["end"] = Result.End_;
  } else {
    Body["output"] = {{"ref", Result.Ref_}, {"address", Address_.str()}};
  }
  return json::serialize(Body) + "\n";
}

void EngineStandInHandler::serveCancel(const HttpRequest &Request,
                                       const HttpResponderPtr &Responder) {
  const json::value Body = parseObject(Request.Body_);
  if (!Body.is_object())
    return deliver(Responder, malformed());
  const RequestId Id(jsonText(Body.as_object(), "request"));
  Model_.cancel(
      Id, AttemptNumber(static_cast<std::uint32_t>(jsonInteger(Body.as_object(), "attempt"))));
  DuplicateAnswers_.erase(Id);
  refuseDropped();
  deliver(Responder, jsonAnswer(200, "{}\n"));
}

void EngineStandInHandler::serveLoad(const HttpResponderPtr &Responder) {
  if (Faults_.LoadLag_.count() == 0) {
    Snapshots_.clear();
    return deliver(Responder, jsonAnswer(200, loadText()));
  }
  snapshotLoad();
  const TimePoint Limit = Time_.now() - Faults_.LoadLag_;
  while (Snapshots_.size() > 1 && Snapshots_[1].At_ <= Limit)
    Snapshots_.pop_front();
  deliver(Responder, jsonAnswer(200, Snapshots_.front().Text_));
}

void EngineStandInHandler::snapshotLoad() {
  const TimePoint Now = Time_.now();
  if (Snapshots_.empty() || Snapshots_.back().At_ + SnapshotInterval <= Now)
    Snapshots_.push_back({Now, loadText()});
}

std::string EngineStandInHandler::loadText() {
  const EngineConfig &Engine = Model_.config();
  const EngineOccupancy Occupancy = Model_.occupancy();
  const json::object Report{{"id", Engine.Id_.str()},
                            {"incarnation", Config_.Incarnation_.value()},
                            {"leaving", Model_.leaving()},
                            {"model", Engine.Model_.str()},
                            {"version", Engine.Version_.str()},
                            {"layer_begin", Engine.Layers_.Begin_},
                            {"layer_end", Engine.Layers_.End_},
                            {"layer_count", Engine.LayerCount_},
                            {"active", Occupancy.Sequences_},
                            {"queued", Occupancy.Queued_},
                            {"batch_slots", Engine.Slots_},
                            {"step_us", microseconds(Engine.StepTime_)},
                            {"prefill_us_per_token", microseconds(Engine.PrefillTime_)},
                            {"link_bytes_per_second", Config_.LinkBytesPerSecond_},
                            {"link_delay_us", microseconds(Config_.LinkDelay_)},
                            {"cache_used", Model_.cache().used()},
                            {"cache_limit", Model_.cache().limit()},
                            {"sequence", ++LoadSequence_},
                            {"checks_fencing", Config_.ChecksFencing_}};
  return json::serialize(Report) + "\n";
}

void EngineStandInHandler::serveEvents(const HttpRequest &Request,
                                       const HttpResponderPtr &Responder) {
  const std::string_view Text = Request.query("from");
  std::uint64_t From = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), From);
  deliver(Responder,
          jsonAnswer(200, cacheEventsText(Model_.cache().events(
                              From, Time_.now(), Faults_.EventLag_, Faults_.EventGapPercent_))));
}

void EngineStandInHandler::serveOrder(const HttpRequest &Request,
                                      const HttpResponderPtr &Responder) {
  const json::value Body = parseObject(Request.Body_);
  if (!Body.is_object())
    return deliver(Responder, malformed());
  const json::object &Order = Body.as_object();
  const FencingNumber Fence(jsonInteger(Order, "fence"));
  if (Config_.ChecksFencing_ && HighestFence_ && Fence < *HighestFence_)
    return deliver(Responder,
                   jsonAnswer(409, fmt::format("{{\"fence\":{}}}\n", HighestFence_->value())));
  HighestFence_ = std::max(Fence, HighestFence_.value_or(Fence));
  const std::string Kind = jsonText(Order, "kind");
  if (Kind == "load")
    return loadWeights(Order, Responder);
  if (Kind == "leave") {
    setLeaving(true);
    notifyEntryChanged({true, Config_.Incarnation_});
  } else if (Kind != "role") {
    return deliver(Responder, malformed());
  }
  deliver(Responder, jsonAnswer(200, "{}\n"));
}

void EngineStandInHandler::loadWeights(const json::object &Order,
                                       const HttpResponderPtr &Responder) {
  if (Config_.Platform_.empty())
    return finishLoad(Order, Responder);
  HttpRequest Request;
  Request.Target_ =
      fmt::format("/v1/weights/{}/{}/{}-{}", jsonText(Order, "model"), jsonText(Order, "version"),
                  jsonInteger(Order, "layer_begin"), jsonInteger(Order, "layer_end"));
  Client_.send(Config_.Platform_, std::move(Request), {},
               [this, Order, Responder](const HttpResult &Outcome) {
                 if (!Outcome.Error_ && Outcome.Response_.Status_ == 200)
                   return finishLoad(Order, Responder);
                 after(WeightsRetry, [this, Order, Responder] { loadWeights(Order, Responder); });
               });
}

void EngineStandInHandler::finishLoad(const json::object &Order,
                                      const HttpResponderPtr &Responder) {
  const LayerRange Layers{static_cast<std::uint32_t>(jsonInteger(Order, "layer_begin")),
                          static_cast<std::uint32_t>(jsonInteger(Order, "layer_end"))};
  if (Layers.Begin_ >= Layers.End_)
    return deliver(Responder, malformed());
  Model_.load(ModelId(jsonText(Order, "model")), ModelVersion(jsonText(Order, "version")), Layers,
              Time_.now());
  BatchTimer_.cancel();
  refuseDropped();
  deliver(Responder, jsonAnswer(200, "{}\n"));
}

void EngineStandInHandler::serveKv(const HttpRequest &Request, const HttpResponderPtr &Responder) {
  const SequencePath Target = parseSequencePath(Request.path().substr(KvPrefix.size()));
  if (Request.Method_ == "PUT") {
    const std::optional<KvImage> Image = parseKv(Request.Body_);
    if (!Image)
      return deliver(Responder, malformed());
    const StepRefusal Refusal =
        Model_.importKv(Target.Request_, Target.Attempt_, *Image, Time_.now());
    refuseDropped();
    recordRefused(Target.Request_, Refusal);
    if (Refusal == StepRefusal::None) {
      recordImport(Target.Request_, Target.Attempt_, *Image);
      return deliver(Responder, jsonAnswer(200, "{}\n"));
    }
    return deliver(Responder, jsonAnswer(refusalStatus(Refusal), refusalText(Refusal, 0)));
  }
  const std::optional<KvImage> Image = Model_.exportKv(Target.Request_, Target.Attempt_);
  if (!Image)
    return deliver(Responder, jsonAnswer(404, "{\"error\":\"no such sequence\"}\n"));
  const std::uint64_t Bytes = Config_.KvBytesPerTokenAndLayer_ * Image->Tokens_.size() *
                              (Image->Layers_.End_ - Image->Layers_.Begin_);
  const std::string Text = kvText(*Image, Bytes);
  after(Link_.transfer(Bytes, Time_.now()),
        [this, Responder, Text] { deliver(Responder, jsonAnswer(200, Text)); });
}

void EngineStandInHandler::recordImport(const RequestId &Request, AttemptNumber Attempt,
                                        const KvImage &Image) {
  StepResult Import;
  Import.Step_.Request_ = Request;
  Import.Step_.Attempt_ = Attempt;
  Import.Step_.Count_ = static_cast<std::uint32_t>(Image.Tokens_.size());
  Import.Step_.Layers_ = Image.Layers_;
  Import.Step_.LayerCount_ = Config_.Engine_.LayerCount_;
  Import.Step_.Version_ = Image.Version_;
  History_.add(importText(Import, origin(), History_.nextSequence()));
}

void EngineStandInHandler::serveTensor(const HttpRequest &Request,
                                       const HttpResponderPtr &Responder) {
  const Tensor *Output = Model_.tensor(std::string(Request.path().substr(TensorPrefix.size())));
  if (!Output)
    return deliver(Responder, jsonAnswer(404, "{\"error\":\"no such tensor\"}\n"));
  const std::uint64_t Bytes = Config_.TensorBytesPerToken_ * Output->Tokens_.size();
  const std::string Text = tensorText(*Output);
  after(Link_.transfer(Bytes, Time_.now()),
        [this, Responder, Text] { deliver(Responder, jsonAnswer(200, Text)); });
}

} // namespace rattancart
