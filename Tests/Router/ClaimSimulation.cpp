#include "Tests/Router/ClaimSimulation.h"

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

void KeyHistory::recordViolation(const std::string &Text) {
  if (Violation_.empty())
    Violation_ = Text;
}

void KeyHistory::executed(const std::string &Copy) {
  if (!Executed_.empty())
    recordViolation(Copy + " executes after " + Executed_.front());
  if (std::find(ForbiddenToRun_.begin(), ForbiddenToRun_.end(), Copy) != ForbiddenToRun_.end())
    recordViolation(Copy + " executes, but arrived before " + ToldNotRun_ + " was told not-run");
  Executed_.push_back(Copy);
}

void KeyHistory::told(const std::string &Copy, Outcome CallOutcome) {
  if (CallOutcome == Outcome::Done && Executed_.empty())
    recordViolation(Copy + " is told done, and nothing was executed");
  if (CallOutcome != Outcome::NotRun)
    return;
  if (!Executed_.empty())
    recordViolation(Copy + " is told not-run, and " + Executed_.front() + " was executed");
  ToldNotRun_ = Copy;
  ForbiddenToRun_ = Arrived_;
}

class ClaimSimulation::UnlimitedRetryBudget final : public RetryBudget {
public:
  void onFirstAttempt(const RouteId &, std::uint32_t, TimePoint) override {}
  bool tryConsumeRetry(const RouteId &, TimePoint) override { return true; }
};

struct ClaimSimulation::Control {
  std::unique_ptr<ClaimSequencer> Core_;
  std::optional<ClaimLoader> Loader_;
  std::map<std::string, std::uint64_t> Ids_;
};

class ClaimSimulation::Link final : public FrameSender {
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

struct ClaimSimulation::Router {
  Link Link_;
  std::unique_ptr<FrameClaimClient> Client_;
  LogOffset Tail_{0};
};

struct ClaimSimulation::Call {
  std::string Copy_;
  std::string Key_;
  Router *Router_ = nullptr;
  LogOffset Position_{0};
  Duration Timeout_{};
  TimePoint Deadline_{};
  std::unique_ptr<CallMachine> Machine_;
  int Claims_ = 0;
  bool RouterDead_ = false;
  bool CallerGone_ = false;
  bool DeadlineSeen_ = false;
  std::optional<Outcome> DelayedOutcome_;
};

struct ClaimSimulation::Append {
  Control *By_ = nullptr;
  ClaimSequencer *Core_ = nullptr;
  std::string Body_;
};

struct ClaimSimulation::Sending {
  Call *Call_ = nullptr;
  bool Opened_ = false;
};

ClaimSimulation::ClaimSimulation(std::uint64_t Seed, InjectedFault Fault)
    : Random_(Seed), Fault_(Fault), Budget_(std::make_unique<UnlimitedRetryBudget>()) {
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
    Router &Current = *Routers_.back();
    Current.Link_.Control_ = pick(Controls_.size());
    Current.Client_ = std::make_unique<FrameClaimClient>(Loop_, Time_, Log_, Current.Link_);
  }
}

ClaimSimulation::~ClaimSimulation() = default;

bool ClaimSimulation::chance(int Percent) { return static_cast<int>(Random_() % 100) < Percent; }

std::size_t ClaimSimulation::pick(std::size_t Count) { return Random_() % Count; }

