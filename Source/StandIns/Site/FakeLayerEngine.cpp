#include "StandIns/Site/FakeLayerEngine.h"

#include "StandIns/JsonFields.h"
#include "StandIns/StandInHandler.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace rattancart {

namespace {

/// A stream with an unavailable stage is ended after this time.
constexpr Duration MaxStallTime = std::chrono::milliseconds(2500);
/// Memory of one token in one layer.
constexpr double TokenLayerBytes = 7375;
/// A restart is tried again after this time if the engine's port is in use.
constexpr Duration RestartRetryInterval = std::chrono::milliseconds(50);

std::uint64_t parseNumberAt(std::string_view Text, std::size_t From) {
  std::uint64_t Value = 0;
  if (From <= Text.size())
    std::from_chars(Text.data() + From, Text.data() + Text.size(), Value);
  return Value;
}

/// Whether Part is one of the parts of a prompt ("ID:TOKENS,ID:TOKENS,...") and not the last.
bool isSharedPart(std::string_view Prompt, std::string_view Part) {
  for (std::size_t Comma = Prompt.find(','); Comma != std::string_view::npos;
       Comma = Prompt.find(',')) {
    if (Prompt.substr(0, std::min(Comma, Prompt.find(':'))) == Part)
      return true;
    Prompt.remove_prefix(Comma + 1);
  }
  return false;
}

} // namespace

FakeLayerEngine::FakeLayerEngine(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                                 LayerEngineOptions Options, EngineDirectory &Peers,
                                 ActivityLog &Activity)
    : Loop_(Loop), Time_(Time), Log_(Log), Options_(std::move(Options)), Peers_(Peers),
      Activity_(Activity),
      Server_(std::make_unique<HttpServer>(Loop, HttpServerOptions{}, *this, Log)), Timer_(Loop),
      RestartTimer_(Loop),
      Incarnation_(static_cast<std::uint64_t>(Time.wallNow().time_since_epoch().count())) {
  Timer_.every(Options_.EventInterval_, [this] { advanceStreams(); });
}

FakeLayerEngine::~FakeLayerEngine() { Peers_.erase(address()); }

std::error_code FakeLayerEngine::listen() {
  if (const std::error_code Failure = Server_->listen(NetAddress("127.0.0.1:0")))
    return Failure;
  Peers_[address()] = this;
  return {};
}

void FakeLayerEngine::setRunState(RunState Next) {
  RunState_ = Next;
  RestartTimer_.cancel();
  if (Next != RunState::Stopped)
    return;
  for (Stream &Each : Streams_)
    Each.Responder_->abort();
  Streams_.clear();
  Server_->stop();
}

void FakeLayerEngine::replace() {
  LayersBefore_ = layers();
  Replaced_ = true;
  for (Stream &Each : Streams_)
    Each.Responder_->abort();
  Streams_.clear();
  HeldLayers_ = {};
  LoadedAt_ = {};
  OrderCount_ = 0;
  HighestFence_ = 0;
}

LayerRange FakeLayerEngine::layers() const {
  return Time_.now() < LoadedAt_ ? LayerRange{} : HeldLayers_;
}

std::size_t FakeLayerEngine::countStreams(std::uint64_t Events) const {
  return static_cast<std::size_t>(
      std::count_if(Streams_.begin(), Streams_.end(),
                    [&](const Stream &Each) { return Each.NextEvent_ > Events; }));
}

void FakeLayerEngine::handle(HttpRequest Request, HttpResponderPtr Responder) {
  if (RunState_ != RunState::Running) {
    Unanswered_.push_back(std::move(Responder));
    return;
  }
  const std::string_view Expected = Request.Headers_.get("X-Expect-Instance");
  if (Replaced_ && Request.path() != "/-/report") {
    if (Request.path() == "/-/order")
      ++Activity_.MisdirectedOrders_[Options_.Id_];
    return refuse(*Responder, Request, 421, address());
  }
  if (!Expected.empty() && Expected != Options_.Id_)
    return refuse(*Responder, Request, 421, address());
  if (Request.path() == "/-/report")
    return sendReport(*Responder);
  if (Request.path() == "/-/order")
    return applyOrder(Request, *Responder);
  startStream(Request, Responder);
}

