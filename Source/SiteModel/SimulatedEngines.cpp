#include "SiteModel/SimulatedEngines.h"

#include "Core/Common/ErrorCode.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// One-way delay between a gateway and an engine.
constexpr Duration LinkDelay = std::chrono::microseconds(250);
/// Time to transfer a token from one stage to the next.
constexpr Duration StageTransferDelay = std::chrono::microseconds(200);
/// A call fails if an engine of its path is lost for this long.
constexpr Duration LostEngineTimeout = milliseconds(2500);
constexpr Duration LostEngineRetryInterval = milliseconds(20);
constexpr int TokensPerEvent = 2;
/// Time from the head of a response to the crash of its first engine.
constexpr Duration CrashDelay = milliseconds(36);

double numericHeader(const HttpHeaders &Headers, const char *Name) {
  const std::string Text(Headers.get(Name));
  return Text.empty() ? 0 : std::strtod(Text.c_str(), nullptr);
}

std::vector<PromptPartId> promptParts(const HttpHeaders &Headers) {
  const std::string Text(Headers.get("parts"));
  std::vector<PromptPartId> Parts;
  for (std::size_t Begin = 0; Begin < Text.size();) {
    const std::size_t End = std::min(Text.find(',', Begin), Text.size());
    Parts.emplace_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Parts;
}

double layerFraction(const LayeredModel &Model, LayerRange Layers) {
  return static_cast<double>(Layers.End_ - Layers.Begin_) / Model.Layers_;
}

Duration scaled(Duration Time, double Factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

} // namespace

CallerRequest SimulatedEngineProtocol::parseRequest(const HttpRequest &Request) const {
  CallerRequest Caller;
  Caller.Id_ = RequestId(std::string(Request.Headers_.get("id")));
  Caller.PromptTokens_ = numericHeader(Request.Headers_, "prompt");
  Caller.MaxAnswerTokens_ = numericHeader(Request.Headers_, "events") * TokensPerEvent;
  Caller.SharedPromptParts_ = promptParts(Request.Headers_);
  if (Request.Headers_.has("last"))
    Caller.LastEvent_ = static_cast<std::uint64_t>(numericHeader(Request.Headers_, "last"));
  return Caller;
}

HttpRequest SimulatedEngineProtocol::requestForEndpoint(const HttpRequest &Request,
                                                        const ForwardOptions &Options) const {
  HttpRequest Sent;
  for (const char *Name : {"id", "prompt", "events"})
    Sent.Headers_.add(Name, std::string(Request.Headers_.get(Name)));
  if (Request.Headers_.has("parts"))
    Sent.Headers_.add("parts", std::string(Request.Headers_.get("parts")));
  for (const StageAddress &Stage : Options.Path_)
    Sent.Headers_.add("stage", fmt::format("{} {} {}", Stage.Address_.str(), Stage.Layers_.Begin_,
                                           Stage.Layers_.End_));
  if (Options.LastEvent_)
    Sent.Headers_.add("last", std::to_string(*Options.LastEvent_));
  return Sent;
}

HttpRequest SimulatedEngineProtocol::requestForGateway(const HttpRequest &Request,
                                                       const ForwardOptions &Options) const {
  HttpRequest Sent = Request;
  if (Options.LastEvent_)
    Sent.Headers_.set("last", std::to_string(*Options.LastEvent_));
  return Sent;
}

ResponseInfo SimulatedEngineProtocol::parseResponse(const HttpResponse &Head) const {
  ResponseInfo Answer;
  Answer.Id_ = RequestId(std::string(Head.Headers_.get("id")));
  Answer.Misdirected_ = Head.Status_ == 421;
  Answer.NotRun_ = Head.Headers_.has("not-run") || Answer.Misdirected_;
  Answer.Signed_ = !Head.Headers_.has("unsigned") && !Head.Headers_.has("error");
  Answer.Encoded_ = Head.Headers_.has("encoded");
  Answer.EventStream_ = !Head.Headers_.has("other-media-type");
  if (Head.Headers_.has("fault"))
    Answer.FaultyEngine_ = NetAddress(std::string(Head.Headers_.get("fault")));
  return Answer;
}

HttpResponse SimulatedEngineProtocol::errorResponse(std::uint32_t Status, ErrorCode Reason,
                                                    std::optional<Duration> RetryAfter) const {
  HttpResponse Answer;
  Answer.Status_ = Status;
  Answer.Headers_.add("error", std::to_string(static_cast<int>(Reason)));
  if (RetryAfter)
    Answer.Headers_.add("retry-ms", std::to_string(*RetryAfter / milliseconds(1)));
  return Answer;
}

void SimulatedEngines::add(const EndpointId &Id, const DataCenterId &DataCenter,
                           const std::string &Kind) {
  Engine Added;
  Added.Listing_.Id_ = Id;
  Added.Listing_.Service_ = ServiceId("brief");
  Added.Listing_.Address_ = NetAddress(Id.str());
  Added.Listing_.DataCenter_ = DataCenter;
  Added.Listing_.Run_ = Incarnation(1);
  Added.Listing_.Kind_ = Kind;
  Added.Kind_ = Model_.kind(Kind);
  Engines_.emplace(Id, std::move(Added));
}

std::vector<EndpointListing> SimulatedEngines::listings() const {
  std::vector<EndpointListing> Listed;
  for (const auto &[Id, Each] : Engines_)
    Listed.push_back(Each.Listing_);
  return Listed;
}

EngineReport SimulatedEngines::report(const EndpointId &Id) const {
  const Engine &Target = Engines_.at(Id);
  EngineReport Report;
  Report.Run_ = Target.Listing_.Run_;
  Report.Layers_ = Target.Layers_;
  Report.Busy_ = Target.Loading_;
  Report.Orders_ = Target.Orders_;
  Report.Running_ = Target.Streams_;
  Report.UsedTokenLayers_ = Target.UsedTokenLayers_;
  Report.TotalTokenLayers_ = totalTokenLayers(Target);
  return Report;
}

double SimulatedEngines::totalTokenLayers(const Engine &Target) const {
  const double FreeMb =
      Target.Kind_->MemoryMb_ - (Target.Layers_.End_ - Target.Layers_.Begin_) * Model_.LayerMb_;
  return std::max(0.0, FreeMb) * 1e6 / (Model_.TokenBytes_ / Model_.Layers_);
}

void SimulatedEngines::setCondition(const EndpointId &Id, EngineCondition Condition) {
  Engine &Target = Engines_.at(Id);
  const bool Restarted =
      Condition == EngineCondition::Running && Target.Condition_ == EngineCondition::Stopped;
  Target.Condition_ = Condition;
  if (Condition == EngineCondition::Stopped) {
    std::vector<CallPtr> Cut;
    for (const auto &[Number, Each] : Calls_)
      if (Each->Path_.front().Engine_ == &Target)
        Cut.push_back(Each);
    for (const CallPtr &Each : Cut)
      end(Each, ErrorCode::ConnectionClosed, true);
  }
  if (!Restarted)
    return;
  Target.Listing_.Run_ = Incarnation(Target.Listing_.Run_.value() + 1);
  Target.Layers_ = {};
  Target.Orders_ = 0;
  Target.Loading_ = false;
  Target.PrefillsUntil_ = {};
}

void SimulatedEngines::setCrashingPart(std::string Part, Duration Downtime) {
  CrashingPart_ = PromptPartId(std::move(Part));
  Downtime_ = Downtime;
}

void SimulatedEngines::crash(Engine &Target) {
  PartCrashes_.push_back(Queue_.now());
  const EndpointId Id = Target.Listing_.Id_;
  Queue_.after(Downtime_, [this, Id, Run = Target.Listing_.Run_] {
    const Engine &Crashed = Engines_.at(Id);
    if (Crashed.Condition_ == EngineCondition::Stopped && Crashed.Listing_.Run_ == Run)
      setCondition(Id, EngineCondition::Running);
  });
  setCondition(Id, EngineCondition::Stopped);
}

OrderOutcome SimulatedEngines::order(const PlacementOrder &Order) {
  Engine &Target = Engines_.at(Order.Engine_);
  if (Target.Condition_ != EngineCondition::Running)
    return OrderOutcome::Unknown;
  if (Target.Loading_ || Order.ExpectedOrders_ != Target.Orders_)
    return OrderOutcome::Conflict;
  ++Target.Orders_;
  std::uint32_t NewLayers = 0;
  for (std::uint32_t Layer = Order.Layers_.Begin_; Layer < Order.Layers_.End_; ++Layer)
    NewLayers += Layer < Target.Layers_.Begin_ || Layer >= Target.Layers_.End_ ? 1 : 0;
  // While the new layers load, the engine serves only the layers that it held before and keeps.
  const LayerRange Kept{std::max(Target.Layers_.Begin_, Order.Layers_.Begin_),
                        std::min(Target.Layers_.End_, Order.Layers_.End_)};
  Target.Layers_ = Kept.Begin_ < Kept.End_ ? Kept : LayerRange{};
  Target.Loading_ = true;
  ++RunningLoads_;
  const double Slowdown = std::max(1.0, static_cast<double>(RunningLoads_) /
                                            std::max<std::uint32_t>(1, Model_.ConcurrentLoads_));
  const Duration Time = scaled(Model_.LoadTime_, Slowdown * NewLayers / Model_.Layers_);
  Queue_.after(Time, [this, &Target, Order, Run = Target.Listing_.Run_] {
    --RunningLoads_;
    if (Target.Listing_.Run_ != Run)
      return;
    Target.Layers_ = Order.Layers_;
    Target.Loading_ = false;
  });
  return OrderOutcome::Accepted;
}

HttpCallId SimulatedEngines::send(const NetAddress & /*Address*/, HttpRequest Request,
                                  HttpSendOptions Options, HttpCallback Done) {
  ++Sends_;
  auto Sent = std::make_shared<Call>();
  Sent->Id_ = HttpCallId(NextCall_++);
  Sent->Request_ = std::string(Request.Headers_.get("id"));
  Sent->Sink_ = Options.Sink_;
  Sent->Done_ = std::move(Done);
  for (const HttpHeader &Field : Request.Headers_.all()) {
    if (Field.Name_ != "stage")
      continue;
    const std::size_t First = Field.Value_.find(' ');
    const std::size_t Second = Field.Value_.find(' ', First + 1);
    Engine &Target = Engines_.at(EndpointId(Field.Value_.substr(0, First)));
    const LayerRange Layers{
        static_cast<std::uint32_t>(std::stoul(Field.Value_.substr(First + 1, Second))),
        static_cast<std::uint32_t>(std::stoul(Field.Value_.substr(Second + 1)))};
    Sent->Path_.push_back({&Target, Layers, Target.Listing_.Run_});
  }
  const auto Parts = promptParts(Request.Headers_);
  Sent->Crashing_ =
      CrashingPart_ && std::find(Parts.begin(), Parts.end(), *CrashingPart_) != Parts.end();
  if (Sent->Crashing_)
    PartSends_.push_back(Queue_.now());
  Calls_.emplace(Sent->Id_.value(), Sent);
  const Duration ConnectTimeout = Options.ConnectTimeout_;
  Sent->Prompt_ = numericHeader(Request.Headers_, "prompt");
  Sent->NextEventId_ = static_cast<std::uint64_t>(numericHeader(Request.Headers_, "last")) + 1;
  Sent->FinalEventId_ = static_cast<std::uint64_t>(numericHeader(Request.Headers_, "events"));
  Sent->Tokens_ = Sent->Prompt_ + static_cast<double>(Sent->FinalEventId_) * TokensPerEvent;
  Queue_.after(LinkDelay, [this, Sent, ConnectTimeout] {
    if (!active(Sent))
      return;
    const EngineCondition Condition = Sent->Path_.front().Engine_->Condition_;
    if (Condition == EngineCondition::Stopped)
      return end(Sent, ErrorCode::ConnectFailed, false);
    if (Condition == EngineCondition::Unresponsive)
      return Queue_.after(ConnectTimeout, [this, Sent] {
        if (active(Sent))
          end(Sent, ErrorCode::ConnectFailed, false);
      });
    onArrival(Sent);
  });
  return Sent->Id_;
}

bool SimulatedEngines::worksOn(const std::string &Request) const {
  return std::any_of(Calls_.begin(), Calls_.end(),
                     [&](const auto &Entry) { return Entry.second->Request_ == Request; });
}

void SimulatedEngines::cancel(HttpCallId Id) {
  const auto Found = Calls_.find(Id.value());
  if (Found == Calls_.end())
    return;
  const CallPtr Sent = Found->second;
  // HttpSender never calls Done from within cancel.
  Queue_.after(Duration{}, [this, Sent] {
    if (active(Sent))
      end(Sent, ErrorCode::Cancelled, true);
  });
}

const SimulatedEngines::Engine *SimulatedEngines::findLostEngine(const Call &Sent) const {
  for (const Stage &Each : Sent.Path_)
    if (Each.Engine_->Condition_ != EngineCondition::Running ||
        Each.Engine_->Listing_.Run_ != Each.Run_)
      return Each.Engine_;
  return nullptr;
}

const SimulatedEngines::Engine *SimulatedEngines::findRefusingEngine(const Call &Sent) const {
  for (const Stage &Each : Sent.Path_) {
    const LayerRange Held = Each.Engine_->Layers_;
    const double Needed = Sent.Tokens_ * (Each.Layers_.End_ - Each.Layers_.Begin_);
    if (Each.Engine_->Leaving_ || Each.Layers_.Begin_ < Held.Begin_ ||
        Each.Layers_.End_ > Held.End_ || Needed > freeTokenLayers(*Each.Engine_))
      return Each.Engine_;
  }
  return nullptr;
}

void SimulatedEngines::onArrival(const CallPtr &Sent) {
  if (!active(Sent))
    return;
  if (findLostEngine(*Sent))
    return waitForLostEngine(Sent);
  if (const Engine *Fault = findRefusingEngine(*Sent))
    return refuse(Sent, *Fault);
  Sent->Admitted_ = true;
  for (const Stage &Each : Sent->Path_) {
    Each.Engine_->UsedTokenLayers_ += Sent->Tokens_ * (Each.Layers_.End_ - Each.Layers_.Begin_);
    ++Each.Engine_->Streams_;
  }
  prefill(Sent, Sent->Prompt_ + static_cast<double>(Sent->NextEventId_ - 1) * TokensPerEvent);
}

void SimulatedEngines::prefill(const CallPtr &Sent, double Tokens) {
  TimePoint Ready = Queue_.now();
  for (const Stage &Each : Sent->Path_) {
    const double Seconds = Tokens / Model_.PromptTokensPerSecond_ *
                           Each.Engine_->Kind_->PrefillFactor_ *
                           layerFraction(Model_, Each.Layers_);
    Ready =
        std::max(Ready, Each.Engine_->PrefillsUntil_) + scaled(std::chrono::seconds(1), Seconds);
    Each.Engine_->PrefillsUntil_ = Ready;
  }
  Queue_.after(Ready - Queue_.now(), [this, Sent] { sendNextEvent(Sent); });
}

Duration SimulatedEngines::eventGap(const Call &Sent) const {
  Duration Gap{};
  for (const Stage &Each : Sent.Path_) {
    const Duration Step = Model_.Step_ + Model_.StepPerSequence_ * Each.Engine_->Streams_;
    Gap += scaled(Step, Each.Engine_->Kind_->StepFactor_ * layerFraction(Model_, Each.Layers_)) +
           StageTransferDelay;
  }
  return Gap * TokensPerEvent;
}

void SimulatedEngines::sendNextEvent(const CallPtr &Sent) {
  if (!active(Sent))
    return;
  if (findLostEngine(*Sent))
    return waitForLostEngine(Sent);
  Sent->LostSince_.reset();
  if (!std::exchange(Sent->HeadSent_, true)) {
    Runs_[Sent->Request_].push_back(Sent->Path_.front().Engine_->Listing_.Id_);
    HttpResponse Head;
    Head.Status_ = 200;
    Head.Headers_.add("id", Sent->Request_);
    if (Sent->Sink_->onHead(Head) != HeadDecision::Accept)
      return end(Sent, ErrorCode::MalformedResponse, true);
    const Duration Delay = Sent->Crashing_ ? CrashDelay : FirstEventDelay_;
    if (Delay > Duration{})
      return Queue_.after(Delay, [this, Sent] { sendNextEvent(Sent); });
  }
  if (!active(Sent))
    return;
  if (Sent->Crashing_)
    return crash(*Sent->Path_.front().Engine_);
  Sent->Sink_->onBody(fmt::format("id: {0}\ndata: {0}\n\n", Sent->NextEventId_));
  if (!active(Sent))
    return;
  if (++Sent->NextEventId_ > Sent->FinalEventId_)
    return end(Sent, {}, true);
  Queue_.after(eventGap(*Sent), [this, Sent] { sendNextEvent(Sent); });
}

void SimulatedEngines::waitForLostEngine(const CallPtr &Sent) {
  if (!Sent->LostSince_)
    Sent->LostSince_ = Queue_.now();
  // An unresponsive first engine sends no response at all, not even an error.
  if (Sent->Path_.front().Engine_->Condition_ == EngineCondition::Unresponsive ||
      Queue_.now() - *Sent->LostSince_ < LostEngineTimeout)
    return Queue_.after(LostEngineRetryInterval,
                        [this, Sent] { Sent->Admitted_ ? sendNextEvent(Sent) : onArrival(Sent); });
  if (Sent->HeadSent_)
    return end(Sent, ErrorCode::ConnectionClosed, true);
  refuse(Sent, *findLostEngine(*Sent));
}

void SimulatedEngines::refuse(const CallPtr &Sent, const Engine &Fault) {
  HttpResponse Head;
  Head.Status_ = 503;
  Head.Headers_.add("id", Sent->Request_);
  Head.Headers_.add("not-run", "1");
  Head.Headers_.add("fault", Fault.Listing_.Address_.str());
  Sent->Sink_->onHead(Head);
  end(Sent, {}, true);
}

void SimulatedEngines::end(const CallPtr &Sent, std::error_code Error, bool BytesHandedOver) {
  if (Calls_.erase(Sent->Id_.value()) == 0)
    return;
  if (std::exchange(Sent->Admitted_, false))
    for (const Stage &Each : Sent->Path_) {
      Each.Engine_->UsedTokenLayers_ -= Sent->Tokens_ * (Each.Layers_.End_ - Each.Layers_.Begin_);
      --Each.Engine_->Streams_;
    }
  HttpResult Result;
  Result.Error_ = Error;
  Result.BytesHandedOver_ = BytesHandedOver;
  Sent->Done_(std::move(Result));
}

} // namespace rattancart
