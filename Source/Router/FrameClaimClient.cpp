#include "Router/FrameClaimClient.h"

#include <boost/asio/post.hpp>

#include <utility>
#include <vector>

namespace rattancart {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);

ClaimReply::State toReplyState(wire::ClaimState State) {
  switch (State) {
  case wire::ClaimState::Won:
    return ClaimReply::State::Won;
  case wire::ClaimState::Lost:
    return ClaimReply::State::Lost;
  case wire::ClaimState::NotEligible:
    return ClaimReply::State::NotEligible;
  case wire::ClaimState::Done:
    return ClaimReply::State::Done;
  case wire::ClaimState::Unavailable:
    break;
  }
  return ClaimReply::State::Unavailable;
}

} // namespace

FrameClaimClient::FrameClaimClient(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                                   FrameSender &Sender, FrameClaimClientOptions Options)
    : Loop_(Loop), Time_(Time), Log_(Log), Sender_(Sender), Options_(Options), TickTimer_(Loop) {
  TickTimer_.every(TickInterval, [this] { tick(); });
}

FrameClaimClient::~FrameClaimClient() { *Alive_ = false; }

void FrameClaimClient::claim(const RequestId &Call, const IdempotencyKey &Key, LogOffset Position,
                             ReplyHandler Reply) {
  if (!Sender_.isUp() || Claims_.size() >= Options_.MaxClaims_) {
    replyUnavailable(std::move(Reply));
    return;
  }
  Claim Entry;
  Entry.Request_.id = NextId_++;
  Entry.Request_.call = Call.str();
  Entry.Request_.key = Key.str();
  Entry.Request_.position = Position.value();
  Entry.Reply_ = std::move(Reply);
  Entry.RequestedAt_ = Time_.now();
  sendClaim(Entry);
  Claims_.insert_or_assign(Call.str(), std::move(Entry));
}

void FrameClaimClient::replyUnavailable(ReplyHandler Reply) {
  boost::asio::post(Loop_, [Alive = Alive_, Reply = std::move(Reply)] {
    if (*Alive)
      Reply(ClaimReply{});
  });
}

void FrameClaimClient::sendClaim(Claim &Entry) {
  if (Sender_.send(makeFrame(wire::ClaimRequestT(Entry.Request_))))
    Entry.Sent_ = true;
}

void FrameClaimClient::abandon(const RequestId &Call) {
  const auto Found = Claims_.find(Call.str());
  if (Found == Claims_.end())
    return;
  // A claim that lost, or that was never sent to a control, can't win.
  if (Found->second.Lost_ || !Found->second.Sent_)
    Claims_.erase(Found);
  else
    Found->second.Reply_ = nullptr;
}

void FrameClaimClient::finish(const RequestId &Call, const IdempotencyKey &Key,
                              std::uint32_t Status, std::string Body) {
  wire::ClaimCloseT Message;
  Message.call = Call.str();
  Message.key = Key.str();
  Message.closing = wire::ClaimClosing::Done;
  Message.status = static_cast<std::uint16_t>(Status);
  Message.body = std::move(Body);
  queueClose(std::move(Message));
}

void FrameClaimClient::release(const RequestId &Call, const IdempotencyKey &Key) {
  wire::ClaimCloseT Message;
  Message.call = Call.str();
  Message.key = Key.str();
  Message.closing = wire::ClaimClosing::Released;
  Log_.log(LogEvent::ClaimReleased, {{"call", Call.str()}});
  queueClose(std::move(Message));
}

void FrameClaimClient::queueClose(wire::ClaimCloseT Message) {
  if (Closes_.size() >= Options_.MaxCloses_) {
    // The key stays held: later calls with it end as unknown, but none runs twice.
    Log_.log(LogEvent::ClaimCloseDropped, {{"call", Closes_.front().Message_.call}});
    Closes_.pop_front();
    ++ClosesDropped_;
  }
  Close Entry;
  Entry.Message_ = std::move(Message);
  Closes_.push_back(std::move(Entry));
  sendCloses(false);
}

