#include "Tests/Router/ClaimWorld.h"

#include "Core/Common/ErrorCode.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

constexpr Duration Window = std::chrono::seconds(4);
constexpr std::size_t KeyCount = 2;
constexpr std::size_t MaxCopies = 5;

SequencerOptions sequencerOptions() {
  SequencerOptions Options;
  Options.Linger_ = Duration{};
  Options.MinInterval_ = Duration{};
  Options.DedupWindow_ = Window;
  Options.ForgetLag_ = std::chrono::milliseconds(200);
  Options.ClaimTimeout_ = std::chrono::seconds(1);
  Options.SnapshotEvery_ = 4;
  Options.SnapshotInterval_ = std::chrono::seconds(2);
  Options.SnapshotPartBytes_ = 100;
  return Options;
}

std::string keyName(std::size_t Index) { return "k" + std::to_string(Index); }

} // namespace

void KeyHistory::violate(const std::string &What) {
  if (Violation_.empty())
    Violation_ = What;
}

void KeyHistory::executed(const std::string &Copy) {
  if (!Executed_.empty())
    violate(Copy + " executes after " + Executed_.front());
  if (std::find(Barred_.begin(), Barred_.end(), Copy) != Barred_.end())
    violate(Copy + " executes, but arrived before " + ToldNotRun_ + " was told not-run");
  Executed_.push_back(Copy);
}

void KeyHistory::told(const std::string &Copy, Outcome What) {
  if (What == Outcome::Done && Executed_.empty())
    violate(Copy + " is told done, and nothing was executed");
  if (What != Outcome::NotRun)
    return;
  if (!Executed_.empty())
    violate(Copy + " is told not-run, and " + Executed_.front() + " was executed");
  ToldNotRun_ = Copy;
  Barred_ = Arrived_;
}

class ClaimWorld::Permit final : public RetryBudget {
public:
  void onFirstAttempt(const RouteId &, std::uint32_t, TimePoint) override {}
  bool tryConsumeRetry(const RouteId &, TimePoint) override { return true; }
};

struct ClaimWorld::Control {
  std::unique_ptr<ClaimSequencer> Core_;
  std::optional<ClaimLoader> Loader_;
  std::map<std::string, std::uint64_t> Ids_;
};

class ClaimWorld::Link final : public FrameSender {
public:
  bool isUp() const override { return true; }
  bool send(const wire::FrameT &Frame) override {
    ToControl_.push_back(Frame);
    return true;
  }

  std::size_t Control_ = 0;
  std::deque<wire::FrameT> ToControl_;
  std::deque<wire::ClaimAnswerT> ToRouter_;
};

struct ClaimWorld::Router {
  Link Link_;
  std::unique_ptr<FrameClaimClient> Client_;
  LogOffset Tail_{0};
};

struct ClaimWorld::Call {
  std::string Copy_;
  std::string Key_;
  Router *Router_ = nullptr;
  LogOffset Position_{0};
  Duration Timeout_{};
  TimePoint Deadline_{};
  std::unique_ptr<CallMachine> Machine_;
  int Claims_ = 0;
  bool Dead_ = false;
  bool CallerGone_ = false;
  bool DeadlineSeen_ = false;
  std::optional<Outcome> LateTelling_;
};

struct ClaimWorld::Append {
  Control *By_ = nullptr;
  ClaimSequencer *Core_ = nullptr;
  std::string Body_;
};

struct ClaimWorld::Sending {
  Call *Call_ = nullptr;
  bool Opened_ = false;
};

