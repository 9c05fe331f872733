#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Logger.h"
#include "Net/FrameCodec.h"
#include "Net/Timer.h"
#include "Router/RouteHandler.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

namespace rattancart {

struct FrameClaimClientOptions {
  /// A claim that got no answer is given up after this time.
  Duration AnswerTimeout_ = std::chrono::seconds(3);
  /// How long after its request a claim that was given up is still watched, to release a late win.
  Duration LateWinWatchTime_ = std::chrono::minutes(5);
  /// The end of a claim is sent again over each new link for this long after its first send.
  Duration CloseResendTime_ = std::chrono::seconds(5);
  std::size_t MaxClaims_ = 50'000;
  std::size_t MaxCloses_ = 20'000;
};

/// Makes claims through the control process that the router is linked to.
///
/// The link may move to another control at any time. Claims that are not decided are then requested
/// again with the same call and position; by the rules of claims a repeated request is harmless. A
/// win that arrives after its claim was given up is released. Not thread-safe: use it on its event
/// loop.
class FrameClaimClient final : public ClaimClient {
public:
  /// Precondition: all references outlive the client.
  FrameClaimClient(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                   FrameSender &Sender, FrameClaimClientOptions Options = {});
  ~FrameClaimClient() override;
  FrameClaimClient(const FrameClaimClient &) = delete;
  FrameClaimClient &operator=(const FrameClaimClient &) = delete;

  bool available() const override { return Sender_.isUp(); }
  void claim(const RequestId &Call, const IdempotencyKey &Key, LogOffset Position,
             std::function<void(const ClaimReply &)> Reply) override;
  void abandon(const RequestId &Call) override;
  void finish(const RequestId &Call, const IdempotencyKey &Key, std::uint32_t Status,
              std::string Body) override;
  void release(const RequestId &Call, const IdempotencyKey &Key) override;

  /// Handles an answer that arrived over the link.
  void onAnswer(const wire::ClaimAnswerT &Answer);
  /// The link is up again, possibly to another control. Sends the undecided claims and the
  /// recent ends of claims again.
  void onLinkUp();
  void onLinkLost();
  /// The client's part of the state dump.
  boost::json::object state() const;

private:
  using ReplyHandler = std::function<void(const ClaimReply &)>;
  struct Claim {
    wire::ClaimRequestT Request_;
    /// Empty once the claim was given up.
    ReplyHandler Reply_;
    TimePoint RequestedAt_{};
    bool Sent_ = false;
    /// The request was sent over several links, so an answer of one control alone doesn't prove
    /// that the claim never wins.
    bool Resent_ = false;
    /// The claim lost, and the client waits for the answer of the call that won.
    bool Lost_ = false;
  };
  /// The end of a claim: finished or released.
  struct Close {
    wire::ClaimCloseT Message_;
    bool Sent_ = false;
    TimePoint SentAt_{};
  };

  void sendClaim(Claim &Entry);
  void queueClose(wire::ClaimCloseT Message);
  void sendCloses(bool Resend);
  void releaseLateWin(const Claim &Entry);
  void replyUnavailable(ReplyHandler Reply);
  void tick();

  boost::asio::io_context &Loop_;
  const Clock &Time_;
  Logger &Log_;
  FrameSender &Sender_;
  FrameClaimClientOptions Options_;
  std::unordered_map<std::string, Claim> Claims_;
  std::deque<Close> Closes_;
  std::uint64_t NextId_ = 1;
  std::uint64_t LateWins_ = 0;
  std::uint64_t Resent_ = 0;
  std::uint64_t GivenUp_ = 0;
  std::uint64_t ClosesDropped_ = 0;
  Timer TickTimer_;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace rattancart