void FakeLayerEngine::sendReport(HttpResponder &Responder) const {
  const LayerRange Layers = layers();
  boost::json::object Body{{"busy", Time_.now() < LoadedAt_},
                           {"sequence", OrderCount_},
                           {"waiting", 0},
                           {"running", Streams_.size()},
                           {"kv_used", usedTokenLayers()},
                           {"kv_total", totalTokenLayers()},
                           {"pace", 1.0},
                           {"born", Incarnation_ + (Replaced_ ? 1 : 0)},
                           {"stalled", boost::json::array{}}};
  if (Layers.End_ > Layers.Begin_)
    Body["layers"] = {{"from", Layers.Begin_}, {"target", Layers.End_}, {"version", 1}};
  Responder.send(jsonAnswer(200, boost::json::serialize(Body)));
}

void FakeLayerEngine::applyOrder(const HttpRequest &Request, HttpResponder &Responder) {
  const boost::json::value Value = parseObject(Request.Body_);
  const boost::json::object *Body = Value.if_object();
  if (!Body)
    return Responder.send(jsonAnswer(400, "{}"));
  const std::int64_t Fence = jsonInteger(*Body, "fencing_token", 0);
  if (Fence < HighestFence_)
    return Responder.send(jsonAnswer(412, "{}"));
  HighestFence_ = Fence;
  const auto Expected = jsonInteger(*Body, "expect", static_cast<std::int64_t>(OrderCount_));
  if (Time_.now() < LoadedAt_ || Expected != static_cast<std::int64_t>(OrderCount_))
    return Responder.send(jsonAnswer(409, "{}"));
  const LayerRange Wanted{static_cast<std::uint32_t>(jsonInteger(*Body, "from", 0)),
                          static_cast<std::uint32_t>(jsonInteger(*Body, "target", 0))};
  const std::uint32_t Count = Wanted.End_ - Wanted.Begin_;
  if (Count * Options_.LayerMb_ > Options_.MemoryMb_)
    Activity_.ProtocolErrors_.push_back(fmt::format(
        "{} was ordered to hold {} layers, more than its memory holds", Options_.Id_, Count));
  ++OrderCount_;
  HeldLayers_ = Wanted;
  LoadedAt_ = Time_.now() + Options_.LoadTime_ * Count / Options_.ModelLayers_;
  if (LoseOrderAnswers_)
    return Responder.abort();
  Responder.send(jsonAnswer(202, "{}"));
}

void FakeLayerEngine::refuse(HttpResponder &Responder, const HttpRequest &Request,
                             std::uint32_t Status, const NetAddress &Fault) const {
  HttpResponse Answer = jsonAnswer(Status, "{}");
  Answer.Headers_.add("X-Attempt-Id", std::string(Request.Headers_.get("X-Attempt-Id")));
  Answer.Headers_.add("X-Not-Executed", "1");
  Answer.Headers_.add("At-Server", Fault.str());
  Responder.send(std::move(Answer));
}

NetAddress FakeLayerEngine::firstUnavailableStage(const std::vector<Stage> &Path) const {
  for (const Stage &Each : Path) {
    const auto Peer = Peers_.find(Each.Address_);
    if (Peer == Peers_.end() || Peer->second->runState() != RunState::Running)
      return Each.Address_;
    const LayerRange Held = Peer->second->layers();
    if (Each.Layers_.Begin_ < Held.Begin_ || Each.Layers_.End_ > Held.End_)
      return Each.Address_;
  }
  return {};
}

NetAddress FakeLayerEngine::firstRefusingStage(const std::vector<Stage> &Path,
                                               double Tokens) const {
  if (NetAddress Broken = firstUnavailableStage(Path); !Broken.empty())
    return Broken;
  for (const Stage &Each : Path) {
    const FakeLayerEngine &Engine = *Peers_.find(Each.Address_)->second;
    const double Needed = Tokens * (Each.Layers_.End_ - Each.Layers_.Begin_);
    if (Engine.leaving() || Engine.usedTokenLayers() + Needed > Engine.totalTokenLayers())
      return Each.Address_;
  }
  return {};
}