void FrameClaimClient::sendCloses(bool Resend) {
  for (Close &Entry : Closes_) {
    if (Entry.Sent_ && !Resend)
      continue;
    if (!Sender_.send(makeFrame(wire::ClaimCloseT(Entry.Message_))))
      return;
    Resent_ += Entry.Sent_ ? 1 : 0;
    if (!Entry.Sent_)
      Entry.SentAt_ = Time_.now();
    Entry.Sent_ = true;
  }
}

void FrameClaimClient::onAnswer(const wire::ClaimAnswerT &Answer) {
  const auto Found = Claims_.find(Answer.call);
  if (Found == Claims_.end() || Found->second.Request_.id != Answer.id)
    return;
  ClaimReply Reply;
  Reply.State_ = toReplyState(Answer.state);
  Reply.Offset_ = LogOffset(Answer.offset);
  Reply.Status_ = Answer.status;
  Reply.Body_ = Answer.body;
  const ReplyHandler Handler = Found->second.Reply_;
  switch (Reply.State_) {
  case ClaimReply::State::Lost:
    Found->second.Lost_ = true;
    if (!Handler)
      Claims_.erase(Found);
    break;
  case ClaimReply::State::Unavailable:
    ++GivenUp_;
    Found->second.Reply_ = nullptr;
    // A claim that was never appended to the log can't win, so it needs no watching.
    if (Answer.status != ClaimMayStillWin && !Found->second.Resent_)
      Claims_.erase(Found);
    break;
  case ClaimReply::State::Won:
    if (!Handler)
      releaseLateWin(Found->second);
    Claims_.erase(Found);
    break;
  case ClaimReply::State::NotEligible:
  case ClaimReply::State::Done:
    Claims_.erase(Found);
    break;
  }
  if (Handler)
    Handler(Reply);
}

void FrameClaimClient::releaseLateWin(const Claim &Entry) {
  ++LateWins_;
  release(RequestId(Entry.Request_.call), IdempotencyKey(Entry.Request_.key));
}

void FrameClaimClient::onLinkUp() {
  for (auto &[Call, Entry] : Claims_) {
    Resent_ += Entry.Sent_ ? 1 : 0;
    Entry.Resent_ = Entry.Sent_;
    sendClaim(Entry);
  }
  sendCloses(true);
}

void FrameClaimClient::onLinkLost() {
  // Claims wait for the next link until AnswerTimeout_.
}

void FrameClaimClient::tick() {
  const TimePoint Now = Time_.now();
  std::vector<ReplyHandler> TimedOut;
  for (auto &[Call, Entry] : Claims_) {
    if (!Entry.Reply_ || Entry.Lost_ || Now - Entry.RequestedAt_ < Options_.AnswerTimeout_)
      continue;
    TimedOut.push_back(std::exchange(Entry.Reply_, nullptr));
    ++GivenUp_;
    Log_.log(LogEvent::ClaimTimedOut, {{"call", Call}});
  }
  std::erase_if(Claims_, [&](const auto &Pair) {
    const Claim &Entry = Pair.second;
    return !Entry.Reply_ && (!Entry.Sent_ || Now - Entry.RequestedAt_ > Options_.LateWinWatchTime_);
  });
  sendCloses(false);
  std::erase_if(Closes_, [&](const Close &Entry) {
    return Entry.Sent_ && Now - Entry.SentAt_ > Options_.CloseResendTime_;
  });
  for (const ReplyHandler &Reply : TimedOut)
    Reply(ClaimReply{});
}

boost::json::object FrameClaimClient::state() const {
  return {{"available", available()},        {"claims", Claims_.size()}, {"closes", Closes_.size()},
          {"late_wins_released", LateWins_}, {"resent", Resent_},        {"given_up", GivenUp_},
          {"closes_dropped", ClosesDropped_}};
}

} // namespace rattancart
