#include "Gateway/CallExchange.h"

#include <algorithm>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// Opening a connection takes some ms within and between data centres; a lost packet is sent again
/// after a second, later than a call's objective.
constexpr Duration ConnectTime = milliseconds(150);
/// Sends of one request, those that were turned away included.
constexpr std::uint32_t MaxSends = 4;
/// A caller refused for want of an endpoint comes back after about this time.
constexpr Duration RetryLeast = milliseconds(50);
constexpr Duration RetryMost = milliseconds(150);
/// A lookup without an answer for this part of its objective is also sent to a second endpoint.
constexpr double SecondSendAfter = 0.5;
/// Requests under way at an endpoint of another data centre weigh like this many more: crossing
/// costs little time, but the pipe between data centres can fail.
constexpr double RemoteWeight = 2;

} // namespace

const EndpointRecord *CallExchange::choose() const {
  const TimePoint Now = Parts_.Time_.now();
  const EndpointRecord *Best = nullptr;
  double BestWeight = 0;
  for (const auto &[Id, Record] : Parts_.Roster_.all()) {
    if (Record.Listing_.Service_ != Routed_.Service_->Id_ || Tried_.contains(Id) ||
        !Parts_.Roster_.takesWork(Record, Now))
      continue;
    const double Remote = Record.Listing_.DataCenter_ == Parts_.Home_ ? 0 : RemoteWeight;
    const double Weight = Record.OwnRequests_ + Remote + Parts_.draw() / 2;
    if (Best && Weight >= BestWeight)
      continue;
    Best = &Record;
    BestWeight = Weight;
  }
  return Best;
}

void CallExchange::begin() {
  if (!sendNext())
    giveUp();
}

bool CallExchange::sendNext() {
  const EndpointRecord *Endpoint = choose();
  if (!Endpoint || Sends_ >= MaxSends || left() <= Duration{})
    return false;
  const EndpointId Id = Endpoint->Listing_.Id_;
  Tried_.insert(Id);
  Parts_.Roster_.addOwn(Id, 1, 0);
  auto Item = std::make_shared<Send>();
  Open_.push_back(Item);
  ++Runs_;
  Item->Attempt_ =
      send(*Endpoint, forwardOptions(), repeatable() ? ConnectionUse::Pooled : ConnectionUse::Fresh,
           ConnectTime,
           [this, Item](const AttemptPtr &, const HttpResult &Result) { onDone(Item, Result); });
  Item->Attempt_->BodyHandler_ = [this, Raw = Item.get()](std::string_view Data) {
    Raw->Body_ += Data;
    return Raw->Body_.size() <= Parts_.Answers_.MaxBodyBytes_;
  };
  logSend(Id, "call");
  return true;
}

bool CallExchange::isWhole(const Send &Item, const HttpResult &Result) const {
  return !Result.Error_ && Item.Attempt_->HeadSeen_ && Item.Attempt_->Answer_.Signed_ &&
         !Item.Attempt_->Answer_.Encoded_;
}

void CallExchange::onDone(const SendPtr &Item, const HttpResult &Result) {
  Parts_.Roster_.addOwn(Item->Attempt_->Endpoint_, -1, 0);
  std::erase(Open_, Item);
  if (ended())
    return;
  const std::uint32_t Status = Item->Attempt_->Head_.Status_;
  if (isWhole(*Item, Result) && Status >= 200 && Status < 500 && !Item->Attempt_->Answer_.NotRun_)
    return answer(*Item);
  logFailure(*Item->Attempt_, Result);
  onFailure(Item, Result);
}

void CallExchange::onFailure(const SendPtr &Item, const HttpResult &Result) {
  const bool NotRun = !Result.BytesHandedOver_ || Item->Attempt_->Answer_.NotRun_;
  if (NotRun)
    --Runs_;
  else if (isWhole(*Item, Result))
    Failure_ = Item;
  else
    OutcomeUnknown_ = true;
  if (!Open_.empty())
    return;
  const bool MaySend = NotRun || (repeatable() && Runs_ < Routed_.Route_->MaxAttempts_);
  // A connection that was never opened costs the service nothing.
  const bool InBudget = MaySend && (!Result.BytesHandedOver_ || mayRepeat());
  if (!InBudget || !sendNext())
    giveUp();
}

void CallExchange::answer(const Send &Item) {
  HttpResponse Answer = Parts_.Dialect_.responseForCaller(Item.Attempt_->Head_);
  Answer.Body_ = Item.Body_;
  abandon();
  Routed_.Responder_->send(std::move(Answer));
  finish(Item.Attempt_->Head_.Status_ < 400 ? "served" : "endpoint_failure");
}

void CallExchange::giveUp() {
  // An endpoint's 503 or 429 without its word that nothing ran would read as a promise.
  if (Failure_ && Failure_->Attempt_->Head_.Status_ != 503 &&
      Failure_->Attempt_->Head_.Status_ != 429)
    return answer(*Failure_);
  if (OutcomeUnknown_ || Failure_)
    return refuse(502, ErrorCode::OutcomeUnknown, std::nullopt);
  refuse(503, ErrorCode::NoEndpoint, spread(RetryLeast, RetryMost));
}

void CallExchange::tick(TimePoint Now) {
  if (ended() || !repeatable() || Open_.size() != 1 || Runs_ >= Routed_.Route_->MaxAttempts_)
    return;
  const auto Limit =
      std::chrono::duration_cast<Duration>(Routed_.Route_->Objective_ * SecondSendAfter);
  if (Now - Open_.front()->Attempt_->SentAt_ < Limit || !mayRepeat())
    return;
  sendNext();
}

void CallExchange::abandon() {
  for (const SendPtr &Item : Open_) {
    Parts_.Roster_.addOwn(Item->Attempt_->Endpoint_, -1, 0);
    drop(Item->Attempt_);
  }
  Open_.clear();
}

void CallExchange::onDeadline() {
  if (Runs_ == 0)
    return refuse(503, ErrorCode::DeadlineExceeded, std::nullopt);
  refuse(504, ErrorCode::DeadlineExceeded, std::nullopt);
}

} // namespace rattancart
