#include "Tests/System/CallerPool.h"

#include "History/HistoryCheck.h"
#include "History/HistoryReader.h"
#include "Tests/Support/BlockingHttpClient.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <stdexcept>
#include <utility>

namespace rattancart {

namespace {

constexpr std::chrono::seconds AwaitTimeout{60};

std::chrono::microseconds wallClockNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

/// Returns the generated text of a model's answer, whether it came as JSON or as a stream.
std::string generatedText(const CallerRequest &Sent, const HttpResponse &Response) {
  if (Sent.Prompt_.empty() || Response.Status_ != 200)
    return {};
  boost::system::error_code Failure;
  const boost::json::value Body = boost::json::parse(Response.Body_, Failure);
  if (Failure || !Body.is_object())
    return Response.Body_;
  return std::string(Body.at("text").as_string());
}

} // namespace

CallerRequest answerRequest(const NetAddress &Router, std::string Caller, std::string Prompt,
                            bool Streamed) {
  CallerRequest Request;
  Request.Router_ = Router;
  Request.Http_.Method_ = "POST";
  Request.Http_.Target_ = Streamed ? "/streams" : "/answers";
  Request.Http_.Headers_.add("Content-Type", "text/plain");
  Request.Http_.Headers_.add("x-customer", Caller);
  Request.Http_.Body_ = Prompt;
  Request.Caller_ = std::move(Caller);
  Request.Prompt_ = std::move(Prompt);
  Request.Idempotent_ = true;
  return Request;
}

CallerRequest bookingRequest(const NetAddress &Router, std::string Caller, std::string Key) {
  CallerRequest Request;
  Request.Router_ = Router;
  Request.Http_.Method_ = "POST";
  Request.Http_.Target_ = "/bookings";
  Request.Http_.Headers_.add("Content-Type", "application/json");
  Request.Http_.Headers_.add("x-customer", Caller);
  if (!Key.empty())
    Request.Http_.Headers_.add("idempotency-key", Key);
  Request.Http_.Body_ = fmt::format(R"({{"lift":"{}","day":"monday"}})", Key);
  Request.Caller_ = std::move(Caller);
  Request.Key_ = std::move(Key);
  return Request;
}

CallerRequest lookupRequest(const NetAddress &Router, std::string Caller) {
  CallerRequest Request;
  Request.Router_ = Router;
  Request.Http_.Target_ = "/bookings/lift-1";
  Request.Http_.Headers_.add("x-customer", Caller);
  Request.Caller_ = std::move(Caller);
  Request.Idempotent_ = true;
  return Request;
}

CallerPool::CallerPool(std::size_t Concurrency, std::function<CallerRequest(std::size_t)> Next)
    : Next_(std::move(Next)), Client_(Loop_) {
  Thread_ = std::thread([this, Concurrency] {
    for (std::size_t Count = 0; Count < Concurrency; ++Count)
      sendNext();
    Loop_.run();
  });
}

CallerPool::~CallerPool() { stop(); }

void CallerPool::sendNext() {
  if (Stopping_)
    return;
  CallerRequest Request = Next_(SentCount_++);
  HttpSendOptions Options;
  Options.ConnectTimeout_ = std::chrono::seconds(2);
  Options.ResponseTimeout_ = std::chrono::seconds(70);
  const std::chrono::microseconds Started = wallClockNow();
  // Copied, since the request is moved into the handler.
  const NetAddress Router = Request.Router_;
  HttpRequest Http = Request.Http_;
  Client_.send(Router, std::move(Http), std::move(Options),
               [this, Request = std::move(Request), Started](const HttpResult &Result) {
                 recordResult(Request, Started, Result);
                 sendNext();
               });
}

void CallerPool::recordResult(const CallerRequest &Sent, std::chrono::microseconds Started,
                              const HttpResult &Result) {
  CallerRecord Record;
  Record.Caller_ = Sent.Caller_;
  Record.Key_ = Sent.Key_;
  Record.Prompt_ = Sent.Prompt_;
  Record.Idempotent_ = Sent.Idempotent_;
  Record.Started_ = Started;
  Record.Ended_ = wallClockNow();
  if (Result.Error_) {
    // If no bytes were handed over, the router can't have run the request.
    Record.Outcome_ = Result.BytesHandedOver_ ? "cut" : "refused";
    Record.Body_ = Result.Error_.message();
  } else {
    Record.Status_ = Result.Response_.Status_;
    Record.Outcome_ = std::string(Result.Response_.Headers_.get("x-rattancart-outcome"));
    Record.Request_ = std::string(Result.Response_.Headers_.get("x-rattancart-request"));
    Record.Body_ = Result.Response_.Body_;
    Record.Text_ = generatedText(Sent, Result.Response_);
  }
  const std::lock_guard Lock(Mutex_);
  Records_.push_back(std::move(Record));
}

std::size_t CallerPool::finishedCount() const {
  const std::lock_guard Lock(Mutex_);
  return Records_.size();
}

void CallerPool::awaitMore(std::size_t Count) {
  const std::size_t TargetCount = finishedCount() + Count;
  const auto Deadline = std::chrono::steady_clock::now() + AwaitTimeout;
  while (finishedCount() < TargetCount) {
    if (std::chrono::steady_clock::now() > Deadline)
      throw std::runtime_error("timeout while waiting for requests to end");
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

std::vector<CallerRecord> CallerPool::stop() {
  Stopping_ = true;
  if (Thread_.joinable())
    Thread_.join();
  const std::lock_guard Lock(Mutex_);
  return std::exchange(Records_, {});
}

std::string historyLines(const std::vector<CallerRecord> &Records) {
  std::string Lines;
  for (const CallerRecord &Record : Records) {
    if (Record.Outcome_ == "refused")
      continue;
    boost::json::object Line;
    Line["kind"] = "call";
    Line["request"] = Record.Request_;
    Line["caller"] = Record.Caller_;
    Line["key"] = Record.Key_;
    Line["prompt"] = Record.Prompt_;
    if (!Record.Prompt_.empty())
      Line["version"] = "3";
    Line["outcome"] = Record.Outcome_;
    Line["status"] = Record.Status_;
    Line["text"] = Record.Text_;
    Line["truncated"] = Record.Outcome_ == "cut";
    Line["idempotent"] = Record.Idempotent_;
    Line["started"] = Record.Started_.count();
    Line["at"] = Record.Ended_.count();
    Lines += boost::json::serialize(Line) + "\n";
  }
  return Lines;
}

std::string checkHistory(const std::vector<CallerRecord> &Records, const std::string &Lines) {
  history::History Events;
  std::string Detail;
  const std::string All = historyLines(Records) + Lines;
  if (const std::error_code Failure = history::readLines(All, Events, Detail))
    return Failure.message() + ": " + Detail;
  std::string Text;
  for (const history::Violation &Found : history::findViolations(Events))
    Text += history::describe(Found, Events) + "\n";
  return Text;
}

std::string checkAnswers(const std::vector<CallerRecord> &Records) {
  history::History Events;
  std::string Detail;
  if (const std::error_code Failure = history::readLines(historyLines(Records), Events, Detail))
    return Failure.message() + ": " + Detail;
  const auto Found = history::makeAnswerCheck()->run(Events);
  return Found ? history::describe(*Found, Events) : std::string();
}

} // namespace rattancart
