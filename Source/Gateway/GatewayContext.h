#pragma once

#include "Core/Admission/RoomQueue.h"
#include "Core/Common/Logger.h"
#include "Core/Layers/PathChooser.h"
#include "Core/Recovery/RetryShare.h"
#include "Core/Serving/EndpointRoster.h"
#include "Core/Serving/ServingIndex.h"
#include "Gateway/AnswerLimits.h"
#include "Gateway/EndpointProtocol.h"
#include "Gateway/EngineHealthMonitor.h"
#include "Net/HttpSender.h"
#include "Process/MetricSet.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <random>

namespace rattancart {

/// What exchanges work with; outlives them.
struct GatewayContext {
  boost::asio::io_context &Loop_;
  const Clock &Time_;
  Logger &Log_;
  MetricSet &Metrics_;
  HttpSender &Client_;
  const EndpointProtocol &Dialect_;
  EndpointRoster &Roster_;
  PathChooser &Paths_;
  RetryShare &Retries_;
  EngineHealthMonitor &Health_;
  RoomQueue &Waiting_;
  std::mt19937 &Random_;
  DataCenterId Home_;
  AnswerLimits Answers_;
  /// Names the next request that waits.
  AdmissionTicket NextTicket_{1};

  /// Called when a request finds no path at home, so that those elsewhere matter.
  std::function<void()> OnNoPathAtHome_;

  /// A number drawn from [0, 1).
  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random_); }
};

} // namespace rattancart
