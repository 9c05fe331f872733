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

/// Settings that all stand-in programs have.
struct StandInOptions {
  std::string Listen_ = "127.0.0.1:0";
  /// The address to register; empty for the address that the process listens on.
  std::string Advertise_;
  std::string Id_;
  std::string DataCenter_;
  /// Address of the platform to register at; empty for none.
  std::string Platform_;
  /// "engine" or "service".
  std::string Kind_;
  std::string Service_;
  Incarnation Incarnation_{0};
  /// A leaving process ends after this time, even if work is unfinished.
  Duration LeaveTimeout_ = std::chrono::seconds(10);
  std::size_t MaxBodyBytes_ = 16UL * 1024 * 1024;
};

/// Runs a stand-in program: listens, registers, serves, and shuts down gracefully on SIGTERM or
/// SIGINT. Not thread-safe.
class StandInProcess {
public:
  /// Precondition: all references outlive the process.
  StandInProcess(boost::asio::io_context &Loop, StandInOptions Options, StandInHandler &Handler,
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
  StandInHandler &Handler_;
  HttpClient &Client_;
  Logger &Log_;
  HttpServer Server_;
  boost::asio::signal_set Signals_;
  Timer RetryTimer_;
  Timer PollTimer_;
  Timer DeadlineTimer_;
  bool Leaving_ = false;
  bool Finishing_ = false;
  bool Registering_ = false;
  /// Whether the entry changed while a registration was in progress.
  bool EntryOutdated_ = false;
};

/// An incarnation number, taken from the wall clock, that is higher in each later run of a program
/// on the same machine.
Incarnation nextIncarnation(const Clock &Time);

} // namespace rattancart
