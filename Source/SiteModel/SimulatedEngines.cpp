#include "SiteModel/SimulatedEngines.h"

#include "Core/Common/ErrorCode.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// One way between a gateway and an engine.
constexpr Duration LinkDelay = std::chrono::microseconds(250);
/// Hand-on of a token between two stages.
constexpr Duration HandOn = std::chrono::microseconds(200);
constexpr Duration StallLimit = milliseconds(2500);
constexpr Duration StallStep = milliseconds(20);
constexpr int TokensInEvent = 2;

double number(const HttpHeaders &Headers, const char *Name) {
  const std::string Text(Headers.get(Name));
  return Text.empty() ? 0 : std::strtod(Text.c_str(), nullptr);
}

double share(const LayeredModel &Model, LayerRange Layers) {
  return static_cast<double>(Layers.End_ - Layers.Begin_) / Model.Layers_;
}

Duration scaled(Duration Time, double Factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

} // namespace

CallerRequest SimulatedEngineProtocol::parseRequest(const HttpRequest &Request) const {
  CallerRequest Caller;
  Caller.Id_ = RequestId(std::string(Request.Headers_.get("id")));
  Caller.PromptTokens_ = number(Request.Headers_, "prompt");
  Caller.MaxAnswerTokens_ = number(Request.Headers_, "events") * TokensInEvent;
  if (Request.Headers_.has("last"))
    Caller.LastEvent_ = static_cast<std::uint64_t>(number(Request.Headers_, "last"));
  return Caller;
}

HttpRequest SimulatedEngineProtocol::requestForEndpoint(const HttpRequest &Request,
                                                        const ForwardOptions &Options) const {
  HttpRequest Sent;
  for (const char *Name : {"id", "prompt", "events"})
    Sent.Headers_.add(Name, std::string(Request.Headers_.get(Name)));
  for (const StageAddress &Stage : Options.Path_)
    Sent.Headers_.add("stage", fmt::format("{} {} {}", Stage.Address_.str(), Stage.Layers_.Begin_,
                                           Stage.Layers_.End_));
  if (Options.LastEvent_)
    Sent.Headers_.add("last", std::to_string(*Options.LastEvent_));
  return Sent;
}

