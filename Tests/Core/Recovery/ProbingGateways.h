#pragma once

#include "Core/Recovery/ProbeVerdict.h"
#include "SiteModel/EventQueue.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattancart {

/// Engines that accept connections one after the other, as the users' engines do.
class ProbedEngines {
public:
  explicit ProbedEngines(EventQueue &Queue) : Queue_(Queue) {}

  void setAnswers(const EndpointId &Engine, bool Answers) { Mute_[Engine] = !Answers; }
  /// Opens a connection; calls Answer when the report arrives, and never if the engine is mute.
  void connect(const EndpointId &Engine, std::function<void()> Answer) {
    static constexpr Duration AcceptTime = std::chrono::milliseconds(1);
    static constexpr Duration ReportTime = std::chrono::milliseconds(2);
    if (Mute_[Engine])
      return;
    TimePoint &FreeAt = FreeAt_[Engine];
    FreeAt = std::max(FreeAt, Queue_.now()) + AcceptTime;
    Queue_.after(FreeAt + ReportTime - Queue_.now(), std::move(Answer));
  }

private:
  EventQueue &Queue_;
  std::map<EndpointId, bool> Mute_;
  std::map<EndpointId, TimePoint> FreeAt_;
};

/// A gateway that probes engines as EngineProber does, on a simulated clock.
class ProbingGateway {
public:
  /// When an engine was found silent, and how long after its probe was sent.
  struct Finding {
    EndpointId Engine_;
    Duration After_;
  };

  ProbingGateway(EventQueue &Queue, ProbedEngines &Engines, DetectionOptions Options,
                 std::uint32_t Gateways)
      : Queue_(Queue), Engines_(Engines), Verdict_(Options) {
    Verdict_.setGateways(Gateways);
  }

  /// Nothing arrives until Until; what was sent meanwhile then arrives at intervals.
  void stopReception(TimePoint Until) { NoReceptionUntil_ = Until; }
  /// The process does not run until Until. Its timers fire before it reads what has arrived.
  void pause(TimePoint Until) { PausedUntil_ = Until; }

  /// A stream is silent and has the engines checked.
  void check(const std::vector<EndpointId> &Engines) {
    for (const EndpointId &Engine : Engines)
      probe(Engine);
  }
  /// A stream event of the endpoint arrives every Interval.
  void receiveFrom(const EndpointId &Endpoint, Duration Interval) {
    Queue_.every(Interval, [this, Endpoint] {
      arrive([this, Endpoint] { Verdict_.onReceived(Endpoint, Queue_.now()); });
    });
  }
  /// A datagram of another gateway arrives every Interval.
  void receiveDatagrams(Duration Interval) {
    Queue_.every(Interval, [this] { arrive([this] { Verdict_.onOtherReceived(Queue_.now()); }); });
  }
  void report(const SilenceReport &Report, double RandomFraction) {
    if (Verdict_.onReport(Report, Queue_.now(), RandomFraction).ProbeNow_)
      probe(Report.Engine_);
    if (const auto Next = Verdict_.nextDueAt())
      Queue_.after(*Next - Queue_.now(), [this] {
        for (const DueProbe &Due : Verdict_.takeDue(Queue_.now()))
          probe(Due.Engine_);
      });
  }

  ProbeVerdict &verdict() { return Verdict_; }
  const std::vector<Finding> &silent() const { return Silent_; }
  std::size_t answered() const { return Answered_; }
  std::size_t undecided() const { return Undecided_; }

private:
  struct Probe {
    TimePoint SentAt_{};
    std::uint64_t Number_ = 0;
  };

  void arrive(std::function<void()> Work) {
    static constexpr Duration ReadTime = std::chrono::microseconds(100);
    const TimePoint From = std::max(NoReceptionUntil_, PausedUntil_ + std::chrono::milliseconds(1));
    if (Queue_.now() >= From)
      return Work();
    NextReadAt_ = std::max(NextReadAt_, From) + ReadTime;
    Queue_.after(NextReadAt_ - Queue_.now(), std::move(Work));
  }
  void fire(std::function<void()> Work) {
    if (Queue_.now() >= PausedUntil_)
      return Work();
    Queue_.after(PausedUntil_ - Queue_.now(), std::move(Work));
  }
  bool isOpen(const EndpointId &Engine, std::uint64_t Number) const {
    const auto It = Probes_.find(Engine);
    return It != Probes_.end() && It->second.Number_ == Number;
  }

  void probe(const EndpointId &Engine) {
    if (Probes_.contains(Engine) || Known_.contains(Engine))
      return;
    const std::uint64_t Number = ++Number_;
    Probes_[Engine] = {Queue_.now(), Number};
    Verdict_.onProbeSent(Engine, false, Queue_.now());
    connect(Engine, Number);
    Queue_.after(ProbeVerdict::SecondRequestDelay, [this, Engine, Number] {
      fire([this, Engine, Number] {
        if (!isOpen(Engine, Number))
          return;
        connect(Engine, Number);
        arm(Engine, Number, Verdict_.onLastRequest(Engine, Queue_.now()));
      });
    });
  }
  void connect(const EndpointId &Engine, std::uint64_t Number) {
    Engines_.connect(Engine, [this, Engine, Number] {
      arrive([this, Engine, Number] {
        // An answer to a probe that has ended goes to a closed connection.
        if (!isOpen(Engine, Number))
          return;
        Verdict_.onReceived(Engine, Queue_.now());
        Verdict_.onProbeEnded(Engine, true);
        Probes_.erase(Engine);
        ++Answered_;
      });
    });
  }
  void arm(const EndpointId &Engine, std::uint64_t Number, TimePoint Until) {
    Queue_.after(Until - Queue_.now(), [this, Engine, Number] {
      fire([this, Engine, Number] {
        if (isOpen(Engine, Number))
          onTimeLimit(Engine, Number);
      });
    });
  }
  void onTimeLimit(const EndpointId &Engine, std::uint64_t Number) {
    const ProbeDecision Decision = Verdict_.onTimeLimit(Engine, Queue_.now());
    if (Decision.Outcome_ == ProbeOutcome::Extended)
      return arm(Engine, Number, Decision.Until_);
    Verdict_.onProbeEnded(Engine, false);
    const Duration After = Queue_.now() - Probes_[Engine].SentAt_;
    Probes_.erase(Engine);
    if (Decision.Outcome_ == ProbeOutcome::Undecided) {
      ++Undecided_;
      return;
    }
    Known_.insert(Engine);
    Silent_.push_back({Engine, After});
  }

  EventQueue &Queue_;
  ProbedEngines &Engines_;
  ProbeVerdict Verdict_;
  TimePoint NoReceptionUntil_{};
  TimePoint PausedUntil_{};
  TimePoint NextReadAt_{};
  std::map<EndpointId, Probe> Probes_;
  std::set<EndpointId> Known_;
  std::uint64_t Number_ = 0;
  std::vector<Finding> Silent_;
  std::size_t Answered_ = 0;
  std::size_t Undecided_ = 0;
};

} // namespace rattancart
