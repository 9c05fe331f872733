#pragma once

#include "Core/Calls/ClaimLoader.h"
#include "Core/Calls/ClaimSequencer.h"
#include "Core/Common/Clock.h"
#include "Core/Common/Logger.h"
#include "LogClient/HttpLogClient.h"
#include "Net/FrameCodec.h"
#include "Net/Timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace rattancart {

using ClaimAnswerHandler = std::function<void(const wire::ClaimAnswerT &)>;

/// Decides the claims of this control's routers: appends them to the claims stream of the log,
/// whose order decides who wins.
///
/// Starts at the newest snapshot, follows the stream, and writes snapshots before retention removes
/// what they replace. While the log is down or slow, claims are answered Unavailable; the orderer
/// resumes by itself once the log is back. Not thread-safe: use it on its event loop.
class ClaimOrderer {
public:
  /// Writer: a name that is unique to each run of a process. Precondition: all references outlive
  /// the orderer.
  ClaimOrderer(boost::asio::io_context &Loop, const Clock &Time, Logger &Log, LogService &Platform,
               std::string Writer, SequencerOptions Options = {});
  ~ClaimOrderer();
  ClaimOrderer(const ClaimOrderer &) = delete;
  ClaimOrderer &operator=(const ClaimOrderer &) = delete;

  /// Starts to read the stream.
  void start();
  /// Handles a router's claim. Answer is called with a final answer (Won, NotEligible or Done), or
  /// with Lost first and a final answer later. Unavailable with status ClaimMayStillWin may be
  /// followed by a late Won, which the router must release. A second request of the same call
  /// replaces its Answer. Answer is never called from within claim.
  void claim(const wire::ClaimRequestT &Request, ClaimAnswerHandler Answer);
  /// Handles the end of a claim, sent by its holder.
  void close(const wire::ClaimCloseT &Close);

  /// The offset after the last record read, for heartbeats to routers.
  LogOffset tail() const { return Core_.table().tail(); }
  /// Whether claims can be decided now, as far as is known.
  bool isAvailable() const { return Core_.isAvailable(); }
  /// Sets how long a key stays decided: the longest deduplication window of all services.
  void setDedupWindow(Duration Window) { Core_.setDedupWindow(Window); }
  /// The orderer's part of the state dump.
  boost::json::object state() const;
  const SequencerStats &stats() const { return Core_.stats(); }

private:
  struct PendingAnswer {
    std::uint64_t Id_ = 0;
    ClaimAnswerHandler Answer_;
    TimePoint RequestedAt_{};
  };

  void readAgainAfter(Duration Delay);
  void findRange();
  void read();
  void handleLoadPage(const LogPage &Page);
  void handleFollowPage(const LogPage &Page, TimePoint StartedAt);
  void handleReadFailure(const Error &Failure);
  void setPlatformUp(bool IsUp);
  void append();
  void appendSoon();
  void tick();
  void deliverRepliesSoon();
  void deliverReplies();
  void answer(const SequencerReply &Reply);

  boost::asio::io_context &Loop_;
  const Clock &Time_;
  Logger &Log_;
  LogService &Platform_;
  SequencerOptions Options_;
  ClaimSequencer Core_;
  std::optional<ClaimLoader> Loader_;
  Timer ReadTimer_;
  Timer AppendTimer_;
  Timer TickTimer_;
  std::unordered_map<std::string, PendingAnswer> PendingAnswers_;
  bool DeliveryScheduled_ = false;
  bool AppendScheduled_ = false;
  bool PlatformUp_ = true;
  bool HasGap_ = false;
  TimePoint LastReadAt_{};
  /// False once the orderer is destroyed; callbacks of the platform and the event loop check it.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace rattancart
