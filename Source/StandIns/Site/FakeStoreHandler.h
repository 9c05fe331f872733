#pragma once

#include "Net/HttpServer.h"
#include "Net/Timer.h"
#include "StandIns/Site/KeyedStore.h"
#include "StandIns/Site/ReadPipe.h"

#include <boost/asio/io_context.hpp>

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace rattancart {

/// Faults of the store.
enum class StoreFault : std::uint8_t {
  None,
  /// Answers 503.
  Unavailable,
  /// Answers every third call with 429.
  RateLimited,
  /// Accepts calls and does not answer them.
  Silent,
  /// Executes group joins and appends and closes the connection of each call without an answer.
  LosesAnswers,
};

/// What becomes of the reads that wait in the store when it returns from a copy.
enum class ReadsAtReturn : std::uint8_t {
  /// They go on at their offsets in the copy.
  Kept,
  /// Their connections are closed.
  Closed,
  /// They are never answered, and their connections stay open.
  Unanswered,
};

/// A stand-in for the store of the users' platform: the part of its HTTP interface that gateways
/// call. Not thread-safe.
class FakeStoreHandler final : public HttpHandler {
public:
  /// Precondition: both arguments outlive the handler.
  FakeStoreHandler(boost::asio::io_context &Loop, const Clock &Time);

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;

  /// Appends a record, as operators and endpoints do, and schedules the answers of the reads that
  /// wait for it.
  void append(const std::string &Topic, StoreRecord Record);
  /// Removes all records from the logs of all topics; the newest values stay.
  void truncateLogs();
  /// Keeps a copy of all topics and groups as they are now.
  void takeCopy();
  /// Replaces all topics and groups by those of the last copy, and raises the era.
  void returnFromCopy(ReadsAtReturn Reads);
  /// The reads that wait now are never answered, and their connections stay open.
  void loseWaitingReads();
  /// Whether answers name the era.
  void setNamesEra(bool NamesEra) { NamesEra_ = NamesEra; }
  void setFault(StoreFault Fault) { Fault_ = Fault; }
  std::uint64_t calls() const { return Calls_; }
  /// Limits the bytes a second of the answers to all reads and listings together; 0: no limit.
  void setReadRate(std::size_t BytesPerSecond) { Pipe_.setRate(BytesPerSecond); }
  /// Bytes of the answers to reads and listings so far.
  std::uint64_t readBytes() const { return Pipe_.passedBytes(); }

private:
  /// A read at the end of a log that waits for a record.
  struct WaitingRead {
    std::string Topic_;
    std::uint64_t From_;
    HttpResponderPtr Responder_;
    TimePoint Until_;
  };

  /// The topics and groups of the store at one moment.
  struct Copy {
    std::map<std::string, KeyedTopic> Topics_;
    std::map<std::string, MemberGroup> Groups_;
  };

  /// Sends an answer, with the era as the store names it in all answers.
  void send(HttpResponder &Responder, HttpResponse Answer) const;
  /// Sends the answer to a read or listing as the rate of reads allows.
  void sendRead(const HttpResponderPtr &Responder, HttpResponse Answer);
  void dispatch(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void read(const HttpRequest &Request, const HttpResponderPtr &Responder);
  void readNewest(const HttpRequest &Request, const HttpResponderPtr &Responder);
  /// Appends the record of the body if the log ends where the request says; returns its offset.
  std::optional<std::uint64_t> applyAppend(const HttpRequest &Request);
  void appendRecord(const HttpRequest &Request, HttpResponder &Responder);
  void join(const HttpRequest &Request, HttpResponder &Responder);
  void leave(const HttpRequest &Request, HttpResponder &Responder);
  void readOwners(const HttpRequest &Request, HttpResponder &Responder);
  void answerWaitingReads();
  void answerRead(const WaitingRead &Read);
  MemberGroup &group(const std::string &Name);

  boost::asio::io_context &Loop_;
  const Clock &Time_;
  Timer Timer_;
  ReadPipe Pipe_;
  std::map<std::string, KeyedTopic> Topics_;
  std::map<std::string, MemberGroup> Groups_;
  std::list<WaitingRead> Waiting_;
  /// Calls that arrived while the store was silent; they are never answered.
  std::list<HttpResponderPtr> Unanswered_;
  StoreFault Fault_ = StoreFault::None;
  Copy Copy_;
  std::uint64_t Era_ = 1;
  bool NamesEra_ = true;
  std::uint64_t Calls_ = 0;
};

} // namespace rattancart
