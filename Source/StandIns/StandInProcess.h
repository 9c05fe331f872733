#pragma once

#include "Core/Common/Ids.h"
#include "Core/Common/Logger.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/Timer.h"
#include "StandIns/StandInHandler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <string>

namespace rattancart {

/// What the stand-in programs have in common on their command lines.
struct StandInOptions {
  std::string Listen_ = "127.0.0.1:0";
  /// The address to register; empty for the one that is listened on.
  std::string Advertise_;
  std::string Id_;
  std::string DataCenter_;
  /// Where to register; empty for none.
  std::string Platform_;
  /// "engine" or "service".
  std::string Kind_;
  std::string Service_;
  Incarnation Incarnation_{0};
  /// A leaving process ends after this time, even with work left.
  Duration LeaveTimeout_ = std::chrono::seconds(10);
  std::size_t MaxBodyBytes_ = 16UL * 1024 * 1024;
};

/// The life of a stand-in program: listens, registers, serves, and ends gracefully on SIGTERM or
/// SIGINT. Not thread-safe.
class StandInProcess {
public:
  /// Precondition: all references outlive the process.
  StandInProcess(boost::asio::io_context &Loop, StandInOptions Options, StandInHandler &Front,
                 HttpClient &Client, Logger &Log);

  /// Runs until a signal ends the process; returns the exit code.
  int run();

private:
  void registerSelf();
  void unregister();
  void leave();
  void awaitIdle();
  void finish();
  void awaitAnswers();

  boost::asio::io_context &Loop_;
  StandInOptions Options_;
  StandInHandler &Front_;
  HttpClient &Client_;
  Logger &Log_;
  HttpServer Server_;
  boost::asio::signal_set Signals_;
  Timer Retry_;
  Timer Poll_;
  Timer Deadline_;
  bool Leaving_ = false;
  bool Finishing_ = false;
  bool Registering_ = false;
  bool Stale_ = false;
};

/// A number that rises between runs of one program on one machine.
Incarnation nextIncarnation(const Clock &Time);

} // namespace rattancart
