#include "Gateway/EngineProber.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t RequestsPerProbe = 2;
/// The time limits of ProbeVerdict end the requests of a probe earlier.
constexpr Duration ProbeRequestTimeout = 4 * ProbeVerdict::FirstLimit;
constexpr Duration ExtendedRequestTimeout = 4 * ProbeVerdict::MaxLimit;
/// Time limits of a poll. A pooled connection may be dead although the engine works; after these
/// limits the engine is probed over new connections.
constexpr Duration PollConnectTimeout = milliseconds(120);
constexpr Duration PollTimeout = milliseconds(250);
/// A silent engine gets no work for this long, unless it answers before.
constexpr Duration SilentHold = milliseconds(1500);
/// How often silent engines are probed again.
constexpr Duration RecheckInterval = milliseconds(500);

/// Whether a request ended by its own time limit, or could not leave this machine. Neither shows
/// that the engine is gone.
bool endedWithoutEngine(const HttpResult &Outcome) {
  return Outcome.Error_ == ErrorCode::ResponseTimeout ||
         (Outcome.Error_ == ErrorCode::ConnectFailed && !Outcome.Refused_);
}

} // namespace

EngineProber::EngineProber(Dependencies Use, DetectionOptions Options)
    : Use_(Use), Verdict_(Options), RecheckTimer_(Use.Loop_), DueTimer_(Use.Loop_) {
  RecheckTimer_.every(RecheckInterval, [this] { probeSilentEngines(); });
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
  const EndpointRecord *Record = Use_.Roster_.find(Engine);
  if (!Record || Record->silent(Use_.Time_.now()) || Record->addressTaken(Use_.Time_.now()))
    return OnResult(false);
  if (Record->LastActivityAt_ >= Since) {
    Verdict_.onHeardBeforeProbe(Engine, Use_.Time_.now());
    return OnResult(true);
  }
  probe(Engine, std::move(OnResult));
}

void EngineProber::noteActivity(const EndpointId &Engine) {
  const TimePoint Now = Use_.Time_.now();
  Use_.Roster_.noteActivity(Engine, Now);
  Verdict_.onReceived(Engine, Now);
}

void EngineProber::suspect(const EndpointId &Engine) {
  const EndpointRecord *Record = Use_.Roster_.find(Engine);
  if (Record && !Record->silent(Use_.Time_.now()))
    probe(Engine, [](bool) {});
}

void EngineProber::probeAgain(const EndpointId &Engine) {
  const EndpointRecord *Record = Use_.Roster_.find(Engine);
  if (Record && !Record->addressTaken(Use_.Time_.now()))
    probe(Engine, [](bool) {});
}

void EngineProber::probe(const EndpointId &Engine, std::function<void(bool)> OnResult) {
  ProbePtr &Pending = Probes_[Engine];
  if (Pending) {
    Pending->Callbacks_.push_back(std::move(OnResult));
    return;
  }
  Pending = std::make_shared<Probe>(Use_.Loop_);
  Verdict_.onProbeSent(Engine, Silent_.contains(Engine), Use_.Time_.now());
  Pending->Callbacks_.push_back(std::move(OnResult));
  const ProbePtr Held = Pending;
  send(Engine, Held);
  Pending->Timer_.after(ProbeVerdict::SecondRequestDelay,
                        [this, Engine, Weak = std::weak_ptr(Held)] {
                          if (const auto Asking = Weak.lock())
                            retry(Engine, Asking);
                        });
}

void EngineProber::retry(const EndpointId &Engine, const ProbePtr &Pending) {
  send(Engine, Pending);
  armTimeout(Engine, Pending, Verdict_.onLastRequest(Engine, Use_.Time_.now()));
}

void EngineProber::armTimeout(const EndpointId &Engine, const ProbePtr &Pending, TimePoint Until) {
  Pending->Timer_.after(Until - Use_.Time_.now(), [this, Engine, Weak = std::weak_ptr(Pending)] {
    if (const auto Held = Weak.lock())
      onProbeTimeout(Engine, Held);
  });
}

void EngineProber::onProbeTimeout(const EndpointId &Engine, const ProbePtr &Pending) {
  const ProbeDecision Decision = Verdict_.onTimeLimit(Engine, Use_.Time_.now());
  switch (Decision.Outcome_) {
  case ProbeOutcome::Extended:
    logExtension(Engine, Pending, Decision.Reason_);
    return armTimeout(Engine, Pending, Decision.Until_);
  case ProbeOutcome::Undecided:
    return finishUndecided(Engine);
  case ProbeOutcome::Silent:
    return finishSilent(Engine);
  }
}

