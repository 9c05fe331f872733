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

/// A rule of the claims protocol that a run breaks on purpose.
enum class PlantedFault {
  None,
  NoPositionRule,
  PositionReadLate,
  ReleaseBeforeTelling,
  LoserClaimsAgain,
  NotRunWithoutWin,
  NoForgetFloor,
};

/// What happened to one key, and whether it kept the promises made to callers.
class KeyHistory {
public:
  void arrived(const std::string &Copy) { Arrived_.push_back(Copy); }
  void executed(const std::string &Copy);
  void told(const std::string &Copy, Outcome What);
  /// The first violation, or an empty text.
  const std::string &violation() const { return Violation_; }
  bool hasRun() const { return !Executed_.empty(); }
  bool wasToldNotRun() const { return !ToldNotRun_.empty(); }

private:
  void violate(const std::string &What);

  std::vector<std::string> Arrived_;
  std::vector<std::string> Executed_;
  /// Copies that arrived before a caller was told not-run.
  std::vector<std::string> Barred_;
  std::string ToldNotRun_;
  std::string Violation_;
};

/// What a run came to.
struct WorldResult {
  std::string Violation_;
  bool HasRun_ = false;
  bool ToldNotRun_ = false;
  bool RanAfterNotRun_ = false;
  bool AnsweredFromRecord_ = false;
  bool Forgot_ = false;
  bool StartedFromSnapshot_ = false;
};

/// Routers, controls, a log and an endpoint in one random schedule on a manual clock. The routers'
/// call machines and claim clients and the controls' sequencers are the product's own; links, log
/// and endpoint fail at any step.
class ClaimWorld {
public:
  ClaimWorld(std::uint64_t Seed, PlantedFault Fault);
  ~ClaimWorld();
  /// Takes Steps random steps, or fewer up to the first violation.
  WorldResult run(int Steps);

private:
  struct Control;
  struct Router;
  struct Call;
  struct Append;
  struct Sending;
  class Link;
  class Permit;
  using Action = std::function<void()>;

  bool chance(int Percent);
  std::size_t pick(std::size_t Count);
  void collect(std::vector<Action> &Actions);
  void collectCalls(std::vector<Action> &Actions);
  void collectControls(std::vector<Action> &Actions);
  void collectSends(std::vector<Action> &Actions);

  void arrive(std::size_t Key);
  void begin(Call &Each);
  void claim(Call &Each);
  void claimReplied(const std::string &Copy, const ClaimReply &Reply);
  void carryOut(Call &Each, const CallEffects &Effects);
  void carryOut(Call &Each, const CallEffect &Effect);
  void tell(Call &Each, Outcome What);
  Call *find(const std::string &Copy);

  void stepSend(std::size_t Index);
  void stepLateTelling(Call &Each);
  void deliver(Router &From);
  void answerRouter(Router &To);
  void moveLink(Router &Each);
  void killRouter(Router &Each);

  void restart(Control &Each);
  void read(Control &Each);
  void load(Control &Each);
  void append(Control &Each);
  void resolveAppend(std::size_t Index);
  void store(std::string Body);
  void sendReplies(Control &Each);
  void trim();
  void advance();

  /// How unkind a schedule is; drawn from its seed.
  struct Profile {
    int ConnectFailPercent_ = 0;
    int AppendFaultPercent_ = 0;
    int DisruptionPercent_ = 0;
    int ArrivalPercent_ = 0;
    std::size_t MaxAdvanceMs_ = 0;
  };

  std::mt19937_64 Random_;
  PlantedFault Fault_;
  Profile Profile_;
  ManualClock Time_;
  NullLogger Log_;
  boost::asio::io_context Loop_;
  std::unique_ptr<Permit> Permit_;
  std::vector<std::string> Stream_;
  std::size_t Trimmed_ = 0;
  bool LogDown_ = false;
  ClaimTable Truth_;
  std::vector<std::unique_ptr<Control>> Controls_;
  std::vector<std::unique_ptr<Router>> Routers_;
  std::vector<std::unique_ptr<Call>> Calls_;
  std::vector<Append> Appends_;
  std::vector<std::string> LateAppends_;
  std::vector<Sending> Sends_;
  std::map<std::string, KeyHistory> Histories_;
  TimePoint Start_{};
  int Writers_ = 0;
  WorldResult Result_;
};

} // namespace rattancart