ClaimWorld::ClaimWorld(std::uint64_t Seed, PlantedFault Fault)
    : Random_(Seed), Fault_(Fault), Permit_(std::make_unique<Permit>()) {
  Start_ = Time_.now();
  Profile_.ConnectFailPercent_ = static_cast<int>(10 + 40 * pick(3));
  Profile_.AppendFaultPercent_ = static_cast<int>(20 * pick(3));
  Profile_.DisruptionPercent_ = static_cast<int>(2 * pick(3));
  Profile_.ArrivalPercent_ = static_cast<int>(5 + 30 * pick(3));
  Profile_.MaxAdvanceMs_ = 50 << (2 * pick(3));
  for (int Index = 0; Index < 2; ++Index) {
    Controls_.push_back(std::make_unique<Control>());
    restart(*Controls_.back());
  }
  for (int Index = 0; Index < 3; ++Index) {
    Routers_.push_back(std::make_unique<Router>());
    Router &Each = *Routers_.back();
    Each.Link_.Control_ = pick(Controls_.size());
    Each.Client_ = std::make_unique<FrameClaimClient>(Loop_, Time_, Log_, Each.Link_);
  }
}

ClaimWorld::~ClaimWorld() = default;

bool ClaimWorld::chance(int Percent) { return static_cast<int>(Random_() % 100) < Percent; }

std::size_t ClaimWorld::pick(std::size_t Count) { return Random_() % Count; }

WorldResult ClaimWorld::run(int Steps) {
  std::vector<Action> Actions;
  for (int Step = 0; Step < Steps && Result_.Violation_.empty(); ++Step) {
    Actions.clear();
    collect(Actions);
    Actions[pick(Actions.size())]();
    for (const auto &[Key, History] : Histories_) {
      if (!History.violation().empty())
        Result_.Violation_ = Key + ": " + History.violation();
      Result_.HasRun_ |= History.hasRun();
      Result_.ToldNotRun_ |= History.wasToldNotRun();
      Result_.RanAfterNotRun_ |= History.hasRun() && History.wasToldNotRun();
    }
  }
  return Result_;
}

void ClaimWorld::collect(std::vector<Action> &Actions) {
  Actions.emplace_back([this] { advance(); });
  if (Time_.now() - Start_ < Window / 2)
    for (std::size_t Key = 0; Key < KeyCount; ++Key)
      if (chance(Profile_.ArrivalPercent_))
        Actions.emplace_back([this, Key] { arrive(Key); });
  collectCalls(Actions);
  collectControls(Actions);
  collectSends(Actions);
  if (chance(5))
    Actions.emplace_back([this] { trim(); });
  if (chance(LogDown_ ? 50 : Profile_.DisruptionPercent_))
    Actions.emplace_back([this] { LogDown_ = !LogDown_; });
}

void ClaimWorld::collectCalls(std::vector<Action> &Actions) {
  for (const auto &Owned : Calls_) {
    Call &Each = *Owned;
    if (Each.Dead_)
      continue;
    if (!Each.Machine_) {
      if (chance(30))
        Actions.emplace_back([this, &Each] { begin(Each); });
      continue;
    }
    if (Each.LateTelling_ && chance(10))
      Actions.emplace_back([this, &Each] { stepLateTelling(Each); });
    if (!Each.DeadlineSeen_ && Time_.now() >= Each.Deadline_)
      Actions.emplace_back([this, &Each] {
        Each.DeadlineSeen_ = true;
        carryOut(Each, Each.Machine_->onDeadlinePassed());
      });
    if (!Each.CallerGone_ && chance(Profile_.DisruptionPercent_ / 2))
      Actions.emplace_back([this, &Each] {
        Each.CallerGone_ = true;
        carryOut(Each, Each.Machine_->onCallerGone());
      });
  }
  for (const auto &Owned : Routers_) {
    Router &Each = *Owned;
    if (!Each.Link_.ToControl_.empty())
      Actions.emplace_back([this, &Each] { deliver(Each); });
    if (!Each.Link_.ToRouter_.empty())
      Actions.emplace_back([this, &Each] { answerRouter(Each); });
    Actions.emplace_back([this, &Each] {
      const LogOffset Tail = Controls_[Each.Link_.Control_]->Core_->table().tail();
      Each.Tail_ = std::max(Each.Tail_, Tail);
    });
    if (chance(Profile_.DisruptionPercent_))
      Actions.emplace_back([this, &Each] { moveLink(Each); });
    if (chance(Profile_.DisruptionPercent_ / 4))
      Actions.emplace_back([this, &Each] { killRouter(Each); });
  }
}