double FakeLayerEngine::usedTokenLayers() const {
  double Used = 0;
  for (const auto &[Address, Engine] : Peers_)
    for (const Stream &Each : Engine->Streams_)
      for (const Stage &Hop : Each.Path_)
        if (Hop.Address_ == address())
          Used += Each.Tokens_ * (Hop.Layers_.End_ - Hop.Layers_.Begin_);
  return Used;
}

double FakeLayerEngine::totalTokenLayers() const {
  const double FreeMb =
      Options_.MemoryMb_ - (HeldLayers_.End_ - HeldLayers_.Begin_) * Options_.LayerMb_;
  return std::max(0.0, FreeMb) * 1e6 / TokenLayerBytes;
}

void FakeLayerEngine::startStream(const HttpRequest &Request, const HttpResponderPtr &Responder) {
  const std::string Id(Request.Headers_.get("X-Attempt-Id"));
  Activity_.Arrivals_.push_back({Id, Options_.Id_, Time_.now()});
  const bool Crashes = !CrashingPromptPart_.empty() &&
                       isSharedPart(Request.Headers_.get("X-Prompt-Prefix"), CrashingPromptPart_);
  if (Crashes)
    Activity_.CrashingRequests_[CrashingPromptPart_].push_back({Id, Options_.Id_, Time_.now()});
  std::vector<Stage> Path;
  std::uint32_t CoveredLayers = 0;
  std::string_view Rest = Request.Headers_.get("X-Hop-Count");
  while (!Rest.empty()) {
    const std::string_view Entry = Rest.substr(0, Rest.find(','));
    Rest.remove_prefix(std::min(Entry.size() + 1, Rest.size()));
    const std::size_t Equals = Entry.find('=');
    const std::size_t Dash = Entry.find('-', Equals);
    if (Dash == std::string_view::npos)
      return refuse(*Responder, Request, 400, address());
    Path.push_back({NetAddress(std::string(Entry.substr(0, Equals))),
                    {static_cast<std::uint32_t>(parseNumberAt(Entry, Equals + 1)),
                     static_cast<std::uint32_t>(parseNumberAt(Entry, Dash + 1))}});
    if (Path.back().Layers_.Begin_ != CoveredLayers)
      Activity_.ProtocolErrors_.push_back(
          fmt::format("request {} lists its layers out of order", Id));
    CoveredLayers = Path.back().Layers_.End_;
  }
  if (Path.empty() || Path.front().Address_ != address())
    return refuse(*Responder, Request, 400, address());
  if (CoveredLayers != Options_.ModelLayers_)
    Activity_.ProtocolErrors_.push_back(fmt::format("request {} does not run every layer", Id));
  if (Request.Headers_.has("Authorization"))
    Activity_.ProtocolErrors_.push_back(
        fmt::format("request {} carries the key of its customer", Id));
  const std::string_view Tokens = Request.Headers_.get("X-Token-Counts");
  const double Prompt = static_cast<double>(parseNumberAt(Tokens, 0));
  const std::uint64_t LastEvent = parseNumberAt(Tokens, Tokens.find(',') + 1);
  const double AllTokens = Prompt + static_cast<double>(LastEvent);
  if (const NetAddress Refusing = firstRefusingStage(Path, AllTokens); !Refusing.empty()) {
    if (const auto Peer = Peers_.find(Refusing); Peer != Peers_.end())
      ++Activity_.Refusals_[Peer->second->options().Id_];
    return refuse(*Responder, Request, 503, Refusing);
  }

  Stream Started;
  Started.Id_ = Id;
  Started.Responder_ = Responder;
  Started.Path_ = std::move(Path);
  Started.Tokens_ = AllTokens;
  Started.PrefilledAt_ = Time_.now() + Options_.PrefillTime_;
  if (Crashes)
    Started.CrashingPart_ = CrashingPromptPart_;
  Started.NextEvent_ = parseNumberAt(Request.Headers_.get("Last-Event-Id"), 0) + 1;
  Started.LastEvent_ = LastEvent;
  if (Options_.PrefillTime_ == Duration{})
    sendHead(Started);
  Streams_.push_back(std::move(Started));
}

