#pragma once

#include "Core/Admission/ClassReserve.h"
#include "Core/Admission/EndpointLimiter.h"
#include "Core/Admission/StreamAdmissionQueue.h"
#include "Core/Common/Logger.h"
#include "Core/Layers/PathChooser.h"
#include "Core/Membership/PeerDirectory.h"
#include "Core/Recovery/EndpointSlowStart.h"
#include "Core/Recovery/PromptQuarantine.h"
#include "Core/Recovery/RetryShare.h"
#include "Core/Serving/EndpointRoster.h"
#include "Core/Serving/ServingIndex.h"
#include "Gateway/EndpointProtocol.h"
#include "Gateway/EngineHealthMonitor.h"
#include "Gateway/ReachabilityMonitor.h"
#include "Gateway/ResponseLimits.h"
#include "Gateway/TurnStore.h"
#include "Net/HttpSender.h"
#include "Process/MetricSet.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <random>

namespace rattancart {

/// Services and state shared by all exchanges; outlives them.
struct GatewayContext {
  boost::asio::io_context &Loop_;
  const Clock &Time_;
  Logger &Log_;
  MetricSet &Metrics_;
  HttpSender &Client_;
  const EndpointProtocol &Protocol_;
  EndpointRoster &Roster_;
  PathChooser &Paths_;
  RetryShare &Retries_;
  EngineHealthMonitor &Health_;
  StreamAdmissionQueue &AdmissionQueue_;
  PromptQuarantine &Quarantine_;
  EndpointLimiter &Limiter_;
  std::mt19937 &Random_;
  DataCenterId Home_;
  ResponseLimits ResponseLimits_;
  /// Ticket of the next request that enters the admission queue.
  AdmissionTicket NextTicket_{1};

  /// The memory that requests leave free for more urgent classes.
  ClassReserve Reserve_{};

  /// Called when a request finds no path in the home data centre, so that engines of other data
  /// centres are needed.
  std::function<void()> OnNoPathAtHome_;

  /// Called when a request would use an endpoint of another data centre that limits its requests,
  /// so that the demand of all gateways there is needed.
  std::function<void()> OnRemoteLimit_;

  /// Null if endpoints that have started or recovered are not treated differently.
  EndpointSlowStart *SlowStart_ = nullptr;

  /// Hands out the trials of quarantined parts of prompts. Null if no such part is ever tried.
  TurnStore *Turns_ = nullptr;

  /// Whether this process reaches endpoints, and the gateways that take its requests if it doesn't.
  /// Null if requests are never forwarded.
  const ReachabilityMonitor *Reach_ = nullptr;
  PeerDirectory *Peers_ = nullptr;
  /// The address at which other gateways reach this one.
  std::string Member_;

  /// A random number in [0, 1).
  double randomFraction() const { return std::uniform_real_distribution<double>(0, 1)(Random_); }
};

} // namespace rattancart