void ClaimWorld::collectControls(std::vector<Action> &Actions) {
  for (const auto &Owned : Controls_) {
    Control &Each = *Owned;
    Actions.emplace_back([this, &Each] { read(Each); });
    Actions.emplace_back([this, &Each] { append(Each); });
    if (chance(Profile_.DisruptionPercent_ / 2))
      Actions.emplace_back([this, &Each] { restart(Each); });
  }
  for (std::size_t Index = 0; Index < Appends_.size(); ++Index)
    Actions.emplace_back([this, Index] { resolveAppend(Index); });
  for (std::size_t Index = 0; Index < LateAppends_.size(); ++Index)
    Actions.emplace_back([this, Index] {
      store(LateAppends_[Index]);
      LateAppends_.erase(LateAppends_.begin() + static_cast<std::ptrdiff_t>(Index));
    });
}

void ClaimWorld::collectSends(std::vector<Action> &Actions) {
  for (std::size_t Index = 0; Index < Sends_.size(); ++Index)
    Actions.emplace_back([this, Index] { stepSend(Index); });
}

void ClaimWorld::arrive(std::size_t Key) {
  const std::string Name = keyName(Key);
  const auto Copies = static_cast<std::size_t>(
      std::count_if(Calls_.begin(), Calls_.end(), [&](const auto &C) { return C->Key_ == Name; }));
  if (Copies >= MaxCopies)
    return;
  auto Each = std::make_unique<Call>();
  Each->Key_ = Name;
  Each->Copy_ = Name + static_cast<char>('A' + Copies);
  Each->Router_ = Routers_[pick(Routers_.size())].get();
  Each->Position_ = Each->Router_->Tail_;
  Each->Timeout_ = std::chrono::milliseconds(300 + 500 * pick(20));
  Histories_[Name].arrived(Each->Copy_);
  Calls_.push_back(std::move(Each));
}

void ClaimWorld::begin(Call &Each) {
  if (Fault_ == PlantedFault::PositionReadLate)
    Each.Position_ = Each.Router_->Tail_;
  Each.Deadline_ = Time_.now() + Each.Timeout_;
  CallParameters Plan;
  Plan.HasKey_ = true;
  Plan.Deadline_ = Each.Deadline_;
  Plan.MaxClaimAge_ = Window / 2;
  Plan.MaxAttempts_ = 2;
  Each.Machine_ = std::make_unique<CallMachine>(std::move(Plan), *Permit_);
  carryOut(Each, Each.Machine_->begin(Time_.now()));
}

void ClaimWorld::claim(Call &Each) {
  const std::string Suffix = ++Each.Claims_ > 1 ? "+" + std::to_string(Each.Claims_) : "";
  Each.Router_->Client_->claim(
      RequestId(Each.Copy_ + Suffix), IdempotencyKey(Each.Key_), Each.Position_,
      [this, Copy = Each.Copy_](const ClaimReply &Reply) { claimReplied(Copy, Reply); });
}

void ClaimWorld::claimReplied(const std::string &Copy, const ClaimReply &Reply) {
  Call *Each = find(Copy);
  if (!Each || Each->Dead_)
    return;
  const bool IsLoser =
      Reply.State_ == ClaimReply::State::Lost || Reply.State_ == ClaimReply::State::NotEligible;
  if (Fault_ == PlantedFault::LoserClaimsAgain && IsLoser && Each->Claims_ < 6) {
    Each->Position_ = Each->Router_->Tail_;
    claim(*Each);
    return;
  }
  ClaimOutcome Outcome;
  Outcome.State_ = static_cast<ClaimOutcome::State>(Reply.State_);
  Outcome.Offset_ = Reply.Offset_;
  Outcome.Status_ = Reply.Status_;
  if (Reply.State_ == ClaimReply::State::Done && Reply.Status_ == 201)
    Result_.AnsweredFromRecord_ = true;
  carryOut(*Each, Each->Machine_->onClaimReply(Outcome, Time_.now()));
}

