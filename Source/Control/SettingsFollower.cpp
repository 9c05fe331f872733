#include "Control/SettingsFollower.h"

#include <boost/json/parse.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace rattancart {

namespace json = boost::json;

namespace {

const std::string Stream = "settings";
constexpr std::uint32_t MaxDoublings = 10;

/// The oldest retained offset, which the platform names when it refuses to read a trimmed one.
std::optional<LogOffset> oldestKeptOffset(const std::string &Detail) {
  boost::system::error_code Failure;
  const json::value Body = json::parse(Detail, Failure);
  if (Failure || !Body.is_object() || !Body.as_object().if_contains("first") ||
      !Body.at("first").is_int64() || Body.at("first").as_int64() < 0)
    return std::nullopt;
  return LogOffset(Body.at("first").as_int64());
}

SubmitOutcome makeOutcome(const ChangeId &Id, LogOffset Offset, Error Reason) {
  const auto State = Reason.Code_ ? SubmitOutcome::State::Rejected : SubmitOutcome::State::Accepted;
  return {State, Id, Offset, std::move(Reason)};
}

} // namespace

SettingsFollower::SettingsFollower(Services Used, SettingsFollowerOptions Options,
                                   SettingsListener &Listener)
    : Services_(Used), Options_(std::move(Options)), Listener_(Listener),
      History_(Options_.HistoryLimit_) {}

SettingsFollower::~SettingsFollower() = default;

void SettingsFollower::start() {
  // The age of a snapshot that is already in the log is not known, so it is assumed to
  // be between a quarter and a half of SnapshotAge_.
  SnapshotSeenAt_ = Services_.Clock_.now() - jittered(Options_.SnapshotAge_ / 2);
  Scan_.emplace(LogOffset(0));
  read();
}

void SettingsFollower::read() {
  if (Reading_ || Replica_.stopped())
    return;
  Reading_ = true;
  ReadStartedAt_ = Services_.Clock_.now();
  const LogOffset From = Scan_ ? Scan_->next() : Replica_.offset().next();
  const Duration Wait = Scan_ ? Duration::zero() : Options_.ReadWait_;
  // A read may fail because its answer is too large, so each failure halves the page.
  const std::size_t Max =
      std::max<std::size_t>(1, Options_.PageRecords_ >> std::min(ReadFailures_, MaxDoublings));
  Services_.Log_.read(Stream, From, Max, Wait,
                      guarded([this](Result<LogPage> Page) { onPage(std::move(Page)); }));
}

void SettingsFollower::onPage(Result<LogPage> Page) {
  Reading_ = false;
  if (!Page)
    return onReadFailed(Page.error());
  ReadFailures_ = 0;
  PlatformUp_ = true;
  if (std::exchange(PlatformLostLogged_, false))
    Services_.Logger_.log(LogEvent::PlatformBack, {{"stream", Stream}});
  handlePage(std::move(*Page));
}

void SettingsFollower::onReadFailed(const Error &Failure) {
  if (Failure.Code_ == make_error_code(ErrorCode::OffsetTrimmed)) {
    PlatformUp_ = true;
    if (const std::optional<LogOffset> First = oldestKeptOffset(Failure.Detail_)) {
      const bool MadeNoProgress = Scan_ && *First <= Scan_->next();
      Scan_.emplace(*First);
      return MadeNoProgress ? readAgainLater() : read();
    }
  } else {
    PlatformUp_ = false;
    if (!std::exchange(PlatformLostLogged_, true))
      Services_.Logger_.log(
          LogEvent::PlatformLost,
          {{"stream", Stream}, {"error", Failure.Code_.value()}, {"detail", Failure.Detail_}});
  }
  readAgainLater();
}

void SettingsFollower::readAgainLater() {
  const Duration Full =
      std::min(Options_.MaxRetryDelay_,
               Options_.MinRetryDelay_ * (1U << std::min(ReadFailures_, MaxDoublings)));
  ++ReadFailures_;
  Services_.Scheduler_.after(jittered(Full), guarded([this] { read(); }));
}

void SettingsFollower::handlePage(LogPage Page) {
  if (Scan_) {
    if (!Scan_->addPage(std::move(Page))) {
      reportGap(fmt::format("no record at {}", Scan_->next().value()));
      Scan_.emplace(LogOffset(0));
      return readAgainLater();
    }
    return Scan_->complete() ? finishScan() : read();
  }
  const bool AnsweredEarly =
      Page.Records_.empty() && Services_.Clock_.now() - ReadStartedAt_ < Options_.ReadWait_ / 2;
  for (const LogRecord &Record : Page.Records_) {
    const ReplicaResult Applied = applyRecord(Record.Offset_, Record.Body_);
    if (Applied.State_ == ReplicaResult::State::Stopped)
      return;
    if (Applied.State_ == ReplicaResult::State::Gap) {
      reportGap(fmt::format("no record at {}", Replica_.offset().next().value()));
      Scan_.emplace(LogOffset(0));
      return readAgainLater();
    }
  }
  scheduleSnapshotIfDue();
  // If the platform doesn't wait for the next record, reading again at once would be a busy loop.
  return AnsweredEarly ? readAgainLater() : read();
}

