#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Logger.h"
#include "Core/Membership/EndpointTable.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"

#include <functional>
#include <map>
#include <memory>

namespace rattancart {

/// Polls the load reports of the endpoints in a table and merges them into the table.
/// Not thread-safe: use it on the event loop.
class EndpointPoller {
public:
  /// ShouldPoll selects the endpoints of each round; Changed is called after each change to the
  /// table. Precondition: all references outlive the poller.
  EndpointPoller(boost::asio::io_context &Loop, const Clock &Time, Logger &Log, HttpClient &Client,
                 EndpointTable &Table, std::function<bool(const Endpoint &)> ShouldPoll,
                 std::function<void(const EndpointId &, EndpointChange)> Changed);
  ~EndpointPoller();
  EndpointPoller(const EndpointPoller &) = delete;
  EndpointPoller &operator=(const EndpointPoller &) = delete;

  /// Polls the selected endpoints now and then once per Interval.
  void start(Duration Interval);
  /// Polls one endpoint now, unless a poll of it is in progress.
  void poll(const EndpointId &Id);

private:
  struct PollState {
    bool InProgress_ = false;
    int Misses_ = 0;
  };

  void pollAll();
  void received(const Endpoint &Known, TimePoint SentAt, const HttpResult &Outcome);
  void missed(const Endpoint &Known);

  const Clock &Time_;
  Logger &Log_;
  HttpClient &Client_;
  EndpointTable &Table_;
  std::function<bool(const Endpoint &)> ShouldPoll_;
  std::function<void(const EndpointId &, EndpointChange)> Changed_;
  std::map<EndpointId, PollState> PollStates_;
  Timer Ticker_;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace rattancart
