#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Logger.h"
#include "Core/Membership/EndpointTable.h"
#include "LogClient/HttpLogClient.h"
#include "Net/Timer.h"

#include <functional>
#include <memory>
#include <set>

namespace rattancart {

/// Reads the platform's instance list and merges it into an endpoint table.
///
/// A listed endpoint is added without a report, so it gets work only after its first own report.
/// Not thread-safe: use it on the event loop.
class InstanceListFollower {
public:
  /// Changed is called after each change to the table. Precondition: all references outlive this.
  InstanceListFollower(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                       InstanceListService &Service, EndpointTable &Table,
                       std::function<void(const EndpointId &, EndpointChange)> Changed);
  ~InstanceListFollower();
  InstanceListFollower(const InstanceListFollower &) = delete;
  InstanceListFollower &operator=(const InstanceListFollower &) = delete;

  /// Reads the list now and then once per Interval.
  void start(Duration Interval);
  /// The version of the newest list that was read; 0 if none.
  std::uint64_t version() const { return Version_; }
  /// Whether the last read succeeded.
  bool isUp() const { return Up_; }

private:
  void requestList();
  void received(const Result<InstanceList> &Answer);
  void merge(const InstanceList &List);
  void mergeOne(const ListedInstance &Entry);
  void forgetUnlisted(const std::set<EndpointId> &Listed);

  const Clock &Time_;
  Logger &Log_;
  InstanceListService &Service_;
  EndpointTable &Table_;
  std::function<void(const EndpointId &, EndpointChange)> Changed_;
  Timer Ticker_;
  bool InProgress_ = false;
  bool Up_ = false;
  std::uint64_t Version_ = 0;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace rattancart
