#pragma once

#include "Core/Common/Logger.h"
#include "Core/Serving/EndpointRoster.h"
#include "Gateway/EndpointProtocol.h"
#include "Gateway/EngineHealthMonitor.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "Process/MetricSet.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace rattancart {

/// Requests reports from engines and records, for all requests, which engines do not answer.
///
/// When an engine stops answering, the first stream that misses events has all engines of its path
/// probed; the other streams get the result without further probes. Not thread-safe.
class EngineProber final : public EngineHealthMonitor {
public:
  /// Precondition: all arguments outlive the object.
  EngineProber(boost::asio::io_context &Loop, const Clock &Time, Logger &Log, MetricSet &Metrics,
               HttpClient &Client, const EndpointProtocol &Protocol, EndpointRoster &Roster);

  void check(const std::vector<EndpointId> &Engines, TimePoint Since, Callback Done) override;
  void noteActivity(const EndpointId &Engine) override {
    Roster_.noteActivity(Engine, Time_.now());
  }
  void suspect(const EndpointId &Engine) override;
  /// Probes an engine over new connections even if it is silent; does nothing while a probe of it
  /// is under way.
  void probeAgain(const EndpointId &Engine);
  /// Adds a handler that is called whenever an engine is found silent.
  void onSilent(std::function<void(const EndpointId &)> Handler) {
    SilentHandlers_.push_back(std::move(Handler));
  }
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
    TimePoint Deadline_{};
    std::uint32_t Failed_ = 0;
    std::uint32_t Refused_ = 0;
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
  void armTimeout(const EndpointId &Engine, const ProbePtr &Pending);
  /// Takes the report of an engine. False if there is none.
  bool applyReport(const EndpointId &Engine, const Target &SentTo, const HttpResult &Outcome);
  void noteAddressTaken(const EndpointId &Engine, const Target &SentTo);
  void finish(const EndpointId &Engine, bool Answers);
  void probeSilentEngines();

  const Clock &Time_;
  Logger &Log_;
  MetricSet &Metrics_;
  HttpClient &Client_;
  const EndpointProtocol &Protocol_;
  EndpointRoster &Roster_;
  Timer Timer_;
  boost::asio::io_context &Loop_;
  std::map<EndpointId, ProbePtr> Probes_;
  std::vector<std::function<void(const EndpointId &)>> SilentHandlers_;
  /// Engines that this process found silent, and when.
  std::map<EndpointId, TimePoint> Silent_;
};

} // namespace rattancart
