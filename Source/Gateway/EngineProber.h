#pragma once

#include "Core/Common/Logger.h"
#include "Core/Recovery/ProbeVerdict.h"
#include "Core/Serving/EndpointRoster.h"
#include "Gateway/EndpointProtocol.h"
#include "Gateway/EngineHealthMonitor.h"
#include "Net/HttpSender.h"
#include "Net/Timer.h"
#include "Process/MetricSet.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace rattancart {

/// Requests reports from engines and records, for all requests, which engines do not answer.
///
/// When an engine stops answering, the first stream that misses events has all engines of its path
/// probed; the other streams get the result without further probes. ProbeVerdict decides what a
/// missing answer means, and when an engine is probed that another gateway reported. Not
/// thread-safe.
class EngineProber final : public EngineHealthMonitor {
public:
  /// All references must outlive the prober.
  struct Dependencies {
    boost::asio::io_context &Loop_;
    const Clock &Time_;
    Logger &Log_;
    MetricSet &Metrics_;
    HttpSender &Client_;
    const EndpointProtocol &Protocol_;
    EndpointRoster &Roster_;
    std::mt19937 &Random_;
  };

  EngineProber(Dependencies Use, DetectionOptions Options);

  void check(const std::vector<EndpointId> &Engines, TimePoint Since, Callback Done) override;
  void noteActivity(const EndpointId &Engine) override;
  void noteReceived(const EndpointId &Endpoint) override {
    Verdict_.onReceived(Endpoint, Use_.Time_.now());
  }
  /// Something arrived from the network that no endpoint sent.
  void noteOtherReception() { Verdict_.onOtherReceived(Use_.Time_.now()); }
  void suspect(const EndpointId &Engine) override;
  /// Probes an engine over new connections even if it is silent; does nothing while a probe of it
  /// is under way.
  void probeAgain(const EndpointId &Engine);
  /// Another gateway reported an engine. Returns whether the owner passes the report on.
  bool onReported(const SilenceReport &Report);
  /// Whether this gateway ignores that the owner finds the engine silent.
  bool rejectsOwnerFinding(const EndpointId &Engine) const;
  /// Adds a handler that is called whenever an engine is found silent. Refused: it refused or reset
  /// the connections.
  void onSilent(std::function<void(const EndpointId &, bool Refused)> Handler) {
    SilentHandlers_.push_back(std::move(Handler));
  }
  void setOptions(DetectionOptions Options) { Verdict_.setOptions(Options); }
  void setGateways(std::optional<std::uint32_t> Gateways) { Verdict_.setGateways(Gateways); }
  /// Requests the report of one engine over a pooled connection, and on failure probes the engine
  /// as check does. Calls OnResult once the outcome is known.
  void poll(const EndpointId &Engine, std::function<void()> OnResult);

private:
  /// A check of one engine under way. It uses two connections, so that one lost packet does not
  /// make the engine count as silent.
  struct Probe {
    explicit Probe(boost::asio::io_context &Loop) : Timer_(Loop) {}
    std::vector<std::function<void(bool)>> Callbacks_;
    std::vector<HttpCallId> Calls_;
    Timer Timer_;
    std::uint32_t Failed_ = 0;
    bool Refused_ = false;
    /// Connections that the engine's host refused.
    std::uint32_t RefusedConnects_ = 0;
    bool Extended_ = false;
  };
  using ProbePtr = std::shared_ptr<Probe>;
  /// The listing that a report request was sent to.
  struct Target {
    NetAddress Address_;
    Incarnation Run_{0};
  };

  void checkEngine(const EndpointId &Engine, TimePoint Since, std::function<void(bool)> OnResult);
  void probe(const EndpointId &Engine, std::function<void(bool)> OnResult);
  void send(const EndpointId &Engine, const ProbePtr &Pending);
  void onAnswer(const EndpointId &Engine, const Target &SentTo, const ProbePtr &Pending,
                const HttpResult &Outcome);
  void onProbeTimeout(const EndpointId &Engine, const ProbePtr &Pending);
  void retry(const EndpointId &Engine, const ProbePtr &Pending);
  void armTimeout(const EndpointId &Engine, const ProbePtr &Pending, TimePoint Until);
  void logExtension(const EndpointId &Engine, const ProbePtr &Pending, std::string_view Reason);
  /// Takes the report of an engine. False if there is none.
  bool applyReport(const EndpointId &Engine, const Target &SentTo, const HttpResult &Outcome);
  void noteAddressTaken(const EndpointId &Engine, const Target &SentTo);
  void finishAnswered(const EndpointId &Engine);
  void finishSilent(const EndpointId &Engine);
  void finishUndecided(const EndpointId &Engine);
  /// Cancels the requests of a probe that has ended, and notifies those that wait for it.
  void notify(Probe &Finished, bool Answers);
  void probeSilentEngines();
  /// Sends the delayed probes that are due.
  void sendDueProbes();
  void armDueTimer();
  double randomFraction() { return std::uniform_real_distribution<double>(0, 1)(Use_.Random_); }

  Dependencies Use_;
  ProbeVerdict Verdict_;
  Timer RecheckTimer_;
  Timer DueTimer_;
  std::map<EndpointId, ProbePtr> Probes_;
  std::vector<std::function<void(const EndpointId &, bool)>> SilentHandlers_;
  /// Engines that this process found silent, and when.
  std::map<EndpointId, TimePoint> Silent_;
};

} // namespace rattancart
