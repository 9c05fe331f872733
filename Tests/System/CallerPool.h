#pragma once

#include "Core/Common/Ids.h"
#include "History/Event.h"
#include "Net/HttpClient.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rattancart {

/// One request of a caller and what came back.
struct CallerRecord {
  std::string Caller_;
  std::string Key_;
  std::string Prompt_;
  std::uint32_t Status_ = 0;
  /// "done", "not-run", "unknown" by the answer's header, "cut" without a whole answer.
  std::string Outcome_;
  std::string Request_;
  std::string Body_;
  std::string Text_;
  bool Idempotent_ = false;
  std::chrono::microseconds Started_{};
  std::chrono::microseconds Ended_{};
};

/// What to send.
struct CallerRequest {
  NetAddress Router_;
  HttpRequest Http_;
  std::string Caller_;
  std::string Key_;
  std::string Prompt_;
  bool Idempotent_ = false;
};

CallerRequest answerRequest(const NetAddress &Router, std::string Caller, std::string Prompt,
                            bool Streamed);
CallerRequest bookingRequest(const NetAddress &Router, std::string Caller, std::string Key);
CallerRequest lookupRequest(const NetAddress &Router, std::string Caller);

/// Callers that keep a number of requests in flight on a thread of their own. Thread-safe.
class CallerPool {
public:
  /// Next gives the Nth request. Width requests are in flight until stop().
  CallerPool(std::size_t Width, std::function<CallerRequest(std::size_t)> Next);
  ~CallerPool();
  CallerPool(const CallerPool &) = delete;
  CallerPool &operator=(const CallerPool &) = delete;

  /// Requests that have ended.
  std::size_t finished() const;
  /// Waits until Count more requests have ended. Throws std::runtime_error after a minute.
  void awaitMore(std::size_t Count);
  /// Sends no more, waits for those in flight and returns all records.
  std::vector<CallerRecord> stop();

private:
  void sendNext();
  void ended(const CallerRequest &Sent, std::chrono::microseconds Started,
             const HttpResult &Result);

  std::function<CallerRequest(std::size_t)> Next_;
  boost::asio::io_context Loop_{1};
  HttpClient Client_;
  std::atomic<bool> Stopping_ = false;
  std::size_t Sent_ = 0;
  mutable std::mutex Mutex_;
  std::vector<CallerRecord> Records_;
  std::thread Thread_;
};

/// The records as lines for the history checker.
std::string historyLines(const std::vector<CallerRecord> &Records);
/// Checks callers' records together with endpoints' histories and further lines. Returns the
/// violations as text; empty if all properties hold.
std::string checkHistory(const std::vector<CallerRecord> &Records, const std::string &Lines);
/// As checkHistory, but only that each caller got its own whole answer: for runs in which an
/// engine's history was lost with the engine.
std::string checkAnswers(const std::vector<CallerRecord> &Records);

} // namespace rattancart