void SettingsFollower::finishScan() {
  const SettingsScan Scan = std::move(*Scan_);
  Scan_.reset();
  if (!Scan.covers(Replica_.offset())) {
    reportGap("no snapshot in the log can be used");
    Scan_.emplace(LogOffset(0));
    return readAgainLater();
  }
  if (Scan.newestImage() && Scan.newestImage()->Offset_ > Replica_.offset())
    applyImage(Scan.newestImage()->Offset_, Scan.newestImage()->Body_);
  for (const LogRecord &Record : Scan.records())
    applyRecord(Record.Offset_, Record.Body_);
  Ready_ = true;
  GapLogged_ = false;
  resolvePending();
  scheduleSnapshotIfDue();
  read();
}

void SettingsFollower::reportGap(std::string Detail) {
  if (!std::exchange(GapLogged_, true))
    Services_.Logger_.log(LogEvent::SettingsGap,
                          {{"offset", Replica_.offset().value()}, {"detail", std::move(Detail)}});
}

ReplicaResult SettingsFollower::offerImage(LogOffset Offset, const std::string &Body) {
  const bool WasStopped = Replica_.stopped();
  ReplicaResult Outcome = applyImage(Offset, Body);
  if (Outcome.State_ == ReplicaResult::State::Applied) {
    Ready_ = true;
    resolvePending();
    if (WasStopped)
      read();
  }
  return Outcome;
}

ReplicaResult SettingsFollower::offerRecord(LogOffset Offset, const std::string &Body) {
  // Until the log was read or an image received, records before this one may be missing.
  if (!Ready_ && Offset > Replica_.offset())
    return {ReplicaResult::State::Gap, {}, ErrorCode::LogGap, {}};
  return applyRecord(Offset, Body);
}

ReplicaResult SettingsFollower::applyImage(LogOffset Offset, const std::string &Body) {
  ReplicaResult Outcome = Replica_.applyImage(Offset, Body);
  if (Outcome.State_ == ReplicaResult::State::Ignored)
    Services_.Logger_.log(LogEvent::StaleViewIgnored, {{"offset", Offset.value()}});
  if (Outcome.State_ == ReplicaResult::State::Stopped)
    logStopped(Outcome.Detail_);
  if (Outcome.State_ != ReplicaResult::State::Applied)
    return Outcome;
  StoppedLogged_ = false;
  RecordsSeenAfter_ = Offset;
  SnapshotCovered_ = std::max(SnapshotCovered_, Replica_.log().floor());
  Services_.Logger_.log(LogEvent::SnapshotApplied, {{"offset", Offset.value()}});
  Listener_.onSettingsImage();
  return Outcome;
}

ReplicaResult SettingsFollower::applyRecord(LogOffset Offset, const std::string &Body) {
  ReplicaResult Outcome = Replica_.applyRecord(Offset, Body);
  if (Outcome.State_ == ReplicaResult::State::Stopped)
    logStopped(Outcome.Decision_ ? Outcome.Decision_->Detail_ : Outcome.Detail_);
  if (Outcome.State_ != ReplicaResult::State::Applied)
    return Outcome;
  recordDecision(*Outcome.Decision_);
  Listener_.onSettingsRecord(Offset, Body);
  resolvePending();
  return Outcome;
}

void SettingsFollower::logStopped(const std::string &Detail) {
  if (!std::exchange(StoppedLogged_, true))
    Services_.Logger_.log(LogEvent::UnknownSchemaMet,
                          {{"offset", Replica_.offset().next().value()}, {"detail", Detail}});
}

void SettingsFollower::recordDecision(const SettingsDecision &Item) {
  if (Item.Kind_ == SettingsDecision::Kind::Snapshot) {
    SnapshotSeen_ = Item.Offset_;
    SnapshotCovered_ = std::max(SnapshotCovered_, Item.Covered_);
    SnapshotSeenAt_ = Services_.Clock_.now();
    return;
  }
  if (Item.Kind_ == SettingsDecision::Kind::Accepted)
    Services_.Logger_.log(LogEvent::ChangeAccepted, {{"offset", Item.Offset_.value()},
                                                     {"change", Item.Change_.str()},
                                                     {"author", Item.Author_.str()}});
  else
    Services_.Logger_.log(LogEvent::ChangeRejected, {{"offset", Item.Offset_.value()},
                                                     {"change", Item.Change_.str()},
                                                     {"author", Item.Author_.str()},
                                                     {"error", Item.Error_.value()},
                                                     {"detail", Item.Detail_}});
  History_.add(Item);
}