SimulationResult ClaimSimulation::run(int Steps) {
  std::vector<Action> Actions;
  for (int Step = 0; Step < Steps && Result_.Violation_.empty(); ++Step) {
    Actions.clear();
    collectActions(Actions);
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

void ClaimSimulation::collectActions(std::vector<Action> &Actions) {
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

void ClaimSimulation::collectCalls(std::vector<Action> &Actions) {
  for (const auto &Owned : Calls_) {
    Call &Current = *Owned;
    if (Current.RouterDead_)
      continue;
    if (!Current.Machine_) {
      if (chance(30))
        Actions.emplace_back([this, &Current] { begin(Current); });
      continue;
    }
    if (Current.DelayedOutcome_ && chance(10))
      Actions.emplace_back([this, &Current] { tellDelayedOutcome(Current); });
    if (!Current.DeadlineSeen_ && Time_.now() >= Current.Deadline_)
      Actions.emplace_back([this, &Current] {
        Current.DeadlineSeen_ = true;
        performEffects(Current, Current.Machine_->onDeadlinePassed());
      });
    if (!Current.CallerGone_ && chance(Profile_.DisruptionPercent_ / 2))
      Actions.emplace_back([this, &Current] {
        Current.CallerGone_ = true;
        performEffects(Current, Current.Machine_->onCallerGone());
      });
  }
  for (const auto &Owned : Routers_) {
    Router &Current = *Owned;
    if (!Current.Link_.ToControl_.empty())
      Actions.emplace_back([this, &Current] { deliver(Current); });
    if (!Current.Link_.ToRouter_.empty())
      Actions.emplace_back([this, &Current] { answerRouter(Current); });
    Actions.emplace_back([this, &Current] {
      const LogOffset Tail = Controls_[Current.Link_.Control_]->Core_->table().tail();
      Current.Tail_ = std::max(Current.Tail_, Tail);
    });
    if (chance(Profile_.DisruptionPercent_))
      Actions.emplace_back([this, &Current] { moveLink(Current); });
    if (chance(Profile_.DisruptionPercent_ / 4))
      Actions.emplace_back([this, &Current] { killRouter(Current); });
  }
}

void ClaimSimulation::collectControls(std::vector<Action> &Actions) {
  for (const auto &Owned : Controls_) {
    Control &Current = *Owned;
    Actions.emplace_back([this, &Current] { read(Current); });
    Actions.emplace_back([this, &Current] { append(Current); });
    if (chance(Profile_.DisruptionPercent_ / 2))
      Actions.emplace_back([this, &Current] { restart(Current); });
  }
  for (std::size_t Index = 0; Index < Appends_.size(); ++Index)
    Actions.emplace_back([this, Index] { resolveAppend(Index); });
  for (std::size_t Index = 0; Index < LateAppends_.size(); ++Index)
    Actions.emplace_back([this, Index] {
      store(LateAppends_[Index]);
      LateAppends_.erase(LateAppends_.begin() + static_cast<std::ptrdiff_t>(Index));
    });
}

void ClaimSimulation::collectSends(std::vector<Action> &Actions) {
  for (std::size_t Index = 0; Index < Sends_.size(); ++Index)
    Actions.emplace_back([this, Index] { stepSend(Index); });
}

void ClaimSimulation::arrive(std::size_t Key) {
  const std::string Name = keyName(Key);
  const auto Copies = static_cast<std::size_t>(
      std::count_if(Calls_.begin(), Calls_.end(), [&](const auto &C) { return C->Key_ == Name; }));
  if (Copies >= MaxCopies)
    return;
  auto Current = std::make_unique<Call>();
  Current->Key_ = Name;
  Current->Copy_ = Name + static_cast<char>('A' + Copies);
  Current->Router_ = Routers_[pick(Routers_.size())].get();
  Current->Position_ = Current->Router_->Tail_;
  Current->Timeout_ = std::chrono::milliseconds(300 + 500 * pick(20));
  Histories_[Name].arrived(Current->Copy_);
  Calls_.push_back(std::move(Current));
}

void ClaimSimulation::begin(Call &Current) {
  if (Fault_ == InjectedFault::PositionReadLate)
    Current.Position_ = Current.Router_->Tail_;
  Current.Deadline_ = Time_.now() + Current.Timeout_;
  CallParameters Parameters;
  Parameters.HasKey_ = true;
  Parameters.Deadline_ = Current.Deadline_;
  Parameters.MaxClaimAge_ = Window / 2;
  Parameters.MaxAttempts_ = 2;
  Current.Machine_ = std::make_unique<CallMachine>(std::move(Parameters), *Budget_);
  performEffects(Current, Current.Machine_->begin(Time_.now()));
}

void ClaimSimulation::claim(Call &Current) {
  const std::string Suffix = ++Current.Claims_ > 1 ? "+" + std::to_string(Current.Claims_) : "";
  Current.Router_->Client_->claim(
      RequestId(Current.Copy_ + Suffix), IdempotencyKey(Current.Key_), Current.Position_,
      [this, Copy = Current.Copy_](const ClaimReply &Reply) { onClaimReply(Copy, Reply); });
}

void ClaimSimulation::onClaimReply(const std::string &Copy, const ClaimReply &Reply) {
  Call *Current = find(Copy);
  if (!Current || Current->RouterDead_)
    return;
  const bool IsLoser =
      Reply.State_ == ClaimReply::State::Lost || Reply.State_ == ClaimReply::State::NotEligible;
  if (Fault_ == InjectedFault::LoserClaimsAgain && IsLoser && Current->Claims_ < 6) {
    Current->Position_ = Current->Router_->Tail_;
    claim(*Current);
    return;
  }
  ClaimOutcome Outcome;
  Outcome.State_ = static_cast<ClaimOutcome::State>(Reply.State_);
  Outcome.Offset_ = Reply.Offset_;
  Outcome.Status_ = Reply.Status_;
  if (Reply.State_ == ClaimReply::State::Done && Reply.Status_ == 201)
    Result_.AnsweredFromRecord_ = true;
  performEffects(*Current, Current->Machine_->onClaimReply(Outcome, Time_.now()));
}

ClaimSimulation::Call *ClaimSimulation::find(const std::string &Copy) {
  for (const auto &Current : Calls_)
    if (Current->Copy_ == Copy)
      return Current.get();
  return nullptr;
}

void ClaimSimulation::tell(Call &Current, Outcome CallOutcome) {
  if (!Current.CallerGone_)
    Histories_[Current.Key_].told(Current.Copy_, CallOutcome);
}

void ClaimSimulation::performEffects(Call &Current, const CallEffects &Effects) {
  for (const CallEffect &Effect : Effects)
    perform(Current, Effect);
}

void ClaimSimulation::perform(Call &Current, const CallEffect &Effect) {
  const std::string Suffix = Current.Claims_ > 1 ? "+" + std::to_string(Current.Claims_) : "";
  const RequestId Id(Current.Copy_ + Suffix);
  const IdempotencyKey Key(Current.Key_);
  FrameClaimClient &Client = *Current.Router_->Client_;
  if (std::holds_alternative<CallSend>(Effect)) {
    Sends_.push_back({&Current, false});
  } else if (std::holds_alternative<CallClaim>(Effect)) {
    claim(Current);
  } else if (std::holds_alternative<CallAbandonClaim>(Effect)) {
    Client.abandon(Id);
  } else if (const auto *Finish = std::get_if<CallRecordAnswer>(&Effect)) {
    Client.finish(Id, Key, Finish->Status_, Finish->Body_);
  } else if (std::holds_alternative<CallReleaseClaim>(Effect)) {
    Client.release(Id, Key);
  } else if (const auto *Forward = std::get_if<CallForwardAnswer>(&Effect)) {
    tell(Current, Forward->Outcome_);
  } else if (const auto *Answer = std::get_if<CallAnswer>(&Effect)) {
    Outcome CallOutcome = Answer->Answer_.Outcome_;
    const bool WasGivenUp = Answer->Answer_.Error_ == ErrorCode::DeadlineExceeded &&
                            CallOutcome == Outcome::Unknown && !Current.Machine_->isSent();
    if (Fault_ == InjectedFault::NotRunWithoutWin && WasGivenUp)
      CallOutcome = Outcome::NotRun;
    if (Fault_ == InjectedFault::ReleaseBeforeAnswer && CallOutcome == Outcome::NotRun)
      Current.DelayedOutcome_ = CallOutcome;
    else
      tell(Current, CallOutcome);
  }
}

void ClaimSimulation::tellDelayedOutcome(Call &Current) {
  tell(Current, *Current.DelayedOutcome_);
  Current.DelayedOutcome_.reset();
}

void ClaimSimulation::stepSend(std::size_t Index) {
  const Sending Send = Sends_[Index];
  Call &Current = *Send.Call_;
  const TimePoint Now = Time_.now();
  const auto End = [&] { Sends_.erase(Sends_.begin() + static_cast<std::ptrdiff_t>(Index)); };
  if (!Send.Opened_) {
    if (Current.RouterDead_)
      return End();
    if (!chance(Profile_.ConnectFailPercent_) &&
        Current.Machine_->onConnectionOpened(Now, !Current.CallerGone_)) {
      Sends_[Index].Opened_ = true;
      return;
    }
    End();
    performEffects(Current, Current.Machine_->onSendFailed({ErrorCode::ConnectFailed, false}, Now));
    return;
  }
  End();
  const std::size_t Fate = pick(5);
  // A request whose bytes were handed over may run although the router has died since.
  if (Fate < 4)
    Histories_[Current.Key_].executed(Current.Copy_);
  if (Current.RouterDead_)
    return;
  if (Fate < 2)
    performEffects(Current, Current.Machine_->onEndpointAnswer(201, "body", Now));
  else if (Fate == 4)
    performEffects(Current, Current.Machine_->onEndpointAnswer(500, "", Now));
  else
    performEffects(Current,
                   Current.Machine_->onSendFailed({ErrorCode::ConnectionClosed, true}, Now));
}

void ClaimSimulation::deliver(Router &From) {
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
    if (Fault_ == InjectedFault::NoPositionRule)
      Item.Position_ = std::max(Item.Position_, Known.tail());
    if (Fault_ == InjectedFault::NoForgetFloor)
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

void ClaimSimulation::sendReplies(Control &Current) {
  for (const SequencerReply &Reply : Current.Core_->takeReplies()) {
    wire::ClaimAnswerT Answer;
    Answer.id = Current.Ids_[Reply.Call_.str()];
    Answer.call = Reply.Call_.str();
    Answer.state = static_cast<wire::ClaimState>(Reply.Outcome_.State_);
    Answer.offset = Reply.Outcome_.Offset_.value();
    Answer.status = static_cast<std::uint16_t>(Reply.Outcome_.Status_);
    if (Reply.Outcome_.MayStillWin_)
      Answer.status = ClaimMayStillWin;
    for (const auto &To : Routers_)
      if (Controls_[To->Link_.Control_].get() == &Current)
        To->Link_.ToRouter_.push_back(Answer);
  }
}

void ClaimSimulation::answerRouter(Router &To) {
  const wire::ClaimAnswerT Answer = To.Link_.ToRouter_.front();
  To.Link_.ToRouter_.pop_front();
  // This router also gets the answers to other routers' calls; it must ignore them.
  To.Client_->onAnswer(Answer);
}

void ClaimSimulation::moveLink(Router &Current) {
  Current.Link_.ToControl_.clear();
  Current.Link_.ToRouter_.clear();
  Current.Client_->onLinkLost();
  Current.Link_.Control_ = pick(Controls_.size());
  Current.Client_->onLinkUp();
}

void ClaimSimulation::killRouter(Router &Current) {
  for (const auto &Owned : Calls_)
    if (Owned->Router_ == &Current)
      Owned->RouterDead_ = true;
  Current.Link_.ToRouter_.clear();
  Current.Client_ = std::make_unique<FrameClaimClient>(Loop_, Time_, Log_, Current.Link_);
  Current.Tail_ = LogOffset(0);
}

void ClaimSimulation::restart(Control &Current) {
  for (const auto &To : Routers_)
    if (Controls_[To->Link_.Control_].get() == &Current)
      moveLink(*To);
  Current.Ids_.clear();
  Current.Loader_.reset();
  // The appends of the previous process may still take effect.
  for (std::size_t Index = Appends_.size(); Index-- > 0;) {
    if (Appends_[Index].By_ != &Current)
      continue;
    LateAppends_.push_back(std::move(Appends_[Index].Body_));
    Appends_.erase(Appends_.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  Current.Core_ =
      std::make_unique<ClaimSequencer>("w" + std::to_string(NextWriter_++), sequencerOptions());
}

void ClaimSimulation::read(Control &Current) {
  if (LogDown_) {
    Current.Core_->onReadFailed(Time_.now());
    sendReplies(Current);
    return;
  }
  if (!Current.Core_->isLoaded()) {
    load(Current);
    return;
  }
  const auto From = static_cast<std::size_t>(Current.Core_->table().tail().value());
  if (From < Trimmed_) {
    Current.Core_->unload(Time_.now());
    sendReplies(Current);
    return;
  }
  std::vector<StreamRecord> Records;
  const std::size_t End = std::min(Stream_.size(), From + 1 + pick(4));
  for (std::size_t At = From; At < End; ++At)
    Records.push_back({LogOffset(static_cast<std::int64_t>(At)), Stream_[At]});
  Current.Core_->onPageRead(Records, LogOffset(static_cast<std::int64_t>(Trimmed_)),
                            LogOffset(static_cast<std::int64_t>(Stream_.size())), Time_.now(),
                            Time_.now());
  sendReplies(Current);
}

void ClaimSimulation::load(Control &Current) {
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
  Current.Core_->load(std::move(Loaded), Time_.now());
  sendReplies(Current);
}

void ClaimSimulation::append(Control &Current) {
  std::optional<std::string> Body = Current.Core_->nextAppend(Time_.now());
  if (Body)
    Appends_.push_back({&Current, Current.Core_.get(), std::move(*Body)});
  sendReplies(Current);
}

void ClaimSimulation::resolveAppend(std::size_t Index) {
  const Append Current = std::move(Appends_[Index]);
  Appends_.erase(Appends_.begin() + static_cast<std::ptrdiff_t>(Index));
  const bool IsFaulty = LogDown_ || chance(Profile_.AppendFaultPercent_);
  const std::size_t Fate = LogDown_ ? 9 : IsFaulty ? 6 + pick(4) : 0;
  if (Fate < 6) {
    store(Current.Body_);
    Current.Core_->onAppended(Time_.now());
  } else if (Fate == 6) {
    store(Current.Body_);
    LateAppends_.push_back(Current.Body_);
    Current.Core_->onAppended(Time_.now());
  } else if (Fate == 7) {
    store(Current.Body_);
    Current.Core_->onAppendFailed(true, Time_.now());
  } else if (Fate == 8) {
    LateAppends_.push_back(Current.Body_);
    Current.Core_->onAppendFailed(true, Time_.now());
  } else {
    Current.Core_->onAppendFailed(false, Time_.now());
  }
  sendReplies(*Current.By_);
}

void ClaimSimulation::store(std::string Body) {
  const LogOffset Offset(static_cast<std::int64_t>(Stream_.size()));
  Result<ClaimRecord> Record = decodeClaimRecord(Body);
  for (ClaimItem &Item : Record->Items_) {
    if (Fault_ == InjectedFault::NoPositionRule)
      Item.Position_ = Offset;
    if (Fault_ == InjectedFault::NoForgetFloor)
      Item.Position_ = std::max(Item.Position_, ReferenceTable_.floor());
  }
  Result_.Forgot_ |= Record->Forget_.has_value();
  ReferenceTable_.apply(Offset, *Record);
  Stream_.push_back(encodeClaimRecord(*Record));
}

void ClaimSimulation::trim() {
  const std::size_t Kept = 4 + pick(8);
  if (Stream_.size() > Kept)
    Trimmed_ = std::max(Trimmed_, Stream_.size() - Kept);
}

void ClaimSimulation::advance() {
  Time_.advance(std::chrono::milliseconds(10 + pick(Profile_.MaxAdvanceMs_)));
  for (const auto &Current : Controls_) {
    Current->Core_->tick(Time_.now());
    sendReplies(*Current);
  }
}

} // namespace rattancart