ClaimWorld::Call *ClaimWorld::find(const std::string &Copy) {
  for (const auto &Each : Calls_)
    if (Each->Copy_ == Copy)
      return Each.get();
  return nullptr;
}

void ClaimWorld::tell(Call &Each, Outcome What) {
  if (!Each.CallerGone_)
    Histories_[Each.Key_].told(Each.Copy_, What);
}

void ClaimWorld::carryOut(Call &Each, const CallEffects &Effects) {
  for (const CallEffect &Effect : Effects)
    carryOut(Each, Effect);
}

void ClaimWorld::carryOut(Call &Each, const CallEffect &Effect) {
  const std::string Suffix = Each.Claims_ > 1 ? "+" + std::to_string(Each.Claims_) : "";
  const RequestId Id(Each.Copy_ + Suffix);
  const IdempotencyKey Key(Each.Key_);
  FrameClaimClient &Client = *Each.Router_->Client_;
  if (std::holds_alternative<CallSend>(Effect)) {
    Sends_.push_back({&Each, false});
  } else if (std::holds_alternative<CallClaim>(Effect)) {
    claim(Each);
  } else if (std::holds_alternative<CallAbandonClaim>(Effect)) {
    Client.abandon(Id);
  } else if (const auto *Finish = std::get_if<CallRecordAnswer>(&Effect)) {
    Client.finish(Id, Key, Finish->Status_, Finish->Body_);
  } else if (std::holds_alternative<CallReleaseClaim>(Effect)) {
    Client.release(Id, Key);
  } else if (const auto *Forward = std::get_if<CallForwardAnswer>(&Effect)) {
    tell(Each, Forward->Outcome_);
  } else if (const auto *Answer = std::get_if<CallAnswer>(&Effect)) {
    Outcome What = Answer->Answer_.Outcome_;
    const bool WasGivenUp = Answer->Answer_.Error_ == ErrorCode::DeadlineExceeded &&
                            What == Outcome::Unknown && !Each.Machine_->isSent();
    if (Fault_ == PlantedFault::NotRunWithoutWin && WasGivenUp)
      What = Outcome::NotRun;
    if (Fault_ == PlantedFault::ReleaseBeforeTelling && What == Outcome::NotRun)
      Each.LateTelling_ = What;
    else
      tell(Each, What);
  }
}

void ClaimWorld::stepLateTelling(Call &Each) {
  tell(Each, *Each.LateTelling_);
  Each.LateTelling_.reset();
}

void ClaimWorld::stepSend(std::size_t Index) {
  const Sending Send = Sends_[Index];
  Call &Each = *Send.Call_;
  const TimePoint Now = Time_.now();
  const auto End = [&] { Sends_.erase(Sends_.begin() + static_cast<std::ptrdiff_t>(Index)); };
  if (!Send.Opened_) {
    if (Each.Dead_)
      return End();
    if (!chance(Profile_.ConnectFailPercent_) &&
        Each.Machine_->onConnectionOpened(Now, !Each.CallerGone_)) {
      Sends_[Index].Opened_ = true;
      return;
    }
    End();
    carryOut(Each, Each.Machine_->onSendFailed({ErrorCode::ConnectFailed, false}, Now));
    return;
  }
  End();
  const std::size_t Fate = pick(5);
  // Bytes that were handed over may run although the router died since.
  if (Fate < 4)
    Histories_[Each.Key_].executed(Each.Copy_);
  if (Each.Dead_)
    return;
  if (Fate < 2)
    carryOut(Each, Each.Machine_->onEndpointAnswer(201, "body", Now));
  else if (Fate == 4)
    carryOut(Each, Each.Machine_->onEndpointAnswer(500, "", Now));
  else
    carryOut(Each, Each.Machine_->onSendFailed({ErrorCode::ConnectionClosed, true}, Now));
}