void FakeLayerEngine::sendHead(Stream &Active) {
  HttpResponse Head;
  Head.Headers_.add("X-Attempt-Id", Active.Id_);
  Head.Headers_.add("X-Response-Stamp", Options_.Id_);
  Head.Headers_.add("Content-Type", "text/event-stream");
  Active.Responder_->startChunked(std::move(Head));
  Active.HeadSent_ = true;
  Activity_.Executions_[Active.Id_].push_back(Options_.Id_);
}

bool FakeLayerEngine::handleStall(Stream &Active, TimePoint Now) {
  if (Active.StalledSince_ == TimePoint{})
    Active.StalledSince_ = Now;
  if (Now - Active.StalledSince_ < MaxStallTime)
    return true;
  if (Active.HeadSent_) {
    Active.Responder_->abort();
    return false;
  }
  HttpRequest Request;
  Request.Headers_.add("X-Attempt-Id", Active.Id_);
  refuse(*Active.Responder_, Request, 503, firstUnavailableStage(Active.Path_));
  return false;
}

bool FakeLayerEngine::advance(Stream &Active, TimePoint Now) {
  if (!Active.Responder_->isOpen())
    return false;
  if (!firstUnavailableStage(Active.Path_).empty())
    return handleStall(Active, Now);
  Active.StalledSince_ = {};
  if (Now < Active.PrefilledAt_)
    return true;
  if (!Active.HeadSent_)
    sendHead(Active);
  if (!Active.CrashingPart_.empty()) {
    if (!Active.CrashesAt_)
      Active.CrashesAt_ = Now + Options_.CrashDelay_;
    return true;
  }
  if (SendsEndlessEvent_ && Activity_.EndlessBytesSent_ <= MaxEndlessBytes) {
    if (Active.Responder_->queuedBytes() == 0) {
      Active.Responder_->sendChunk("data: " + std::string(EndlessChunkBytes, 'x') + "\n");
      Activity_.EndlessBytesSent_ += EndlessChunkBytes;
    }
    return true;
  }
  Active.Responder_->sendChunk(fmt::format("id: {0}\ndata: token {0}\n\n", Active.NextEvent_));
  if (++Active.NextEvent_ <= Active.LastEvent_)
    return true;
  Active.Responder_->finishChunked();
  return false;
}

void FakeLayerEngine::advanceStreams() {
  if (RunState_ != RunState::Running)
    return;
  const TimePoint Now = Time_.now();
  for (auto Each = Streams_.begin(); Each != Streams_.end();)
    Each = advance(*Each, Now) ? std::next(Each) : Streams_.erase(Each);
  const auto Crashing = std::find_if(Streams_.begin(), Streams_.end(), [Now](const Stream &Each) {
    return Each.CrashesAt_ && Now >= *Each.CrashesAt_;
  });
  if (Crashing != Streams_.end())
    crash(Crashing->CrashingPart_);
}

void FakeLayerEngine::crash(std::string Part) {
  Activity_.PromptCrashes_[std::move(Part)].push_back({Options_.Id_, Time_.now()});
  setRunState(RunState::Stopped);
  RestartTimer_.after(Options_.CrashDowntime_, [this] { restart(); });
}

void FakeLayerEngine::restart() {
  auto Server = std::make_unique<HttpServer>(Loop_, HttpServerOptions{}, *this, Log_);
  if (Server->listen(address()))
    return RestartTimer_.after(RestartRetryInterval, [this] { restart(); });
  Server_ = std::move(Server);
  Unanswered_.clear();
  HeldLayers_ = {};
  LoadedAt_ = {};
  OrderCount_ = 0;
  HighestFence_ = 0;
  Incarnation_ = static_cast<std::uint64_t>(Time_.wallNow().time_since_epoch().count());
  RunState_ = RunState::Running;
}

} // namespace rattancart
