#include "Gateway/EngineProber.h"

#include <memory>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// An engine answers a report within a few ms. Streams should go on elsewhere within 200 ms of
/// their last event, and reading the prompt again takes a third of that.
constexpr Duration ProbeTime = milliseconds(50);
constexpr std::uint32_t ProbeTries = 2;
/// An engine that has not answered by then is asked over a second connection.
constexpr Duration SecondTry = milliseconds(15);
/// A timer this late tells that the process itself stood still, and answers may be waiting.
constexpr Duration OwnDelay = milliseconds(10);
/// A kept connection may have fallen silent by itself; then a new one is tried.
constexpr Duration PollConnectTime = milliseconds(120);
constexpr Duration PollTime = milliseconds(250);
/// A silent engine gets no work for this long, unless it answers before.
constexpr Duration SilentHold = milliseconds(1500);
/// How often silent engines are asked again.
constexpr Duration RecheckInterval = milliseconds(500);

} // namespace

EngineProber::EngineProber(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                           MetricSet &Metrics, HttpClient &Client, const EndpointProtocol &Dialect,
                           EndpointRoster &Roster)
    : Time_(Time), Log_(Log), Metrics_(Metrics), Client_(Client), Dialect_(Dialect),
      Roster_(Roster), Timer_(Loop), Loop_(Loop) {
  Timer_.every(RecheckInterval, [this] { recheck(); });
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
    ask(Engine, Since, [State, Engine](bool Answers) {
      if (!Answers)
        State->Silent_.push_back(Engine);
      if (--State->Open_ == 0)
        State->Done_(State->Silent_);
    });
}

void EngineProber::ask(const EndpointId &Engine, TimePoint Since,
                       std::function<void(bool)> Answered) {
  const EndpointRecord *Record = Roster_.find(Engine);
  if (!Record || Record->silent(Time_.now()))
    return Answered(false);
  if (Record->SignAt_ >= Since)
    return Answered(true);
  probe(Engine, std::move(Answered));
}

void EngineProber::suspect(const EndpointId &Engine) {
  const EndpointRecord *Record = Roster_.find(Engine);
  if (Record && !Record->silent(Time_.now()))
    probe(Engine, [](bool) {});
}

void EngineProber::probe(const EndpointId &Engine, std::function<void(bool)> Answered) {
  ProbePtr &Asked = Probes_[Engine];
  if (Asked) {
    Asked->Waiting_.push_back(std::move(Answered));
    return;
  }
  Asked = std::make_shared<Probe>(Loop_);
  Asked->Waiting_.push_back(std::move(Answered));
  const ProbePtr Held = Asked;
  send(Engine, Held);
  Asked->Timer_.after(SecondTry, [this, Engine, Weak = std::weak_ptr(Held)] {
    if (const auto Asking = Weak.lock())
      tryAgain(Engine, Asking);
  });
}

void EngineProber::tryAgain(const EndpointId &Engine, const ProbePtr &Asked) {
  send(Engine, Asked);
  armProbe(Engine, Asked);
}

void EngineProber::armProbe(const EndpointId &Engine, const ProbePtr &Asked) {
  Asked->Until_ = Time_.now() + ProbeTime - SecondTry;
  Asked->Timer_.after(ProbeTime - SecondTry, [this, Engine, Weak = std::weak_ptr(Asked)] {
    if (const auto Held = Weak.lock())
      onProbeTime(Engine, Held);
  });
}

void EngineProber::onProbeTime(const EndpointId &Engine, const ProbePtr &Asked) {
  if (Time_.now() - Asked->Until_ > OwnDelay && !std::exchange(Asked->Extended_, true))
    return armProbe(Engine, Asked);
  finish(Engine, false);
}

void EngineProber::send(const EndpointId &Engine, const ProbePtr &Asked) {
  const EndpointRecord *Record = Roster_.find(Engine);
  if (!Record)
    return;
  HttpSendOptions Options;
  Options.Use_ = ConnectionUse::Fresh;
  // The probe's own timer ends it before.
  Options.ConnectTimeout_ = 4 * ProbeTime;
  Options.ResponseTimeout_ = 4 * ProbeTime;
  Metrics_.count("probes_total", "check");
  Asked->Calls_.push_back(Client_.send(
      Record->Listing_.Address_, Dialect_.reportRequest(Engine), Options,
      [this, Engine, Asked](const HttpResult &Outcome) { onAnswer(Engine, Asked, Outcome); }));
}

void EngineProber::onAnswer(const EndpointId &Engine, const ProbePtr &Asked,
                            const HttpResult &Outcome) {
  const auto Running = Probes_.find(Engine);
  if (Running == Probes_.end() || Running->second != Asked)
    return;
  if (take(Engine, Outcome))
    return finish(Engine, true);
  if (++Asked->Failed_ >= ProbeTries)
    return finish(Engine, false);
  if (Asked->Calls_.size() < ProbeTries)
    tryAgain(Engine, Asked);
}

bool EngineProber::take(const EndpointId &Engine, const HttpResult &Outcome) {
  if (Outcome.Error_)
    return false;
  const auto Report = Dialect_.parseReport(Outcome.Response_);
  if (!Report)
    return false;
  const EndpointRecord *Record = Roster_.find(Engine);
  const LayerRange Before = Record ? Record->layers() : LayerRange{};
  // False if the address now belongs to a later run or another engine.
  if (!Roster_.report(Engine, *Report, Time_.now()))
    return false;
  if (Before != Report->Layers_)
    Log_.log(LogEvent::LayersChanged, {{"engine", Engine.str()},
                                       {"from", Report->Layers_.Begin_},
                                       {"to", Report->Layers_.End_},
                                       {"orders", Report->Orders_},
                                       {"busy", static_cast<int>(Report->Busy_)}});
  return true;
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
    Log_.log(LogEvent::EndpointSilent, {{"endpoint", Engine.str()}, {"tries", ProbeTries}});
    for (const auto &Handler : SilentHandlers_)
      Handler(Engine);
  }
  if (Finished.empty())
    return;
  Finished.mapped()->Timer_.cancel();
  for (const HttpCallId Call : Finished.mapped()->Calls_)
    Client_.cancel(Call);
  for (const auto &Answered : Finished.mapped()->Waiting_)
    Answered(Answers);
}

void EngineProber::poll(const EndpointId &Engine, std::function<void()> Answered) {
  const EndpointRecord *Record = Roster_.find(Engine);
  if (!Record || Silent_.contains(Engine))
    return Answered();
  HttpSendOptions Options;
  Options.ConnectTimeout_ = PollConnectTime;
  Options.ResponseTimeout_ = PollTime;
  Metrics_.count("probes_total", "poll");
  Client_.send(Record->Listing_.Address_, Dialect_.reportRequest(Engine), Options,
               [this, Engine, Answered = std::move(Answered)](const HttpResult &Outcome) {
                 if (take(Engine, Outcome)) {
                   finish(Engine, true);
                   return Answered();
                 }
                 ask(Engine, Time_.now(), [Answered](bool) { Answered(); });
               });
}

void EngineProber::recheck() {
  const TimePoint Now = Time_.now();
  std::erase_if(Silent_, [&](const auto &Entry) { return !Roster_.find(Entry.first); });
  for (const auto &[Engine, Since] : Silent_) {
    // Work stays away while the probe is on its way.
    Roster_.markSilent(Engine, Now, Now + SilentHold);
    probe(Engine, [](bool) {});
  }
}

} // namespace rattancart