void ClaimWorld::deliver(Router &From) {
  const wire::FrameT Frame = From.Link_.ToControl_.front();
  From.Link_.ToControl_.pop_front();
  Control &To = *Controls_[From.Link_.Control_];
  ClaimItem Item;
  if (const auto *Request = Frame.payload.AsClaimRequest()) {
    To.Ids_[Request->call] = Request->id;
    Item.Call_ = RequestId(Request->call);
    Item.Key_ = IdempotencyKey(Request->key);
    Item.Position_ = LogOffset(Request->position);
    const ClaimTable &Known = To.Core_->table();
    if (Fault_ == PlantedFault::NoPositionRule)
      Item.Position_ = std::max(Item.Position_, Known.tail());
    if (Fault_ == PlantedFault::NoForgetFloor)
      Item.Position_ = std::max(Item.Position_, Known.floor());
    To.Core_->claim(Item, Time_.now());
  } else if (const auto *Close = Frame.payload.AsClaimClose()) {
    Item.Kind_ = Close->closing == wire::ClaimClosing::Done ? ClaimItem::Kind::Done
                                                            : ClaimItem::Kind::Released;
    Item.Call_ = RequestId(Close->call);
    Item.Key_ = IdempotencyKey(Close->key);
    Item.Status_ = Close->status;
    To.Core_->close(Item, Time_.now());
  }
  sendReplies(To);
}

void ClaimWorld::sendReplies(Control &Each) {
  for (const SequencerReply &Reply : Each.Core_->takeReplies()) {
    wire::ClaimAnswerT Answer;
    Answer.id = Each.Ids_[Reply.Call_.str()];
    Answer.call = Reply.Call_.str();
    Answer.state = static_cast<wire::ClaimState>(Reply.Outcome_.State_);
    Answer.offset = Reply.Outcome_.Offset_.value();
    Answer.status = static_cast<std::uint16_t>(Reply.Outcome_.Status_);
    if (Reply.Outcome_.MayStillWin_)
      Answer.status = ClaimMayStillWin;
    for (const auto &To : Routers_)
      if (Controls_[To->Link_.Control_].get() == &Each)
        To->Link_.ToRouter_.push_back(Answer);
  }
}

void ClaimWorld::answerRouter(Router &To) {
  const wire::ClaimAnswerT Answer = To.Link_.ToRouter_.front();
  To.Link_.ToRouter_.pop_front();
  // Answers of other routers' calls reach this one too; their calls are not known here.
  To.Client_->onAnswer(Answer);
}

void ClaimWorld::moveLink(Router &Each) {
  Each.Link_.ToControl_.clear();
  Each.Link_.ToRouter_.clear();
  Each.Client_->onLinkLost();
  Each.Link_.Control_ = pick(Controls_.size());
  Each.Client_->onLinkUp();
}

void ClaimWorld::killRouter(Router &Each) {
  for (const auto &Owned : Calls_)
    if (Owned->Router_ == &Each)
      Owned->Dead_ = true;
  Each.Link_.ToRouter_.clear();
  Each.Client_ = std::make_unique<FrameClaimClient>(Loop_, Time_, Log_, Each.Link_);
  Each.Tail_ = LogOffset(0);
}

