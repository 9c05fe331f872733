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

/// One request of a caller and its result.
struct CallerRecord {
  std::string Caller_;
  std::string Key_;
  std::string Prompt_;
  std::uint32_t Status_ = 0;
  /// "done", "not-run" or "unknown", as the header of the response says; "cut" if no complete
  /// response arrived; "refused" if nothing was sent.
  std::string Outcome_;
  std::string Request_;
  std::string Body_;
  std::string Text_;
  bool Idempotent_ = false;
  std::chrono::microseconds Started_{};
  std::chrono::microseconds Ended_{};
};

/// A request to send and what its record says about it.
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

/// Keeps a fixed number of requests in flight, on a thread of its own. Thread-safe.
class CallerPool {
public:
  /// Next returns the request with the given index, counted from zero; it is called on the thread
  /// of the pool. Concurrency requests are in flight until stop().
  CallerPool(std::size_t Concurrency, std::function<CallerRequest(std::size_t)> Next);
  ~CallerPool();
  CallerPool(const CallerPool &) = delete;
  CallerPool &operator=(const CallerPool &) = delete;

  /// Returns how many requests have ended, with whatever outcome.
  std::size_t finishedCount() const;
  /// Waits until Count more requests have ended. Throws std::runtime_error after 60 s.
  void awaitMore(std::size_t Count);
  /// Sends no further requests, waits for those in flight and returns all records.
  std::vector<CallerRecord> stop();

private:
  void sendNext();
  void recordResult(const CallerRequest &Sent, std::chrono::microseconds Started,
                    const HttpResult &Result);

  std::function<CallerRequest(std::size_t)> Next_;
  boost::asio::io_context Loop_{1};
  HttpClient Client_;
  std::atomic<bool> Stopping_ = false;
  std::size_t SentCount_ = 0;
  mutable std::mutex Mutex_;
  std::vector<CallerRecord> Records_;
  std::thread Thread_;
};

/// Returns the records as lines for the history checker, without requests that were refused.
std::string historyLines(const std::vector<CallerRecord> &Records);
/// Checks the records of callers together with Lines, such as the histories of endpoints. Returns a
/// description of the violations; empty if all properties hold.
std::string checkHistory(const std::vector<CallerRecord> &Records, const std::string &Lines);
/// Checks only that each caller got its own complete answer, for runs in which the history of an
/// engine is not available. Returns a description of the violation; empty if there is none.
std::string checkAnswers(const std::vector<CallerRecord> &Records);

} // namespace rattancart
