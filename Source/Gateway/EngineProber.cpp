#include "Gateway/EngineProber.h"

#include <memory>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// An engine sends its report within a few ms. A stream should continue on another path within
/// 200 ms of its last event, and processing the prompt again takes a third of that.
constexpr Duration ProbeTimeout = milliseconds(50);
constexpr std::uint32_t RequestsPerProbe = 2;
/// If an engine has not answered by then, the request is repeated over a second connection.
constexpr Duration SecondTryDelay = milliseconds(15);
/// If the timer fires later than this, the process itself was delayed, and responses that have
/// arrived may not have been read yet.
constexpr Duration MaxTimerDelay = milliseconds(10);
/// Time limits of a poll. A pooled connection may be dead although the engine works; after these
/// limits the engine is probed over new connections.
constexpr Duration PollConnectTimeout = milliseconds(120);
constexpr Duration PollTimeout = milliseconds(250);
/// A silent engine gets no work for this long, unless it answers before.
constexpr Duration SilentHold = milliseconds(1500);
/// How often silent engines are probed again.
constexpr Duration RecheckInterval = milliseconds(500);

} // namespace

EngineProber::EngineProber(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                           MetricSet &Metrics, HttpClient &Client, const EndpointProtocol &Protocol,
                           EndpointRoster &Roster)
    : Time_(Time), Log_(Log), Metrics_(Metrics), Client_(Client), Protocol_(Protocol),
      Roster_(Roster), Timer_(Loop), Loop_(Loop) {
  Timer_.every(RecheckInterval, [this] { probeSilentEngines(); });
}

void EngineProber::check(const std::vector<EndpointId> &Engines, TimePoint Since, Callback Done) {
  struct Round {
    std::size_t Open_ = 0;
    std::vector<EndpointId> Silent_;
    EngineProber::Callback Done_;
  };
  auto State = std::make_shared<Round>();
  State->Open_ = Engines.size();
  State->Done_ = std::move(Done);
  for (const EndpointId &Engine : Engines)
    checkEngine(Engine, Since, [State, Engine](bool Answers) {
      if (!Answers)
        State->Silent_.push_back(Engine);
      if (--State->Open_ == 0)
        State->Done_(State->Silent_);
    });
}

void EngineProber::checkEngine(const EndpointId &Engine, TimePoint Since,
                               std::function<void(bool)> OnResult) {
  const EndpointRecord *Record = Roster_.find(Engine);
  if (!Record || Record->silent(Time_.now()) || Record->addressTaken(Time_.now()))
    return OnResult(false);
  if (Record->LastActivityAt_ >= Since)
    return OnResult(true);
  probe(Engine, std::move(OnResult));
}

void EngineProber::suspect(const EndpointId &Engine) {
  const EndpointRecord *Record = Roster_.find(Engine);
  if (Record && !Record->silent(Time_.now()))
    probe(Engine, [](bool) {});
}

void EngineProber::probeAgain(const EndpointId &Engine) {
  const EndpointRecord *Record = Roster_.find(Engine);
  if (Record && !Record->addressTaken(Time_.now()))
    probe(Engine, [](bool) {});
}

void EngineProber::probe(const EndpointId &Engine, std::function<void(bool)> OnResult) {
  ProbePtr &Pending = Probes_[Engine];
  if (Pending) {
    Pending->Callbacks_.push_back(std::move(OnResult));
    return;
  }
  Pending = std::make_shared<Probe>(Loop_);
  Pending->Callbacks_.push_back(std::move(OnResult));
  const ProbePtr Held = Pending;
  send(Engine, Held);
  Pending->Timer_.after(SecondTryDelay, [this, Engine, Weak = std::weak_ptr(Held)] {
    if (const auto Asking = Weak.lock())
      retry(Engine, Asking);
  });
}

void EngineProber::retry(const EndpointId &Engine, const ProbePtr &Pending) {
  send(Engine, Pending);
  armTimeout(Engine, Pending);
}

void EngineProber::armTimeout(const EndpointId &Engine, const ProbePtr &Pending) {
  Pending->Deadline_ = Time_.now() + ProbeTimeout - SecondTryDelay;
  Pending->Timer_.after(ProbeTimeout - SecondTryDelay,
                        [this, Engine, Weak = std::weak_ptr(Pending)] {
                          if (const auto Held = Weak.lock())
                            onProbeTimeout(Engine, Held);
                        });
}

void EngineProber::onProbeTimeout(const EndpointId &Engine, const ProbePtr &Pending) {
  if (Time_.now() - Pending->Deadline_ > MaxTimerDelay && !std::exchange(Pending->Extended_, true))
    return armTimeout(Engine, Pending);
  finish(Engine, false);
}

void EngineProber::send(const EndpointId &Engine, const ProbePtr &Pending) {
  const EndpointRecord *Record = Roster_.find(Engine);
  if (!Record)
    return;
  HttpSendOptions Options;
  Options.Use_ = ConnectionUse::Fresh;
  // The timer of the probe ends the request earlier.
  Options.ConnectTimeout_ = 4 * ProbeTimeout;
  Options.ResponseTimeout_ = 4 * ProbeTimeout;
  Metrics_.count("probes_total", "check");
  const Target SentTo{Record->Listing_.Address_, Record->Listing_.Run_};
  Pending->Calls_.push_back(
      Client_.send(SentTo.Address_, Protocol_.reportRequest(Engine), Options,
                   [this, Engine, SentTo, Pending](const HttpResult &Outcome) {
                     onAnswer(Engine, SentTo, Pending, Outcome);
                   }));
}

