#include "Control/ClaimOrderer.h"

#include "Core/Common/ErrorCode.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace rattancart {

namespace {

constexpr std::size_t RecordsPerRead = 128;
constexpr Duration ReadWait = std::chrono::seconds(1);
constexpr Duration ReadRetry = std::chrono::milliseconds(200);
constexpr Duration GapRetry = std::chrono::seconds(1);
constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration MinAppendWait = std::chrono::milliseconds(1);
constexpr std::int64_t SnapshotSearchWindow = 4096;
/// Past every offset: a read there only tells which range the log holds.
constexpr LogOffset OffsetPastEnd{std::numeric_limits<std::int64_t>::max() / 2};

std::vector<StreamRecord> recordsOf(const LogPage &Page) {
  std::vector<StreamRecord> Records;
  Records.reserve(Page.Records_.size());
  for (const LogRecord &Record : Page.Records_)
    Records.push_back({Record.Offset_, Record.Body_});
  return Records;
}

wire::ClaimState wireState(ClaimOutcome::State State) {
  switch (State) {
  case ClaimOutcome::State::Won:
    return wire::ClaimState::Won;
  case ClaimOutcome::State::Lost:
    return wire::ClaimState::Lost;
  case ClaimOutcome::State::NotEligible:
    return wire::ClaimState::NotEligible;
  case ClaimOutcome::State::Done:
    return wire::ClaimState::Done;
  case ClaimOutcome::State::Unavailable:
    break;
  }
  return wire::ClaimState::Unavailable;
}

} // namespace

ClaimOrderer::ClaimOrderer(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                           LogService &Platform, std::string Writer, SequencerOptions Options)
    : Loop_(Loop), Time_(Time), Log_(Log), Platform_(Platform), Options_(Options),
      Core_(std::move(Writer), Options), ReadTimer_(Loop), AppendTimer_(Loop), TickTimer_(Loop) {}

ClaimOrderer::~ClaimOrderer() { *Alive_ = false; }

void ClaimOrderer::start() {
  TickTimer_.every(TickInterval, [this] { tick(); });
  findRange();
}

void ClaimOrderer::readAgainAfter(Duration Delay) {
  ReadTimer_.after(Delay, [this] {
    if (Loader_ || Core_.isLoaded())
      read();
    else
      findRange();
  });
}

void ClaimOrderer::findRange() {
  Platform_.read(ClaimStream, OffsetPastEnd, 1, Duration{},
                 [this, Alive = Alive_](const Result<LogPage> &Page) {
                   if (!*Alive)
                     return;
                   if (!Page) {
                     handleReadFailure(Page.error());
                     return;
                   }
                   Loader_.emplace(Page->First_, Page->Next_, SnapshotSearchWindow);
                   handleLoadPage(LogPage{Page->First_, Page->Next_, {}});
                 });
}

void ClaimOrderer::read() {
  const bool IsLoading = Loader_.has_value();
  const LogOffset From = IsLoading ? Loader_->position() : Core_.table().tail();
  const TimePoint StartedAt = Time_.now();
  Platform_.read(ClaimStream, From, RecordsPerRead, IsLoading ? Duration{} : ReadWait,
                 [this, Alive = Alive_, IsLoading, StartedAt](const Result<LogPage> &Page) {
                   if (!*Alive)
                     return;
                   if (!Page)
                     handleReadFailure(Page.error());
                   else if (IsLoading)
                     handleLoadPage(*Page);
                   else
                     handleFollowPage(*Page, StartedAt);
                 });
}

