#include "StandIns/Site/FakeLayerEngine.h"

#include "StandIns/JsonFields.h"
#include "StandIns/StandInFront.h"

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

/// Work that depends on a lost stage is cut off after this time.
constexpr Duration StallLimit = std::chrono::milliseconds(2500);
/// Memory of one token in one layer.
constexpr double TokenLayerBytes = 7375;

std::uint64_t numberAt(std::string_view Text, std::size_t From) {
  std::uint64_t Value = 0;
  if (From <= Text.size())
    std::from_chars(Text.data() + From, Text.data() + Text.size(), Value);
  return Value;
}

} // namespace

FakeLayerEngine::FakeLayerEngine(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                                 LayerEngineOptions Options, EngineDirectory &Peers,
                                 ActivityLog &Ledger)
    : Time_(Time), Options_(std::move(Options)), Peers_(Peers), Ledger_(Ledger),
      Server_(std::make_unique<HttpServer>(Loop, HttpServerOptions{}, *this, Log)), Timer_(Loop),
      Run_(static_cast<std::uint64_t>(Time.wallNow().time_since_epoch().count())) {
  Timer_.every(Options_.EventInterval_, [this] { tick(); });
}

FakeLayerEngine::~FakeLayerEngine() { Peers_.erase(address()); }

std::error_code FakeLayerEngine::listen() {
  if (const std::error_code Failure = Server_->listen(NetAddress("127.0.0.1:0")))
    return Failure;
  Peers_[address()] = this;
  return {};
}

void FakeLayerEngine::setLife(RunState Next) {
  Life_ = Next;
  if (Next != RunState::Stopped)
    return;
  for (Stream &Each : Streams_)
    Each.Responder_->abort();
  Streams_.clear();
  Server_->stop();
}

LayerRange FakeLayerEngine::layers() const {
  return Time_.now() < BusyUntil_ ? LayerRange{} : Held_;
}

std::size_t FakeLayerEngine::countStreams(std::uint64_t Events) const {
  return static_cast<std::size_t>(
      std::count_if(Streams_.begin(), Streams_.end(),
                    [&](const Stream &Each) { return Each.NextEvent_ > Events; }));
}

void FakeLayerEngine::handle(HttpRequest Request, HttpResponderPtr Responder) {
  if (Life_ != RunState::Running) {
    Unanswered_.push_back(std::move(Responder));
    return;
  }
  const std::string_view Expected = Request.Headers_.get("X-Expect-Instance");
  if (!Expected.empty() && Expected != Options_.Id_)
    return refuse(*Responder, Request, 421, address());
  if (Request.path() == "/-/report")
    return report(*Responder);
  if (Request.path() == "/-/order")
    return order(Request, *Responder);
  start(Request, Responder);
}

void FakeLayerEngine::report(HttpResponder &Responder) const {
  const LayerRange Layers = layers();
  boost::json::object Body{{"busy", Time_.now() < BusyUntil_},
                           {"sequence", Orders_},
                           {"waiting", 0},
                           {"running", Streams_.size()},
                           {"kv_used", usedTokenLayers()},
                           {"kv_total", totalTokenLayers()},
                           {"pace", 1.0},
                           {"born", Run_},
                           {"stalled", boost::json::array{}}};
  if (Layers.End_ > Layers.Begin_)
    Body["layers"] = {{"from", Layers.Begin_}, {"target", Layers.End_}, {"version", 1}};
  Responder.send(jsonAnswer(200, boost::json::serialize(Body)));
}

