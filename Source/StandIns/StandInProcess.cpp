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
/// Answers that hang are cut off after this time.
constexpr Duration LongestFinish = std::chrono::seconds(2);
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
                               StandInHandler &Front, HttpClient &Client, Logger &Log)
    : Loop_(Loop), Options_(std::move(Options)), Front_(Front), Client_(Client), Log_(Log),
      Server_(Loop, serverOptions(Options_), Front, Log), Signals_(Loop, SIGTERM, SIGINT),
      Retry_(Loop), Poll_(Loop), Deadline_(Loop) {}

int StandInProcess::run() {
  const std::error_code Failure = Server_.listen(NetAddress(Options_.Listen_));
  if (Failure) {
    fmt::print(stderr, "{}: {}\n", Options_.Listen_, Failure.message());
    return errorInfo(static_cast<ErrorCode>(Failure.value())).ExitCode_;
  }
  if (Options_.Advertise_.empty())
    Options_.Advertise_ = Server_.address().str();
  Front_.setAddress(NetAddress(Options_.Advertise_));
  Front_.onEntryChanged([this](const EntryChange &Change) {
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
    Stale_ = true;
    return;
  }
  Registering_ = true;
  Stale_ = false;
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
                 if (Finishing_ || (Done && !Stale_))
                   return;
                 Retry_.after(Done ? Duration::zero() : RegisterRetry, [this] { registerSelf(); });
               });
}

void StandInProcess::leave() {
  Log_.log(LogEvent::ShutdownStarted, {});
  Leaving_ = true;
  Front_.leave();
  registerSelf();
  Deadline_.after(Options_.LeaveTimeout_, [this] { finish(); });
  awaitIdle();
}

void StandInProcess::awaitIdle() {
  if (Finishing_)
    return;
  if (Front_.isIdle() && !Registering_)
    return finish();
  Poll_.after(IdlePoll, [this] { awaitIdle(); });
}

void StandInProcess::finish() {
  Finishing_ = true;
  Deadline_.after(LongestFinish, [this] { Loop_.stop(); });
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
  Poll_.after(IdlePoll, [this] { awaitAnswers(); });
}

} // namespace rattancart