void ClaimOrderer::handleLoadPage(const LogPage &Page) {
  setPlatformUp(true);
  if (Loader_->state() == ClaimLoader::State::Reading)
    Loader_->onPageRead(recordsOf(Page), Page.First_, Page.Next_);
  switch (Loader_->state()) {
  case ClaimLoader::State::Reading:
    read();
    return;
  case ClaimLoader::State::Gap:
    if (!HasGap_)
      Log_.log(LogEvent::ClaimsGap, {{"first", Page.First_.value()}, {"next", Page.Next_.value()}});
    HasGap_ = true;
    Loader_.reset();
    readAgainAfter(GapRetry);
    return;
  case ClaimLoader::State::UnknownSchema:
    Log_.log(LogEvent::UnknownSchemaMet, {{"stream", ClaimStream}});
    Loader_.reset();
    readAgainAfter(GapRetry);
    return;
  case ClaimLoader::State::Loaded:
    break;
  }
  HasGap_ = false;
  Core_.load(Loader_->take(), Time_.now());
  Loader_.reset();
  deliverRepliesSoon();
  read();
}

void ClaimOrderer::handleFollowPage(const LogPage &Page, TimePoint StartedAt) {
  setPlatformUp(true);
  // The next offset lies before what was already read only if the stream was lost.
  const bool WentBack = Page.Next_ < Core_.table().tail();
  if (!WentBack)
    Core_.onPageRead(recordsOf(Page), Page.First_, Page.Next_, StartedAt, Time_.now());
  deliverRepliesSoon();
  append();
  if (Core_.isLoaded() && !WentBack) {
    read();
    return;
  }
  if (WentBack)
    Core_.unload(Time_.now());
  Log_.log(WentBack ? LogEvent::ClaimsGap : LogEvent::UnknownSchemaMet, {{"stream", ClaimStream}});
  readAgainAfter(GapRetry);
}

void ClaimOrderer::handleReadFailure(const Error &Failure) {
  if (Failure.Code_ == ErrorCode::OffsetTrimmed) {
    // Retention removed records that were not read yet; a snapshot must cover them.
    Core_.unload(Time_.now());
    Loader_.reset();
    readAgainAfter(ReadRetry);
  } else {
    setPlatformUp(false);
    Core_.onReadFailed(Time_.now());
    readAgainAfter(ReadRetry);
  }
  deliverRepliesSoon();
}

void ClaimOrderer::setPlatformUp(bool IsUp) {
  if (IsUp)
    LastReadAt_ = Time_.now();
  if (PlatformUp_ == IsUp)
    return;
  PlatformUp_ = IsUp;
  Log_.log(IsUp ? LogEvent::PlatformBack : LogEvent::PlatformLost, {{"stream", ClaimStream}});
}

void ClaimOrderer::append() {
  std::optional<std::string> Body = Core_.nextAppend(Time_.now());
  if (!Body) {
    appendSoon();
    return;
  }
  Platform_.append(
      ClaimStream, std::move(*Body), [this, Alive = Alive_](const Result<LogOffset> &Done) {
        if (!*Alive)
          return;
        if (Done)
          Core_.onAppended(Time_.now());
        else
          Core_.onAppendFailed(Done.error().Code_ != ErrorCode::PlatformUnreachable, Time_.now());
        deliverRepliesSoon();
        append();
      });
}

void ClaimOrderer::appendSoon() {
  if (AppendScheduled_ || Core_.isAppending() || Core_.pending() == 0)
    return;
  AppendScheduled_ = true;
  const Duration Wait = Core_.appendDueAt() - Time_.now();
  AppendTimer_.after(std::max(Wait, MinAppendWait), [this] {
    AppendScheduled_ = false;
    append();
  });
}

void ClaimOrderer::tick() {
  Core_.tick(Time_.now());
  const TimePoint Oldest = Time_.now() - Options_.MaxTrackingTime_;
  std::erase_if(PendingAnswers_,
                [Oldest](const auto &Pair) { return Pair.second.RequestedAt_ < Oldest; });
  append();
  deliverReplies();
}

void ClaimOrderer::claim(const wire::ClaimRequestT &Request, ClaimAnswerHandler Answer) {
  PendingAnswers_[Request.call] = PendingAnswer{Request.id, std::move(Answer), Time_.now()};
  ClaimItem Item;
  Item.Call_ = RequestId(Request.call);
  Item.Key_ = IdempotencyKey(Request.key);
  Item.Position_ = LogOffset(Request.position);
  Core_.claim(Item, Time_.now());
  appendSoon();
  deliverRepliesSoon();
}