void SettingsFollower::submit(const SettingsChange &Change,
                              std::function<void(const SubmitOutcome &)> Done) {
  const std::uint64_t Ticket = NextTicket_++;
  Pending_.emplace(Ticket, Pending{Change.Id_, std::move(Done)});
  std::string Body = formatChange(Change);
  const Result<SettingsChange> Parsed = parseChange(Body);
  SubmitOutcome Known = findChange(Change.Id_);
  if (!Parsed)
    Known = makeOutcome(Change.Id_, NoOffset, Parsed.error());
  if (Known.State_ != SubmitOutcome::State::Unknown) {
    Services_.Scheduler_.after(Duration::zero(),
                               guarded([this, Ticket, Known] { answer(Ticket, Known); }));
    return;
  }
  Services_.Scheduler_.after(Options_.SubmitTimeout_, guarded([this, Ticket, Id = Change.Id_] {
                               answer(Ticket,
                                      {SubmitOutcome::State::Unknown,
                                       Id,
                                       NoOffset,
                                       {ErrorCode::ChangeUnknown, "not read back in time"}});
                             }));
  Services_.Log_.append(
      Stream, std::move(Body),
      guarded([this, Ticket](const Result<LogOffset> &Appended) { onAppended(Ticket, Appended); }));
}

void SettingsFollower::onAppended(std::uint64_t Ticket, const Result<LogOffset> &Appended) {
  const auto Found = Pending_.find(Ticket);
  if (Found == Pending_.end())
    return;
  // In all other cases reading the log shows the outcome. Without a connection there is nothing to
  // wait for. The outcome is unknown and not rejected, since an earlier copy of the change may have
  // been appended through another process.
  if (!Appended && Appended.error().Code_ == make_error_code(ErrorCode::PlatformUnreachable))
    answer(Ticket,
           {SubmitOutcome::State::Unknown, Found->second.Change_, NoOffset, Appended.error()});
}

void SettingsFollower::answer(std::uint64_t Ticket, const SubmitOutcome &Outcome) {
  const auto Found = Pending_.find(Ticket);
  if (Found == Pending_.end())
    return;
  const std::function<void(const SubmitOutcome &)> Done = std::move(Found->second.Done_);
  Pending_.erase(Found);
  Done(Outcome);
}

void SettingsFollower::resolvePending() {
  std::vector<std::pair<std::uint64_t, SubmitOutcome>> Settled;
  for (const auto &[Ticket, Item] : Pending_)
    if (SubmitOutcome Outcome = findChange(Item.Change_);
        Outcome.State_ != SubmitOutcome::State::Unknown)
      Settled.emplace_back(Ticket, std::move(Outcome));
  for (const auto &[Ticket, Outcome] : Settled)
    answer(Ticket, Outcome);
}

SubmitOutcome SettingsFollower::findChange(const ChangeId &Id) const {
  const SettingsDecision *Seen = History_.findChange(Id);
  if (Seen && mayHaveEarlierCopy(*Seen))
    return {SubmitOutcome::State::Unknown,
            Id,
            NoOffset,
            {ErrorCode::ChangeUnknown, "this copy came too late; an earlier one was not seen"}};
  if (Seen)
    return makeOutcome(Id, Seen->Offset_, {Seen->Error_, Seen->Detail_});
  if (const std::optional<DecidedChange> Kept = Replica_.log().findChange(Id))
    return makeOutcome(Id, Kept->Offset_, {Kept->Error_, {}});
  return {SubmitOutcome::State::Unknown,
          Id,
          NoOffset,
          {ErrorCode::ChangeUnknown, "no decision on this id is known"}};
}

bool SettingsFollower::mayHaveEarlierCopy(const SettingsDecision &Item) const {
  // An accepted copy has an offset above the change's base. If this process did not see all records
  // from there on, an earlier copy may have been accepted; the log forgets ids below its floor.
  return Item.Error_ == make_error_code(ErrorCode::BaseTooOld) &&
         Item.Base_ < std::max(RecordsSeenAfter_, History_.droppedUpTo());
}

Duration SettingsFollower::jittered(Duration Full) {
  std::uniform_int_distribution<Duration::rep> Draw(Full.count() / 2, Full.count());
  return Duration(Draw(Services_.Random_));
}

} // namespace rattancart