void FakeLayerEngine::order(const HttpRequest &Request, HttpResponder &Responder) {
  const boost::json::value Value = parseObject(Request.Body_);
  const boost::json::object *Body = Value.if_object();
  if (!Body)
    return Responder.send(jsonAnswer(400, "{}"));
  const std::int64_t Fence = jsonInteger(*Body, "fencing_token", 0);
  if (Fence < Fence_)
    return Responder.send(jsonAnswer(412, "{}"));
  Fence_ = Fence;
  const auto Expected = jsonInteger(*Body, "expect", static_cast<std::int64_t>(Orders_));
  if (Time_.now() < BusyUntil_ || Expected != static_cast<std::int64_t>(Orders_))
    return Responder.send(jsonAnswer(409, "{}"));
  const LayerRange Wanted{static_cast<std::uint32_t>(jsonInteger(*Body, "from", 0)),
                          static_cast<std::uint32_t>(jsonInteger(*Body, "target", 0))};
  const std::uint32_t Count = Wanted.End_ - Wanted.Begin_;
  if (Count * Options_.LayerMb_ > Options_.SizeMb_)
    Ledger_.ProtocolErrors_.push_back(
        fmt::format("{} ordered to hold {} layers, more than fit", Options_.Id_, Count));
  ++Orders_;
  Held_ = Wanted;
  BusyUntil_ = Time_.now() + Options_.LoadTime_ * Count / Options_.ModelLayers_;
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

NetAddress FakeLayerEngine::brokenStage(const std::vector<Stage> &Path) const {
  for (const Stage &Each : Path) {
    const auto Place = Peers_.find(Each.Address_);
    if (Place == Peers_.end() || Place->second->life() != RunState::Running)
      return Each.Address_;
    const LayerRange Held = Place->second->layers();
    if (Each.Layers_.Begin_ < Held.Begin_ || Each.Layers_.End_ > Held.End_)
      return Each.Address_;
  }
  return {};
}

NetAddress FakeLayerEngine::refusingStage(const std::vector<Stage> &Path, double Tokens) const {
  if (NetAddress Broken = brokenStage(Path); !Broken.empty())
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
      for (const Stage &Part : Each.Path_)
        if (Part.Address_ == address())
          Used += Each.Tokens_ * (Part.Layers_.End_ - Part.Layers_.Begin_);
  return Used;
}

double FakeLayerEngine::totalTokenLayers() const {
  const double FreeMb = Options_.SizeMb_ - (Held_.End_ - Held_.Begin_) * Options_.LayerMb_;
  return std::max(0.0, FreeMb) * 1e6 / TokenLayerBytes;
}

void FakeLayerEngine::start(const HttpRequest &Request, const HttpResponderPtr &Responder) {
  const std::string Id(Request.Headers_.get("X-Attempt-Id"));
  std::vector<Stage> Path;
  std::uint32_t Reached = 0;
  std::string_view Rest = Request.Headers_.get("X-Hop-Count");
  while (!Rest.empty()) {
    const std::string_view Entry = Rest.substr(0, Rest.find(','));
    Rest.remove_prefix(std::min(Entry.size() + 1, Rest.size()));
    const std::size_t Equals = Entry.find('=');
    const std::size_t Dash = Entry.find('-', Equals);
    if (Dash == std::string_view::npos)
      return refuse(*Responder, Request, 400, address());
    Path.push_back({NetAddress(std::string(Entry.substr(0, Equals))),
                    {static_cast<std::uint32_t>(numberAt(Entry, Equals + 1)),
                     static_cast<std::uint32_t>(numberAt(Entry, Dash + 1))}});
    if (Path.back().Layers_.Begin_ != Reached)
      Ledger_.ProtocolErrors_.push_back(fmt::format("{} runs layers out of order", Id));
    Reached = Path.back().Layers_.End_;
  }
  if (Path.empty() || Path.front().Address_ != address())
    return refuse(*Responder, Request, 400, address());
  if (Reached != Options_.ModelLayers_)
    Ledger_.ProtocolErrors_.push_back(fmt::format("{} does not run every layer", Id));
  if (Request.Headers_.has("Authorization"))
    Ledger_.ProtocolErrors_.push_back(fmt::format("{} carries its key", Id));
  const std::string_view Tokens = Request.Headers_.get("X-Token-Counts");
  const double Prompt = static_cast<double>(numberAt(Tokens, 0));
  const std::uint64_t LastEvent = numberAt(Tokens, Tokens.find(',') + 1);
  const double AllTokens = Prompt + static_cast<double>(LastEvent);
  if (const NetAddress Refusing = refusingStage(Path, AllTokens); !Refusing.empty()) {
    if (const auto Place = Peers_.find(Refusing); Place != Peers_.end())
      ++Ledger_.Refusals_[Place->second->options().Id_];
    return refuse(*Responder, Request, 503, Refusing);
  }

  Stream Begun;
  Begun.Id_ = Id;
  Begun.Responder_ = Responder;
  Begun.Path_ = std::move(Path);
  Begun.Tokens_ = AllTokens;
  Begun.ReadAt_ = Time_.now() + Options_.PrefillTime_;
  Begun.NextEvent_ = numberAt(Request.Headers_.get("Last-Event-Id"), 0) + 1;
  Begun.LastEvent_ = LastEvent;
  if (Options_.PrefillTime_ == Duration{})
    sendHead(Begun);
  Streams_.push_back(std::move(Begun));
}

void FakeLayerEngine::sendHead(Stream &Each) {
  HttpResponse Head;
  Head.Headers_.add("X-Attempt-Id", Each.Id_);
  Head.Headers_.add("X-Response-Stamp", Options_.Id_);
  Head.Headers_.add("Content-Type", "text/event-stream");
  Each.Responder_->startChunked(std::move(Head));
  Each.HeadSent_ = true;
  Ledger_.Executions_[Each.Id_].push_back(Options_.Id_);
}

bool FakeLayerEngine::stall(Stream &Each, TimePoint Now) {
  if (Each.StalledSince_ == TimePoint{})
    Each.StalledSince_ = Now;
  if (Now - Each.StalledSince_ < StallLimit)
    return true;
  if (Each.HeadSent_) {
    Each.Responder_->abort();
    return false;
  }
  HttpRequest Request;
  Request.Headers_.add("X-Attempt-Id", Each.Id_);
  refuse(*Each.Responder_, Request, 503, brokenStage(Each.Path_));
  return false;
}

bool FakeLayerEngine::advance(Stream &Each, TimePoint Now) {
  if (!Each.Responder_->isOpen())
    return false;
  if (!brokenStage(Each.Path_).empty())
    return stall(Each, Now);
  Each.StalledSince_ = {};
  if (Now < Each.ReadAt_)
    return true;
  if (!Each.HeadSent_)
    sendHead(Each);
  if (Babbles_ && Ledger_.EndlessBytesSent_ <= MaxEndlessBytes) {
    if (Each.Responder_->queuedBytes() == 0) {
      Each.Responder_->sendChunk("data: " + std::string(EndlessPiece, 'x') + "\n");
      Ledger_.EndlessBytesSent_ += EndlessPiece;
    }
    return true;
  }
  Each.Responder_->sendChunk(fmt::format("id: {0}\ndata: token {0}\n\n", Each.NextEvent_));
  if (++Each.NextEvent_ <= Each.LastEvent_)
    return true;
  Each.Responder_->finishChunked();
  return false;
}

void FakeLayerEngine::tick() {
  if (Life_ != RunState::Running)
    return;
  const TimePoint Now = Time_.now();
  for (auto Each = Streams_.begin(); Each != Streams_.end();)
    Each = advance(*Each, Now) ? std::next(Each) : Streams_.erase(Each);
}

} // namespace rattancart