void ClaimOrderer::close(const wire::ClaimCloseT &Close) {
  ClaimItem Item;
  Item.Kind_ =
      Close.closing == wire::ClaimClosing::Done ? ClaimItem::Kind::Done : ClaimItem::Kind::Released;
  Item.Call_ = RequestId(Close.call);
  Item.Key_ = IdempotencyKey(Close.key);
  Item.Status_ = Close.status;
  if (isRecordableBody(Close.body))
    Item.Body_ = Close.body;
  if (!Core_.close(Item, Time_.now()))
    Log_.log(LogEvent::ClaimCloseDropped, {{"call", Close.call}});
  appendSoon();
}

void ClaimOrderer::deliverRepliesSoon() {
  if (DeliveryScheduled_)
    return;
  DeliveryScheduled_ = true;
  boost::asio::post(Loop_, [this, Alive = Alive_] {
    if (*Alive)
      deliverReplies();
  });
}

void ClaimOrderer::deliverReplies() {
  DeliveryScheduled_ = false;
  for (const SequencerReply &Reply : Core_.takeReplies())
    answer(Reply);
}

void ClaimOrderer::answer(const SequencerReply &Decision) {
  const auto Found = PendingAnswers_.find(Decision.Call_.str());
  if (Found == PendingAnswers_.end())
    return;
  wire::ClaimAnswerT Answer;
  Answer.id = Found->second.Id_;
  Answer.call = Decision.Call_.str();
  Answer.state = wireState(Decision.Outcome_.State_);
  Answer.offset = Decision.Outcome_.Offset_.value();
  Answer.status = static_cast<std::uint16_t>(Decision.Outcome_.Status_);
  Answer.body = Decision.Outcome_.Body_;
  if (Decision.Outcome_.MayStillWin_)
    Answer.status = ClaimMayStillWin;
  const ClaimAnswerHandler Handler = Found->second.Answer_;
  // A claim whose result is unknown may still win, and a lost claim gets the winner's answer later.
  const bool IsFinal =
      Decision.Outcome_.State_ != ClaimOutcome::State::Lost && !Decision.Outcome_.MayStillWin_;
  if (IsFinal)
    PendingAnswers_.erase(Found);
  Handler(Answer);
}

boost::json::object ClaimOrderer::state() const {
  const SequencerStats &Stats = Core_.stats();
  return {{"available", Core_.isAvailable()},
          {"loaded", Core_.isLoaded()},
          {"gap", HasGap_},
          {"unknown_schema", Core_.isStoppedAtUnknownSchema()},
          {"tail", Core_.table().tail().value()},
          {"floor", Core_.table().floor().value()},
          {"keys", Core_.table().size()},
          {"held", Core_.table().heldKeys()},
          {"followed", Core_.trackedClaims()},
          {"pending", Core_.pending()},
          {"closes_unseen", Core_.unconfirmedCloses()},
          {"last_snapshot", Core_.lastSnapshot().value()},
          {"appending", Core_.isAppending()},
          {"appends", Stats.Appends_},
          {"appends_failed", Stats.AppendsFailed_},
          {"appends_unknown", Stats.AppendsUnknown_},
          {"items_appended", Stats.ItemsAppended_},
          {"bytes_appended", Stats.BytesAppended_},
          {"records_read", Stats.RecordsRead_},
          {"records_malformed", Stats.RecordsMalformed_},
          {"won", Stats.Won_},
          {"lost", Stats.Lost_},
          {"not_eligible", Stats.NotEligible_},
          {"answered_done", Stats.AnsweredDone_},
          {"unavailable", Stats.Unavailable_},
          {"late_wins", Stats.LateWins_},
          {"snapshots_written", Stats.SnapshotsWritten_},
          {"forgets_written", Stats.ForgetsWritten_}};
}

} // namespace rattancart