ResponseInfo SimulatedEngineProtocol::parseResponse(const HttpResponse &Head) const {
  ResponseInfo Answer;
  Answer.Id_ = RequestId(std::string(Head.Headers_.get("id")));
  Answer.NotRun_ = Head.Headers_.has("not-run");
  Answer.Signed_ = !Answer.NotRun_;
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

void SimulatedEngines::add(const EndpointId &Id, const DataCenterId &Place,
                           const std::string &Kind) {
  Engine Added;
  Added.Listing_.Id_ = Id;
  Added.Listing_.Service_ = ServiceId("brief");
  Added.Listing_.Address_ = NetAddress(Id.str());
  Added.Listing_.DataCenter_ = Place;
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
  const Engine &Of = Engines_.at(Id);
  EngineReport Report;
  Report.Run_ = Of.Listing_.Run_;
  Report.Layers_ = Of.Layers_;
  Report.Busy_ = Of.Loading_;
  Report.Orders_ = Of.Orders_;
  Report.Running_ = Of.Streams_;
  Report.UsedTokenLayers_ = Of.UsedTokenLayers_;
  Report.TotalTokenLayers_ = totalTokenLayers(Of);
  return Report;
}

double SimulatedEngines::totalTokenLayers(const Engine &Of) const {
  const double FreeMb =
      Of.Kind_->MemoryMb_ - (Of.Layers_.End_ - Of.Layers_.Begin_) * Model_.LayerMb_;
  return std::max(0.0, FreeMb) * 1e6 / (Model_.TokenBytes_ / Model_.Layers_);
}

void SimulatedEngines::setCondition(const EndpointId &Id, EngineCondition Condition) {
  Engine &Of = Engines_.at(Id);
  const bool Restarted =
      Condition == EngineCondition::Running && Of.Condition_ == EngineCondition::Stopped;
  Of.Condition_ = Condition;
  if (Condition == EngineCondition::Stopped) {
    std::vector<CallPtr> Cut;
    for (const auto &[Number, Each] : Calls_)
      if (Each->Path_.front().Engine_ == &Of)
        Cut.push_back(Each);
    for (const CallPtr &Each : Cut)
      end(Each, ErrorCode::ConnectionClosed, true);
  }
  if (!Restarted)
    return;
  Of.Listing_.Run_ = Incarnation(Of.Listing_.Run_.value() + 1);
  Of.Layers_ = {};
  Of.Orders_ = 0;
  Of.Loading_ = false;
  Of.ReadsUntil_ = {};
}

OrderOutcome SimulatedEngines::order(const PlacementOrder &Order) {
  Engine &Of = Engines_.at(Order.Engine_);
  if (Of.Condition_ != EngineCondition::Running)
    return OrderOutcome::Unknown;
  if (Of.Loading_ || Order.ExpectedOrders_ != Of.Orders_)
    return OrderOutcome::Conflict;
  ++Of.Orders_;
  std::uint32_t New = 0;
  for (std::uint32_t Layer = Order.Layers_.Begin_; Layer < Order.Layers_.End_; ++Layer)
    New += Layer < Of.Layers_.Begin_ || Layer >= Of.Layers_.End_ ? 1 : 0;
  // What is kept goes on; what is given up takes nothing new.
  const LayerRange Kept{std::max(Of.Layers_.Begin_, Order.Layers_.Begin_),
                        std::min(Of.Layers_.End_, Order.Layers_.End_)};
  Of.Layers_ = Kept.Begin_ < Kept.End_ ? Kept : LayerRange{};
  Of.Loading_ = true;
  ++Loads_;
  const double Crowd = std::max(1.0, static_cast<double>(Loads_) /
                                         std::max<std::uint32_t>(1, Model_.ConcurrentLoads_));
  const Duration Time = scaled(Model_.LoadTime_, Crowd * New / Model_.Layers_);
  Queue_.after(Time, [this, &Of, Order, Run = Of.Listing_.Run_] {
    --Loads_;
    if (Of.Listing_.Run_ != Run)
      return;
    Of.Layers_ = Order.Layers_;
    Of.Loading_ = false;
  });
  return OrderOutcome::Accepted;
}

HttpCallId SimulatedEngines::send(const NetAddress & /*Address*/, HttpRequest Request,
                                  HttpSendOptions Options, HttpDone Done) {
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
    Engine &Of = Engines_.at(EndpointId(Field.Value_.substr(0, First)));
    const LayerRange Layers{
        static_cast<std::uint32_t>(std::stoul(Field.Value_.substr(First + 1, Second))),
        static_cast<std::uint32_t>(std::stoul(Field.Value_.substr(Second + 1)))};
    Sent->Path_.push_back({&Of, Layers, Of.Listing_.Run_});
  }
  Calls_.emplace(Sent->Id_.value(), Sent);
  const Duration ConnectTimeout = Options.ConnectTimeout_;
  Sent->Prompt_ = number(Request.Headers_, "prompt");
  Sent->Next_ = static_cast<std::uint64_t>(number(Request.Headers_, "last")) + 1;
  Sent->Last_ = static_cast<std::uint64_t>(number(Request.Headers_, "events"));
  Sent->Tokens_ = Sent->Prompt_ + static_cast<double>(Sent->Last_) * TokensInEvent;
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
    arrive(Sent);
  });
  return Sent->Id_;
}

bool SimulatedEngines::worksOn(const std::string &Request) const {
  return std::any_of(Calls_.begin(), Calls_.end(),
                     [&](const auto &Entry) { return Entry.second->Request_ == Request; });
}

void SimulatedEngines::cancel(HttpCallId Id) {
  const auto Place = Calls_.find(Id.value());
  if (Place == Calls_.end())
    return;
  const CallPtr Sent = Place->second;
  // Done is never called from within cancel.
  Queue_.after(Duration{}, [this, Sent] {
    if (active(Sent))
      end(Sent, ErrorCode::Cancelled, true);
  });
}

const SimulatedEngines::Engine *SimulatedEngines::lost(const Call &Sent) const {
  for (const Stage &Each : Sent.Path_)
    if (Each.Engine_->Condition_ != EngineCondition::Running ||
        Each.Engine_->Listing_.Run_ != Each.Run_)
      return Each.Engine_;
  return nullptr;
}