void ClaimWorld::restart(Control &Each) {
  for (const auto &To : Routers_)
    if (Controls_[To->Link_.Control_].get() == &Each)
      moveLink(*To);
  Each.Ids_.clear();
  Each.Loader_.reset();
  // The append of the process before may still take effect.
  for (std::size_t Index = Appends_.size(); Index-- > 0;) {
    if (Appends_[Index].By_ != &Each)
      continue;
    LateAppends_.push_back(std::move(Appends_[Index].Body_));
    Appends_.erase(Appends_.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  Each.Core_ =
      std::make_unique<ClaimSequencer>("w" + std::to_string(Writers_++), sequencerOptions());
}

void ClaimWorld::read(Control &Each) {
  if (LogDown_) {
    Each.Core_->onReadFailed(Time_.now());
    sendReplies(Each);
    return;
  }
  if (!Each.Core_->isLoaded()) {
    load(Each);
    return;
  }
  const auto From = static_cast<std::size_t>(Each.Core_->table().tail().value());
  if (From < Trimmed_) {
    Each.Core_->unload(Time_.now());
    sendReplies(Each);
    return;
  }
  std::vector<StreamRecord> Records;
  const std::size_t End = std::min(Stream_.size(), From + 1 + pick(4));
  for (std::size_t At = From; At < End; ++At)
    Records.push_back({LogOffset(static_cast<std::int64_t>(At)), Stream_[At]});
  Each.Core_->onPageRead(Records, LogOffset(static_cast<std::int64_t>(Trimmed_)),
                         LogOffset(static_cast<std::int64_t>(Stream_.size())), Time_.now(),
                         Time_.now());
  sendReplies(Each);
}

void ClaimWorld::load(Control &Each) {
  const LogOffset First(static_cast<std::int64_t>(Trimmed_));
  const LogOffset Next(static_cast<std::int64_t>(Stream_.size()));
  ClaimLoader Loader(First, Next, 3);
  while (Loader.state() == ClaimLoader::State::Reading) {
    const auto At = static_cast<std::size_t>(Loader.position().value());
    Loader.onPageRead({{Loader.position(), Stream_[At]}}, First, Next);
  }
  if (Loader.state() != ClaimLoader::State::Loaded)
    return;
  LoadedClaims Loaded = Loader.take();
  Result_.StartedFromSnapshot_ |= Loaded.Snapshot_ != NoOffset;
  Each.Core_->load(std::move(Loaded), Time_.now());
  sendReplies(Each);
}

void ClaimWorld::append(Control &Each) {
  std::optional<std::string> Body = Each.Core_->nextAppend(Time_.now());
  if (Body)
    Appends_.push_back({&Each, Each.Core_.get(), std::move(*Body)});
  sendReplies(Each);
}

void ClaimWorld::resolveAppend(std::size_t Index) {
  const Append Each = std::move(Appends_[Index]);
  Appends_.erase(Appends_.begin() + static_cast<std::ptrdiff_t>(Index));
  const bool IsFaulty = LogDown_ || chance(Profile_.AppendFaultPercent_);
  const std::size_t Fate = LogDown_ ? 9 : IsFaulty ? 6 + pick(4) : 0;
  if (Fate < 6) {
    store(Each.Body_);
    Each.Core_->onAppended(Time_.now());
  } else if (Fate == 6) {
    store(Each.Body_);
    LateAppends_.push_back(Each.Body_);
    Each.Core_->onAppended(Time_.now());
  } else if (Fate == 7) {
    store(Each.Body_);
    Each.Core_->onAppendFailed(true, Time_.now());
  } else if (Fate == 8) {
    LateAppends_.push_back(Each.Body_);
    Each.Core_->onAppendFailed(true, Time_.now());
  } else {
    Each.Core_->onAppendFailed(false, Time_.now());
  }
  sendReplies(*Each.By_);
}

void ClaimWorld::store(std::string Body) {
  const LogOffset Offset(static_cast<std::int64_t>(Stream_.size()));
  Result<ClaimRecord> Record = decodeClaimRecord(Body);
  for (ClaimItem &Item : Record->Items_) {
    if (Fault_ == PlantedFault::NoPositionRule)
      Item.Position_ = Offset;
    if (Fault_ == PlantedFault::NoForgetFloor)
      Item.Position_ = std::max(Item.Position_, Truth_.floor());
  }
  Result_.Forgot_ |= Record->Forget_.has_value();
  Truth_.apply(Offset, *Record);
  Stream_.push_back(encodeClaimRecord(*Record));
}

void ClaimWorld::trim() {
  const std::size_t Kept = 4 + pick(8);
  if (Stream_.size() > Kept)
    Trimmed_ = std::max(Trimmed_, Stream_.size() - Kept);
}

void ClaimWorld::advance() {
  Time_.advance(std::chrono::milliseconds(10 + pick(Profile_.MaxAdvanceMs_)));
  for (const auto &Each : Controls_) {
    Each->Core_->tick(Time_.now());
    sendReplies(*Each);
  }
}

} // namespace rattancart
