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

/// Asks engines for their reports, and remembers for all requests who does not answer.
///
/// Answers losses: when an engine falls silent, the first stream that misses events has the whole
/// path asked; all others learn the result without asking again. Not thread-safe.
class EngineProber final : public EngineHealthMonitor {
public:
  /// Precondition: all arguments outlive the object.
  EngineProber(boost::asio::io_context &Loop, const Clock &Time, Logger &Log, MetricSet &Metrics,
               HttpClient &Client, const EndpointProtocol &Dialect, EndpointRoster &Roster);

  void check(const std::vector<EndpointId> &Engines, TimePoint Since, Callback Done) override;
  void noteActivity(const EndpointId &Engine) override { Roster_.noteSign(Engine, Time_.now()); }
  void suspect(const EndpointId &Engine) override;
  /// Calls Handler whenever an engine is found silent.
  void onSilent(std::function<void(const EndpointId &)> Handler) {
    SilentHandlers_.push_back(std::move(Handler));
  }
  /// Asks one engine for its report over a kept connection; on failure it is asked as by check.
  /// Answered is called once the outcome is known.
  void poll(const EndpointId &Engine, std::function<void()> Answered);

private:
  /// One engine being asked, over two connections, so that one lost packet does not take it out.
  struct Probe {
    explicit Probe(boost::asio::io_context &Loop) : Timer_(Loop) {}
    std::vector<std::function<void(bool)>> Waiting_;
    std::vector<HttpCallId> Calls_;
    Timer Timer_;
    TimePoint Until_{};
    std::uint32_t Failed_ = 0;
    bool Extended_ = false;
  };
  using ProbePtr = std::shared_ptr<Probe>;

  void ask(const EndpointId &Engine, TimePoint Since, std::function<void(bool)> Answered);
  void probe(const EndpointId &Engine, std::function<void(bool)> Answered);
  void send(const EndpointId &Engine, const ProbePtr &Asked);
  void onAnswer(const EndpointId &Engine, const ProbePtr &Asked, const HttpResult &Outcome);
  void onProbeTime(const EndpointId &Engine, const ProbePtr &Asked);
  void tryAgain(const EndpointId &Engine, const ProbePtr &Asked);
  void armProbe(const EndpointId &Engine, const ProbePtr &Asked);
  bool take(const EndpointId &Engine, const HttpResult &Outcome);
  void finish(const EndpointId &Engine, bool Answers);
  void recheck();

  const Clock &Time_;
  Logger &Log_;
  MetricSet &Metrics_;
  HttpClient &Client_;
  const EndpointProtocol &Dialect_;
  EndpointRoster &Roster_;
  Timer Timer_;
  boost::asio::io_context &Loop_;
  std::map<EndpointId, ProbePtr> Probes_;
  std::vector<std::function<void(const EndpointId &)>> SilentHandlers_;
  /// Engines that this process found silent, with the time.
  std::map<EndpointId, TimePoint> Silent_;
};

} // namespace rattancart