const SimulatedEngines::Engine *SimulatedEngines::refusing(const Call &Sent) const {
  for (const Stage &Each : Sent.Path_) {
    const LayerRange Held = Each.Engine_->Layers_;
    const double Needed = Sent.Tokens_ * (Each.Layers_.End_ - Each.Layers_.Begin_);
    if (Each.Engine_->Leaving_ || Each.Layers_.Begin_ < Held.Begin_ ||
        Each.Layers_.End_ > Held.End_ || Needed > freeTokenLayers(*Each.Engine_))
      return Each.Engine_;
  }
  return nullptr;
}

void SimulatedEngines::arrive(const CallPtr &Sent) {
  if (!active(Sent))
    return;
  if (lost(*Sent))
    return stall(Sent);
  if (const Engine *Fault = refusing(*Sent))
    return refuse(Sent, *Fault);
  Sent->Admitted_ = true;
  for (const Stage &Each : Sent->Path_) {
    Each.Engine_->UsedTokenLayers_ += Sent->Tokens_ * (Each.Layers_.End_ - Each.Layers_.Begin_);
    ++Each.Engine_->Streams_;
  }
  read(Sent, Sent->Prompt_ + static_cast<double>(Sent->Next_ - 1) * TokensInEvent);
}

void SimulatedEngines::read(const CallPtr &Sent, double Tokens) {
  TimePoint Ready = Queue_.now();
  for (const Stage &Each : Sent->Path_) {
    const double Seconds = Tokens / Model_.PromptTokensPerSecond_ *
                           Each.Engine_->Kind_->PrefillFactor_ * share(Model_, Each.Layers_);
    Ready = std::max(Ready, Each.Engine_->ReadsUntil_) + scaled(std::chrono::seconds(1), Seconds);
    Each.Engine_->ReadsUntil_ = Ready;
  }
  Queue_.after(Ready - Queue_.now(), [this, Sent] { advance(Sent); });
}

Duration SimulatedEngines::eventGap(const Call &Sent) const {
  Duration Gap{};
  for (const Stage &Each : Sent.Path_) {
    const Duration Step = Model_.Step_ + Model_.StepPerSequence_ * Each.Engine_->Streams_;
    Gap += scaled(Step, Each.Engine_->Kind_->StepFactor_ * share(Model_, Each.Layers_)) + HandOn;
  }
  return Gap * TokensInEvent;
}

void SimulatedEngines::advance(const CallPtr &Sent) {
  if (!active(Sent))
    return;
  if (lost(*Sent))
    return stall(Sent);
  Sent->StalledSince_.reset();
  if (!std::exchange(Sent->HeadSent_, true)) {
    Runs_[Sent->Request_].push_back(Sent->Path_.front().Engine_->Listing_.Id_);
    HttpResponse Head;
    Head.Status_ = 200;
    Head.Headers_.add("id", Sent->Request_);
    if (Sent->Sink_->onHead(Head) != HeadVerdict::Accept)
      return end(Sent, ErrorCode::MalformedResponse, true);
  }
  if (!active(Sent))
    return;
  Sent->Sink_->onBody(fmt::format("id: {0}\ndata: {0}\n\n", Sent->Next_));
  if (!active(Sent))
    return;
  if (++Sent->Next_ > Sent->Last_)
    return end(Sent, {}, true);
  Queue_.after(eventGap(*Sent), [this, Sent] { advance(Sent); });
}

void SimulatedEngines::stall(const CallPtr &Sent) {
  if (!Sent->StalledSince_)
    Sent->StalledSince_ = Queue_.now();
  // A dark first engine tells its caller nothing at all.
  if (Sent->Path_.front().Engine_->Condition_ == EngineCondition::Unresponsive ||
      Queue_.now() - *Sent->StalledSince_ < StallLimit)
    return Queue_.after(StallStep,
                        [this, Sent] { Sent->Admitted_ ? advance(Sent) : arrive(Sent); });
  if (Sent->HeadSent_)
    return end(Sent, ErrorCode::ConnectionClosed, true);
  refuse(Sent, *lost(*Sent));
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
