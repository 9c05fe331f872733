#include "Gateway/CallExchange.h"

#include "Core/Layers/SlowStartFeed.h"

#include <algorithm>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// Connecting takes a few ms within and between data centres. A lost packet is retransmitted after
/// a second, which is later than a call's objective, so waiting for it is of no use.
constexpr Duration ConnectTimeout = milliseconds(150);
/// Maximum number of sends of one request, refused ones included.
constexpr std::uint32_t MaxSends = 4;
/// Range of the Retry-After for a caller that was refused because there is no endpoint.
constexpr Duration MinRetryAfter = milliseconds(50);
constexpr Duration MaxRetryAfter = milliseconds(150);
/// The same when the limits of the endpoints leave no room.
constexpr Duration MinLimitRetryAfter = milliseconds(150);
constexpr Duration MaxLimitRetryAfter = milliseconds(450);
/// An idempotent request that is not answered within this part of its objective is also sent to a
/// second endpoint.
constexpr double SecondSendAfter = 0.5;
/// An endpoint of another data centre is chosen as if it had this many more requests under way:
/// the distance costs little time, but the connection between data centres can fail.
constexpr double RemoteWeight = 2;

} // namespace

const EndpointRecord *CallExchange::chooseEndpoint(const std::set<EndpointId> &Excluded) const {
  const TimePoint Now = Context_.Time_.now();
  const EndpointRecord *Best = nullptr;
  double BestWeight = 0;
  for (const auto &[Id, Record] : Context_.Roster_.all()) {
    if (Record.Listing_.Service_ != Routed_.Service_->Id_ || Excluded.contains(Id) ||
        !Context_.Roster_.takesWork(Record, Now))
      continue;
    const double Remote = Record.Listing_.DataCenter_ == Context_.Home_ ? 0 : RemoteWeight;
    const double Weight = Record.OwnRequests_ + Remote + Context_.randomFraction() / 2;
    if (Best && Weight >= BestWeight)
      continue;
    Best = &Record;
    BestWeight = Weight;
  }
  return Best;
}

const EndpointRecord *CallExchange::chooseAllowedEndpoint() {
  if (!Context_.SlowStart_ || !Context_.SlowStart_->anyWarming())
    return chooseEndpoint(Tried_);
  const double Draw = Context_.randomFraction();
  std::set<EndpointId> Excluded = Tried_;
  while (const EndpointRecord *Endpoint = chooseEndpoint(Excluded)) {
    const EndpointId &Id = Endpoint->Listing_.Id_;
    if (Context_.SlowStart_->mayTake(Id, requestCapacity(*Endpoint, 0), Endpoint->OwnRequests_,
                                     Draw, Context_.Time_.now()))
      return Endpoint;
    Excluded.insert(Id);
  }
  return chooseEndpoint(Tried_);
}

const EndpointRecord *CallExchange::admitToEndpoint() {
  while (const EndpointRecord *Endpoint = chooseAllowedEndpoint()) {
    if (Endpoint->Listing_.DataCenter_ != Context_.Home_ && Context_.OnRemoteLimit_ &&
        Context_.Limiter_.isLimited(Endpoint->Listing_.Id_, Endpoint->run()))
      Context_.OnRemoteLimit_();
    if (tryAdmit(*Endpoint, priority()))
      return Endpoint;
    LimitReached_ = true;
    Tried_.insert(Endpoint->Listing_.Id_);
  }
  return nullptr;
}

void CallExchange::begin() {
  if (!sendNext())
    giveUp();
}

bool CallExchange::canSendNext() const {
  if (Sends_ >= MaxSends || timeLeft() <= Duration{})
    return false;
  return usesPeer() ? choosePeer().has_value() : chooseEndpoint(Tried_) != nullptr;
}

bool CallExchange::sendNext() {
  if (!canSendNext())
    return false;
  if (usesPeer())
    return sendToNextPeer();
  const EndpointRecord *Endpoint = admitToEndpoint();
  if (!Endpoint)
    return false;
  const EndpointId Id = Endpoint->Listing_.Id_;
  Tried_.insert(Id);
  Context_.Roster_.addOwnLoad(Id, 1, 0);
  if (Context_.SlowStart_)
    Context_.SlowStart_->onSent(Id, Context_.Time_.now());
  auto Item = std::make_shared<CallAttempt>();
  Pending_.push_back(Item);
  ++PossibleRuns_;
  Item->Attempt_ =
      send(*Endpoint, forwardOptions(),
           isRetryable() ? ConnectionUse::Pooled : ConnectionUse::Fresh, ConnectTimeout,
           [this, Item](const AttemptPtr &, const HttpResult &Result) { onDone(Item, Result); });
  collectBody(*Item);
  logSend(Id, "call");
  return true;
}

bool CallExchange::sendToNextPeer() {
  const auto Peer = choosePeer();
  if (!Peer)
    return false;
  auto Item = std::make_shared<CallAttempt>();
  Pending_.push_back(Item);
  ++PossibleRuns_;
  Item->Attempt_ = sendToPeer(
      *Peer, forwardOptions(), isRetryable() ? ConnectionUse::Pooled : ConnectionUse::Fresh,
      [this, Item](const AttemptPtr &, const HttpResult &Result) { onDone(Item, Result); });
  collectBody(*Item);
  return true;
}