void EngineProber::onAnswer(const EndpointId &Engine, const Target &SentTo, const ProbePtr &Pending,
                            const HttpResult &Outcome) {
  const auto Running = Probes_.find(Engine);
  if (Running == Probes_.end() || Running->second != Pending)
    return;
  if (applyReport(Engine, SentTo, Outcome))
    return finish(Engine, true);
  if (Outcome.Refused_ && ++Pending->Refused_ >= RequestsPerProbe)
    Roster_.noteConnectionRefused(Engine, Time_.now());
  if (++Pending->Failed_ >= RequestsPerProbe)
    return finish(Engine, false);
  if (Pending->Calls_.size() < RequestsPerProbe)
    retry(Engine, Pending);
}

bool EngineProber::applyReport(const EndpointId &Engine, const Target &SentTo,
                               const HttpResult &Outcome) {
  if (Outcome.Error_)
    return false;
  const auto Report = Protocol_.parseReport(Outcome.Response_);
  if (!Report) {
    if (Report.error().Code_ == ErrorCode::WrongEndpoint)
      noteAddressTaken(Engine, SentTo);
    return false;
  }
  const EndpointRecord *Record = Roster_.find(Engine);
  const LayerRange Before = Record ? Record->layers() : LayerRange{};
  // The roster rejects the report if the address now belongs to a later run or another engine.
  if (!Roster_.updateReport(Engine, *Report, Time_.now()))
    return false;
  if (Before != Report->Layers_)
    Log_.log(LogEvent::LayersChanged, {{"engine", Engine.str()},
                                       {"from", Report->Layers_.Begin_},
                                       {"to", Report->Layers_.End_},
                                       {"orders", Report->Orders_},
                                       {"busy", static_cast<int>(Report->Busy_)}});
  return true;
}

void EngineProber::noteAddressTaken(const EndpointId &Engine, const Target &SentTo) {
  if (!Roster_.noteAddressTaken(Engine, SentTo.Address_, SentTo.Run_, Time_.now()))
    return;
  Metrics_.count("addresses_taken_total", Roster_.find(Engine)->Listing_.DataCenter_.str());
  Log_.log(LogEvent::AddressTaken,
           {{"endpoint", Engine.str()}, {"address", SentTo.Address_.str()}, {"message", "report"}});
}

void EngineProber::finish(const EndpointId &Engine, bool Answers) {
  const TimePoint Now = Time_.now();
  bool FoundSilent = false;
  if (Answers) {
    if (const auto Silent = Silent_.find(Engine); Silent != Silent_.end()) {
      Log_.log(
          LogEvent::EndpointAnswers,
          {{"endpoint", Engine.str()}, {"silent_ms", (Now - Silent->second) / milliseconds(1)}});
      Silent_.erase(Silent);
    }
    Roster_.markHeard(Engine, Now);
  } else {
    FoundSilent = Silent_.emplace(Engine, Now).second;
    Roster_.markSilent(Engine, Now, Now + SilentHold);
  }
  auto Finished = Probes_.extract(Engine);
  if (FoundSilent) {
    Log_.log(LogEvent::EndpointSilent, {{"endpoint", Engine.str()}, {"tries", RequestsPerProbe}});
    for (const auto &Handler : SilentHandlers_)
      Handler(Engine);
  }
  if (Finished.empty())
    return;
  Finished.mapped()->Timer_.cancel();
  for (const HttpCallId Call : Finished.mapped()->Calls_)
    Client_.cancel(Call);
  for (const auto &Notify : Finished.mapped()->Callbacks_)
    Notify(Answers);
}

void EngineProber::poll(const EndpointId &Engine, std::function<void()> OnResult) {
  const EndpointRecord *Record = Roster_.find(Engine);
  if (!Record || Silent_.contains(Engine) || Record->addressTaken(Time_.now()))
    return OnResult();
  HttpSendOptions Options;
  Options.ConnectTimeout_ = PollConnectTimeout;
  Options.ResponseTimeout_ = PollTimeout;
  Metrics_.count("probes_total", "poll");
  const Target SentTo{Record->Listing_.Address_, Record->Listing_.Run_};
  Client_.send(SentTo.Address_, Protocol_.reportRequest(Engine), Options,
               [this, Engine, SentTo, OnResult = std::move(OnResult)](const HttpResult &Outcome) {
                 if (applyReport(Engine, SentTo, Outcome)) {
                   finish(Engine, true);
                   return OnResult();
                 }
                 checkEngine(Engine, Time_.now(), [OnResult](bool) { OnResult(); });
               });
}

void EngineProber::probeSilentEngines() {
  const TimePoint Now = Time_.now();
  std::erase_if(Silent_, [&](const auto &Entry) { return !Roster_.find(Entry.first); });
  for (const auto &[Engine, Since] : Silent_) {
    if (const EndpointRecord *Record = Roster_.find(Engine); Record && Record->addressTaken(Now))
      continue;
    // The engine gets no work while the probe is under way.
    Roster_.markSilent(Engine, Now, Now + SilentHold);
    probe(Engine, [](bool) {});
  }
}

} // namespace rattancart