void EngineProber::logExtension(const EndpointId &Engine, const ProbePtr &Pending,
                                std::string_view Reason) {
  Use_.Metrics_.count("probe_extensions_total", std::string(Reason));
  if (std::exchange(Pending->Extended_, true) || Silent_.contains(Engine))
    return;
  Use_.Log_.log(LogEvent::ProbeExtended, {{"endpoint", Engine.str()}, {"reason", Reason}});
}

void EngineProber::send(const EndpointId &Engine, const ProbePtr &Pending) {
  const EndpointRecord *Record = Use_.Roster_.find(Engine);
  if (!Record)
    return;
  HttpSendOptions Options;
  Options.Use_ = ConnectionUse::Fresh;
  Options.ConnectTimeout_ = Verdict_.enabled() ? ExtendedRequestTimeout : ProbeRequestTimeout;
  Options.ResponseTimeout_ = Options.ConnectTimeout_;
  Use_.Metrics_.count("probes_total", "check");
  const Target SentTo{Record->Listing_.Address_, Record->Listing_.Run_};
  Pending->Calls_.push_back(
      Use_.Client_.send(SentTo.Address_, Use_.Protocol_.reportRequest(Engine), Options,
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
    return finishAnswered(Engine);
  // The time limit of the probe decides.
  if (Verdict_.enabled() && endedWithoutEngine(Outcome))
    return;
  Pending->Refused_ |= Outcome.Refused_;
  if (Outcome.Error_ == ErrorCode::ConnectFailed && Outcome.Refused_ &&
      ++Pending->RefusedConnects_ >= RequestsPerProbe)
    Use_.Roster_.noteConnectionRefused(Engine, Use_.Time_.now());
  if (++Pending->Failed_ >= RequestsPerProbe)
    return finishSilent(Engine);
  if (Pending->Calls_.size() < RequestsPerProbe)
    retry(Engine, Pending);
}

bool EngineProber::applyReport(const EndpointId &Engine, const Target &SentTo,
                               const HttpResult &Outcome) {
  if (!Outcome.Error_ || Outcome.Refused_)
    Verdict_.onReceived(Engine, Use_.Time_.now());
  if (Outcome.Error_)
    return false;
  const auto Report = Use_.Protocol_.parseReport(Outcome.Response_);
  if (!Report) {
    if (Report.error().Code_ == ErrorCode::WrongEndpoint)
      noteAddressTaken(Engine, SentTo);
    return false;
  }
  const EndpointRecord *Record = Use_.Roster_.find(Engine);
  const LayerRange Before = Record ? Record->layers() : LayerRange{};
  // The roster rejects the report if the address now belongs to a later run or another engine.
  if (!Use_.Roster_.updateReport(Engine, *Report, Use_.Time_.now()))
    return false;
  if (Before != Report->Layers_)
    Use_.Log_.log(LogEvent::LayersChanged, {{"engine", Engine.str()},
                                            {"from", Report->Layers_.Begin_},
                                            {"to", Report->Layers_.End_},
                                            {"orders", Report->Orders_},
                                            {"busy", static_cast<int>(Report->Busy_)}});
  return true;
}

void EngineProber::noteAddressTaken(const EndpointId &Engine, const Target &SentTo) {
  if (!Use_.Roster_.noteAddressTaken(Engine, SentTo.Address_, SentTo.Run_, Use_.Time_.now()))
    return;
  Use_.Metrics_.count("addresses_taken_total",
                      Use_.Roster_.find(Engine)->Listing_.DataCenter_.str());
  Use_.Log_.log(
      LogEvent::AddressTaken,
      {{"endpoint", Engine.str()}, {"address", SentTo.Address_.str()}, {"message", "report"}});
}

void EngineProber::finishAnswered(const EndpointId &Engine) {
  const TimePoint Now = Use_.Time_.now();
  if (const auto Silent = Silent_.find(Engine); Silent != Silent_.end()) {
    Use_.Log_.log(
        LogEvent::EndpointAnswers,
        {{"endpoint", Engine.str()}, {"silent_ms", (Now - Silent->second) / milliseconds(1)}});
    Silent_.erase(Silent);
  }
  Use_.Roster_.markHeard(Engine, Now);
  Verdict_.onProbeEnded(Engine, true);
  if (auto Finished = Probes_.extract(Engine))
    notify(*Finished.mapped(), true);
}

void EngineProber::finishSilent(const EndpointId &Engine) {
  const TimePoint Now = Use_.Time_.now();
  const auto Pending = Probes_.find(Engine);
  const bool Refused = Pending != Probes_.end() && Pending->second->Refused_;
  // A refused connection is an answer as far as this gateway's reception is concerned.
  Verdict_.onProbeEnded(Engine, Refused);
  const bool FoundSilent = Silent_.emplace(Engine, Now).second;
  Use_.Roster_.markSilent(Engine, Now, Now + SilentHold);
  auto Finished = Probes_.extract(Engine);
  if (FoundSilent) {
    Use_.Log_.log(LogEvent::EndpointSilent, {{"endpoint", Engine.str()},
                                             {"tries", RequestsPerProbe},
                                             {"refused", static_cast<int>(Refused)}});
    for (const auto &Handler : SilentHandlers_)
      Handler(Engine, Refused);
  }
  if (!Finished.empty())
    notify(*Finished.mapped(), false);
}

void EngineProber::finishUndecided(const EndpointId &Engine) {
  Use_.Metrics_.count("probes_undecided_total", "no_reception");
  Use_.Log_.log(LogEvent::ProbeUndecided, {{"endpoint", Engine.str()}});
  Verdict_.onProbeEnded(Engine, false);
  if (auto Finished = Probes_.extract(Engine))
    notify(*Finished.mapped(), true);
}

void EngineProber::notify(Probe &Finished, bool Answers) {
  Finished.Timer_.cancel();
  for (const HttpCallId Call : Finished.Calls_)
    Use_.Client_.cancel(Call);
  for (const auto &Notify : Finished.Callbacks_)
    Notify(Answers);
}

void EngineProber::poll(const EndpointId &Engine, std::function<void()> OnResult) {
  const EndpointRecord *Record = Use_.Roster_.find(Engine);
  if (!Record || Silent_.contains(Engine) || Record->addressTaken(Use_.Time_.now()))
    return OnResult();
  HttpSendOptions Options;
  Options.ConnectTimeout_ = PollConnectTimeout;
  Options.ResponseTimeout_ = PollTimeout;
  Use_.Metrics_.count("probes_total", "poll");
  const Target SentTo{Record->Listing_.Address_, Record->Listing_.Run_};
  Use_.Client_.send(
      SentTo.Address_, Use_.Protocol_.reportRequest(Engine), Options,
      [this, Engine, SentTo, OnResult = std::move(OnResult)](const HttpResult &Outcome) {
        if (applyReport(Engine, SentTo, Outcome)) {
          finishAnswered(Engine);
          return OnResult();
        }
        checkEngine(Engine, Use_.Time_.now(), [OnResult](bool) { OnResult(); });
      });
}

void EngineProber::probeSilentEngines() {
  const TimePoint Now = Use_.Time_.now();
  std::erase_if(Silent_, [&](const auto &Entry) { return !Use_.Roster_.find(Entry.first); });
  for (const auto &[Engine, Since] : Silent_) {
    if (const EndpointRecord *Record = Use_.Roster_.find(Engine);
        Record && Record->addressTaken(Now))
      continue;
    // The engine gets no work while the probe is under way.
    Use_.Roster_.markSilent(Engine, Now, Now + SilentHold);
    Verdict_.scheduleRecheck(Engine, Now, randomFraction());
  }
  sendDueProbes();
}

bool EngineProber::onReported(const SilenceReport &Report) {
  const ReportDecision Decision = Verdict_.onReport(Report, Use_.Time_.now(), randomFraction());
  if (Verdict_.enabled() && Decision.Delay_)
    Use_.Log_.log(LogEvent::SilenceReported, {{"endpoint", Report.Engine_.str()},
                                              {"reporter", Report.Reporter_},
                                              {"refused", static_cast<int>(Report.Refused_)},
                                              {"delay_ms", *Decision.Delay_ / milliseconds(1)}});
  if (Decision.ProbeNow_)
    suspect(Report.Engine_);
  armDueTimer();
  return Decision.Forward_;
}

bool EngineProber::rejectsOwnerFinding(const EndpointId &Engine) const {
  const EndpointRecord *Record = Use_.Roster_.find(Engine);
  return Record && Verdict_.contradictsOwner(Record->LastActivityAt_, Use_.Time_.now());
}

void EngineProber::sendDueProbes() {
  for (const DueProbe &Due : Verdict_.takeDue(Use_.Time_.now())) {
    const EndpointRecord *Record = Use_.Roster_.find(Due.Engine_);
    if (!Record)
      continue;
    if (!Due.ReportedAt_) {
      if (Silent_.contains(Due.Engine_))
        probe(Due.Engine_, [](bool) {});
      continue;
    }
    if (std::max(Record->LastActivityAt_, Record->ReportedAt_) >= *Due.ReportedAt_) {
      Use_.Metrics_.count("reported_engines_total", "contradicted");
      Use_.Log_.log(LogEvent::ReportContradicted, {{"endpoint", Due.Engine_.str()}});
      continue;
    }
    Use_.Metrics_.count("reported_engines_total", "probed");
    suspect(Due.Engine_);
  }
  armDueTimer();
}

void EngineProber::armDueTimer() {
  if (const auto Next = Verdict_.nextDueAt())
    DueTimer_.after(std::max(*Next - Use_.Time_.now(), Duration{}), [this] { sendDueProbes(); });
}

} // namespace rattancart
