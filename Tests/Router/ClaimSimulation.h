#pragma once

#include "Core/Calls/CallMachine.h"
#include "Core/Calls/ClaimLoader.h"
#include "Core/Calls/ClaimSequencer.h"
#include "Core/Common/Logger.h"
#include "Router/FrameClaimClient.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rattancart {

/// A rule of the claims protocol that a run breaks on purpose, to show that the checks notice it.
enum class InjectedFault {
  None,
  NoPositionRule,
  PositionReadLate,
  ReleaseBeforeAnswer,
  LoserClaimsAgain,
  NotRunWithoutWin,
  NoForgetFloor,
};

/// What happened to the copies of the call with one key. Checks that at most one copy is executed
/// and that the outcomes told to callers are true.
class KeyHistory {
public:
  void arrived(const std::string &Copy) { Arrived_.push_back(Copy); }
  void executed(const std::string &Copy);
  void told(const std::string &Copy, Outcome CallOutcome);
  /// The first violation; empty if there is none.
  const std::string &violation() const { return Violation_; }
  bool hasRun() const { return !Executed_.empty(); }
  bool wasToldNotRun() const { return !ToldNotRun_.empty(); }

private:
  void recordViolation(const std::string &Text);

  std::vector<std::string> Arrived_;
  std::vector<std::string> Executed_;
  /// The copies that arrived before a caller was told not-run; they must not run.
  std::vector<std::string> ForbiddenToRun_;
  std::string ToldNotRun_;
  std::string Violation_;
};

/// The result of a run.
struct SimulationResult {
  std::string Violation_;
  bool HasRun_ = false;
  bool ToldNotRun_ = false;
  bool RanAfterNotRun_ = false;
  bool AnsweredFromRecord_ = false;
  bool Forgot_ = false;
  bool StartedFromSnapshot_ = false;
};

/// Simulates routers, controls, a log and an endpoint in one random schedule on a manual clock. The
/// call machines and claim clients of the routers and the sequencers of the controls are the
/// production code. The links, the log and the endpoint are simulated and may fail at any step.
class ClaimSimulation {
public:
  ClaimSimulation(std::uint64_t Seed, InjectedFault Fault);
  ~ClaimSimulation();
  /// Takes Steps random steps, but stops at the first violation.
  SimulationResult run(int Steps);

private:
  struct Control;
  struct Router;
  struct Call;
  struct Append;
  struct Sending;
  class Link;
  class UnlimitedRetryBudget;
  using Action = std::function<void()>;

  bool chance(int Percent);
  std::size_t pick(std::size_t Count);
  void collectActions(std::vector<Action> &Actions);
  void collectCalls(std::vector<Action> &Actions);
  void collectControls(std::vector<Action> &Actions);
  void collectSends(std::vector<Action> &Actions);

  void arrive(std::size_t Key);
  void begin(Call &Current);
  void claim(Call &Current);
  void onClaimReply(const std::string &Copy, const ClaimReply &Reply);
  void performEffects(Call &Current, const CallEffects &Effects);
  void perform(Call &Current, const CallEffect &Effect);
  void tell(Call &Current, Outcome CallOutcome);
  Call *find(const std::string &Copy);

  void stepSend(std::size_t Index);
  void tellDelayedOutcome(Call &Current);
  void deliver(Router &From);
  void answerRouter(Router &To);
  void moveLink(Router &Current);
  void killRouter(Router &Current);

  void restart(Control &Current);
  void read(Control &Current);
  void load(Control &Current);
  void append(Control &Current);
  void resolveAppend(std::size_t Index);
  void store(std::string Body);
  void sendReplies(Control &Current);
  void trim();
  void advance();

  /// How often a schedule has faults and arrivals; drawn from its seed.
  struct Profile {
    int ConnectFailPercent_ = 0;
    int AppendFaultPercent_ = 0;
    int DisruptionPercent_ = 0;
    int ArrivalPercent_ = 0;
    std::size_t MaxAdvanceMs_ = 0;
  };

  std::mt19937_64 Random_;
  InjectedFault Fault_;
  Profile Profile_;
  ManualClock Time_;
  NullLogger Log_;
  boost::asio::io_context Loop_;
  std::unique_ptr<UnlimitedRetryBudget> Budget_;
  std::vector<std::string> Stream_;
  std::size_t Trimmed_ = 0;
  bool LogDown_ = false;
  ClaimTable ReferenceTable_;
  std::vector<std::unique_ptr<Control>> Controls_;
  std::vector<std::unique_ptr<Router>> Routers_;
  std::vector<std::unique_ptr<Call>> Calls_;
  std::vector<Append> Appends_;
  std::vector<std::string> LateAppends_;
  std::vector<Sending> Sends_;
  std::map<std::string, KeyHistory> Histories_;
  TimePoint Start_{};
  int NextWriter_ = 0;
  SimulationResult Result_;
};

} // namespace rattancart