void CallExchange::collectBody(CallAttempt &Item) {
  Item.Attempt_->BodyHandler_ = [this, &Item](std::string_view Data) {
    Item.Body_ += Data;
    return Item.Body_.size() <= Context_.ResponseLimits_.MaxBodyBytes_;
  };
}

bool CallExchange::isComplete(const CallAttempt &Item, const HttpResult &Result) const {
  const Attempt &Sent = *Item.Attempt_;
  return !Result.Error_ && Sent.HeadSeen_ && mayPassOn(Sent.Head_.Status_, Sent.Info_);
}

void CallExchange::onDone(const CallAttemptPtr &Item, const HttpResult &Result) {
  Context_.Roster_.addOwnLoad(Item->Attempt_->Endpoint_, -1, 0);
  std::erase(Pending_, Item);
  if (ended())
    return;
  const std::uint32_t Status = Item->Attempt_->Head_.Status_;
  if (isComplete(*Item, Result) && Status >= 200 && Status < 500) {
    noteAnswered(Item->Attempt_->Endpoint_, Item->Attempt_->SentAt_);
    return sendResponse(*Item);
  }
  if (Item->Attempt_->Peer_)
    return onPeerFailure(Item, Result);
  // If it is cancelled, the retry budget or the limit of the endpoint no longer allowed the send.
  if (Result.Error_ != ErrorCode::Cancelled)
    noteAnswer(Item->Attempt_->Endpoint_,
               Item->Attempt_->Info_.NotRun_ ? EndpointAnswer::Rejected : EndpointAnswer::Failed,
               Item->Attempt_->SentAt_);
  logFailure(*Item->Attempt_, Result);
  onFailure(Item, Result);
}

void CallExchange::onPeerFailure(const CallAttemptPtr &Item, const HttpResult &Result) {
  notePeerFailure(*Item->Attempt_, Result);
  logFailure(*Item->Attempt_, Result);
  const bool Answered = !Result.Error_ && Item->Attempt_->Refusal_ == PeerRefusal::Final;
  // What an earlier send may have done is not known to the other gateway.
  if (Answered && PossibleRuns_ == 1 && Pending_.empty())
    return sendPeerRefusal(*Item->Attempt_, std::move(Item->Body_));
  onFailure(Item, Result);
}

void CallExchange::onFailure(const CallAttemptPtr &Item, const HttpResult &Result) {
  const bool NotRun = !Result.BytesHandedOver_ || Item->Attempt_->Info_.NotRun_;
  if (NotRun)
    --PossibleRuns_;
  else if (isComplete(*Item, Result))
    Failure_ = Item;
  else
    OutcomeUnknown_ = true;
  if (!Pending_.empty())
    return;
  // The retry budget or the limit of the endpoint no longer allowed the send.
  if (Result.Error_ == ErrorCode::Cancelled)
    return giveUp();
  const bool MaySend = NotRun || (isRetryable() && PossibleRuns_ < Routed_.Route_->MaxAttempts_);
  // A send that never got a connection puts no load on the service, so it takes no retry budget.
  const bool Unsent = !Result.BytesHandedOver_ || Item->Attempt_->Refusal_ == PeerRefusal::Declined;
  const bool InBudget =
      MaySend && canSendNext() && (Unsent || tryTakeRetry(NotRun ? "not_run" : "failed"));
  if (!InBudget || !sendNext())
    giveUp();
}

void CallExchange::sendResponse(const CallAttempt &Item) {
  HttpResponse Response = Context_.Protocol_.responseForCaller(Item.Attempt_->Head_);
  Response.Body_ = Item.Body_;
  cancelAttempts();
  Routed_.Responder_->send(std::move(Response));
  finish(Item.Attempt_->Head_.Status_ < 400 ? "served" : "endpoint_failure");
}

void CallExchange::giveUp() {
  if (Failure_)
    return sendResponse(*Failure_);
  if (OutcomeUnknown_)
    return refuse(502, ErrorCode::OutcomeUnknown, std::nullopt);
  if (LimitReached_)
    return refuse(503, ErrorCode::EndpointsLimited,
                  randomDuration(MinLimitRetryAfter, MaxLimitRetryAfter));
  refuse(503, ErrorCode::NoEndpoint, randomDuration(MinRetryAfter, MaxRetryAfter));
}

void CallExchange::tick(TimePoint Now) {
  if (ended() || !isRetryable() || Pending_.size() != 1 ||
      PossibleRuns_ >= Routed_.Route_->MaxAttempts_)
    return;
  const auto Limit =
      std::chrono::duration_cast<Duration>(Routed_.Route_->Objective_ * SecondSendAfter);
  if (Now - Pending_.front()->Attempt_->SentAt_ < Limit || !canSendNext() || !tryTakeRetry("slow"))
    return;
  sendNext();
}

void CallExchange::cancelAttempts() {
  for (const CallAttemptPtr &Item : Pending_) {
    Context_.Roster_.addOwnLoad(Item->Attempt_->Endpoint_, -1, 0);
    cancelAttempt(Item->Attempt_);
  }
  Pending_.clear();
}

void CallExchange::endEarly(ErrorCode Reason) {
  refuse(PossibleRuns_ == 0 ? 503 : 504, Reason, std::nullopt);
}

} // namespace rattancart
