#include "StandIns/StandInProcess.h"

#include "Core/Common/ErrorCode.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <utility>

namespace rattancart {

namespace json = boost::json;

namespace {

constexpr Duration RegisterRetry = std::chrono::milliseconds(200);
/// The process ends after this time although answers are still unsent.
constexpr Duration MaxFinishTime = std::chrono::seconds(2);
constexpr Duration IdlePoll = std::chrono::milliseconds(10);

HttpServerOptions serverOptions(const StandInOptions &Options) {
  HttpServerOptions Server;
  Server.MaxBodyBytes_ = Options.MaxBodyBytes_;
  return Server;
}

std::string entryText(const StandInOptions &Options, bool Leaving) {
  json::object Entry{{"id", Options.Id_},
                     {"kind", Options.Kind_},
                     {"address", Options.Advertise_},
                     {"data_center", Options.DataCenter_},
                     {"state", Leaving ? "leaving" : "live"},
                     {"incarnation", Options.Incarnation_.value()}};
  if (!Options.Service_.empty())
    Entry["service"] = Options.Service_;
  return json::serialize(Entry);
}

} // namespace

Incarnation nextIncarnation(const Clock &Time) {
  return Incarnation(static_cast<std::uint64_t>(Time.wallNow().time_since_epoch().count()));
}

StandInProcess::StandInProcess(boost::asio::io_context &Loop, StandInOptions Options,
                               StandInHandler &Handler, HttpClient &Client, Logger &Log)
    : Loop_(Loop), Options_(std::move(Options)), Handler_(Handler), Client_(Client), Log_(Log),
      Server_(Loop, serverOptions(Options_), Handler, Log), Signals_(Loop, SIGTERM, SIGINT),
      RetryTimer_(Loop), PollTimer_(Loop), DeadlineTimer_(Loop) {}

int StandInProcess::run() {
  const std::error_code Failure = Server_.listen(NetAddress(Options_.Listen_));
  if (Failure) {
    fmt::print(stderr, "{}: {}\n", Options_.Listen_, Failure.message());
    return errorInfo(static_cast<ErrorCode>(Failure.value())).ExitCode_;
  }
  if (Options_.Advertise_.empty())
    Options_.Advertise_ = Server_.address().str();
  Handler_.setAddress(NetAddress(Options_.Advertise_));
  Handler_.onEntryChanged([this](const EntryChange &Change) {
    Leaving_ = Leaving_ || Change.Leaving_;
    Options_.Incarnation_ = Change.Incarnation_;
    registerSelf();
  });
  fmt::print("listening {}\n", Server_.address().str());
  std::fflush(stdout);
  Log_.log(LogEvent::ProcessStarted, {{"address", Server_.address().str()}});
  registerSelf();
  Signals_.async_wait([this](boost::system::error_code E, int) {
    if (!E)
      leave();
  });
  Loop_.run();
  Log_.log(LogEvent::ShutdownFinished, {});
  return 0;
}

void StandInProcess::registerSelf() {
  if (Options_.Platform_.empty())
    return;
  if (Registering_) {
    EntryOutdated_ = true;
    return;
  }
  Registering_ = true;
  EntryOutdated_ = false;
  HttpRequest Request;
  Request.Method_ = "PUT";
  Request.Target_ = "/v1/instances/" + Options_.Id_;
  Request.Body_ = entryText(Options_, Leaving_);
  HttpSendOptions Sending;
  Sending.ResponseTimeout_ = std::chrono::seconds(2);
  Client_.send(NetAddress(Options_.Platform_), std::move(Request), std::move(Sending),
               [this](const HttpResult &Outcome) {
                 Registering_ = false;
                 const bool Done = !Outcome.Error_ && Outcome.Response_.Status_ == 200;
                 if (Finishing_ || (Done && !EntryOutdated_))
                   return;
                 RetryTimer_.after(Done ? Duration::zero() : RegisterRetry,
                                   [this] { registerSelf(); });
               });
}

void StandInProcess::leave() {
  Log_.log(LogEvent::ShutdownStarted, {});
  Leaving_ = true;
  Handler_.leave();
  registerSelf();
  DeadlineTimer_.after(Options_.LeaveTimeout_, [this] { finish(); });
  awaitIdle();
}

void StandInProcess::awaitIdle() {
  if (Finishing_)
    return;
  if (Handler_.isIdle() && !Registering_)
    return finish();
  PollTimer_.after(IdlePoll, [this] { awaitIdle(); });
}

void StandInProcess::finish() {
  Finishing_ = true;
  DeadlineTimer_.after(MaxFinishTime, [this] { Loop_.stop(); });
  unregister();
}

void StandInProcess::unregister() {
  if (Options_.Platform_.empty())
    return awaitAnswers();
  HttpRequest Request;
  Request.Method_ = "DELETE";
  Request.Target_ = "/v1/instances/" + Options_.Id_;
  HttpSendOptions Sending;
  Sending.ResponseTimeout_ = std::chrono::seconds(1);
  Client_.send(NetAddress(Options_.Platform_), std::move(Request), std::move(Sending),
               [this](const HttpResult &) { awaitAnswers(); });
}

void StandInProcess::awaitAnswers() {
  Server_.drain();
  if (Server_.stats().InFlight_ == 0)
    return Loop_.stop();
  PollTimer_.after(IdlePoll, [this] { awaitAnswers(); });
}

} // namespace rattancart
