#pragma once

#include "Net/HttpServer.h"
#include "Net/Timer.h"
#include "StandIns/Site/KeyedStore.h"

#include <boost/asio/io_context.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>

namespace rattancart {

/// How the store misbehaves.
enum class StoreFault : std::uint8_t {
  None,
  /// Answers 503.
  Unavailable,
  /// Turns each third call away with 429.
  RateLimited,
  /// Does not answer.
  Silent,
  /// Carries calls out and loses their answers.
  LosesAnswers,
};

/// The users' platform's store over HTTP, as far as gateways call it. Not thread-safe.
class FakeStoreHandler final : public HttpHandler {
public:
  /// Precondition: all arguments outlive the front.
  FakeStoreHandler(boost::asio::io_context &Loop, const Clock &Time);

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;

  /// Writes a record as the operators or an endpoint do, and answers reads that wait for it.
  void append(const std::string &Topic, StoreRecord Record);
  void truncateLogs();
  void setFault(StoreFault Fault) { Fault_ = Fault; }
  std::uint64_t calls() const { return Calls_; }

private:
  struct WaitingRead {
    std::string Topic_;
    std::uint64_t From_;
    HttpResponderPtr Responder_;
    TimePoint Until_;
  };

  void serve(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void read(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void newest(const HttpRequest &Request, HttpResponder &Responder);
  void join(const HttpRequest &Request, HttpResponder &Responder);
  void leave(const HttpRequest &Request, HttpResponder &Responder);
  void owners(const HttpRequest &Request, HttpResponder &Responder);
  void answerWaiting();
  void answerRead(const WaitingRead &Read);
  MemberGroup &group(const std::string &Name);

  boost::asio::io_context &Loop_;
  const Clock &Time_;
  Timer Timer_;
  std::map<std::string, KeyedTopic> Topics_;
  std::map<std::string, MemberGroup> Groups_;
  std::list<WaitingRead> Waiting_;
  /// Calls whose answers are lost.
  std::list<HttpResponderPtr> Lost_;
  StoreFault Fault_ = StoreFault::None;
  std::uint64_t Calls_ = 0;
};

} // namespace rattancart
