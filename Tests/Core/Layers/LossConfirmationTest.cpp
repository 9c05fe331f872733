#include "Tests/Core/Layers/LossSimulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <optional>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

const ServiceId Service("model");
const DataCenterId Home("home");
const EndpointId Observed("e-0");
const EndpointId Other("e-1");

/// What happens to the observed engine, or is received from the other one.
enum class Happens : std::uint8_t {
  Nothing,
  Silence,
  Refusal,
  Answer,
  StreamEvent,
  PassedOnReport,
  Leaving,
  Gone,
  OtherReports,
  NewOwner,
};

struct ReplayStep {
  int AtMs_;
  Happens Event_;
  /// Of the observed engine after the event.
  EngineStanding Standing_;
};

struct ReplayCase {
  const char *Name_;
  std::vector<ReplayStep> Steps_;
};

std::ostream &operator<<(std::ostream &Out, const ReplayCase &Case) { return Out << Case.Name_; }

using enum EngineStanding;
using enum Happens;

/// Between the steps, the observation is updated every 100 ms, unless the process is paused.
const ReplayCase ReplayCases[] = {
    {"lost after 350 ms of silence",
     {{0, Silence, Doubtful},
      {100, OtherReports, Doubtful},
      {340, Nothing, Doubtful},
      {350, Nothing, Lost},
      {900, Answer, Present}}},
    {"an answer ends the doubt",
     {{0, Silence, Doubtful},
      {100, OtherReports, Doubtful},
      {300, Answer, Present},
      {800, OtherReports, Present}}},
    {"a refusal is conclusive",
     {{0, Refusal, Lost}, {100, Answer, Present}, {200, Silence, Doubtful}}},
    {"a refusal during the doubt", {{0, Silence, Doubtful}, {100, Refusal, Lost}}},
    {"a leaving engine", {{0, Silence, Doubtful}, {100, Leaving, Lost}}},
    {"an entry that is gone", {{0, Silence, Doubtful}, {100, Gone, Lost}}},
    {"an event of a stream contradicts the silence",
     {{0, Silence, Doubtful},
      {100, OtherReports, Doubtful},
      {300, StreamEvent, Doubtful},
      {400, OtherReports, Doubtful},
      {640, Nothing, Doubtful},
      {650, Nothing, Lost}}},
    {"a report that another process passed on contradicts the silence",
     {{0, Silence, Doubtful},
      {100, OtherReports, Doubtful},
      {300, PassedOnReport, Doubtful},
      {400, OtherReports, Doubtful},
      {640, Nothing, Doubtful},
      {650, Nothing, Lost}}},
    {"nothing is received",
     {{0, Silence, Doubtful},
      {1000, OtherReports, Doubtful},
      {1340, Nothing, Doubtful},
      {1350, Nothing, Lost}}},
    {"nothing is received for 2 s",
     {{0, Silence, Doubtful}, {1990, Nothing, Doubtful}, {2000, Nothing, Lost}}},
    {"another owner observes anew",
     {{0, Silence, Doubtful},
      {100, OtherReports, Doubtful},
      {340, Nothing, Doubtful},
      {340, NewOwner, Doubtful},
      {500, OtherReports, Doubtful},
      {680, Nothing, Doubtful},
      {690, Nothing, Lost}}},
};

/// An observation of two engines.
class Replay {
public:
  Replay() {
    for (const EndpointId &Id : {Observed, Other}) {
      EndpointListing Listing;
      Listing.Id_ = Id;
      Listing.Service_ = Service;
      Listing.DataCenter_ = Home;
      Listing.Run_ = Incarnation(1);
      Roster_.updateListing(Listing, Now_);
    }
    happen(Answer);
    happen(OtherReports);
    Losses_.update(Service, Home, Roster_, Now_);
  }

  /// Moves the time on, with updates on the way unless the process is paused.
  void advanceTo(Duration Time, bool Paused) {
    while (!Paused && Now_ + 100ms < Start_ + Time) {
      Now_ += 100ms;
      Losses_.update(Service, Home, Roster_, Now_);
    }
    Now_ = Start_ + Time;
  }

  void happen(Happens Event) {
    EngineReport Report;
    Report.Run_ = Incarnation(1);
    switch (Event) {
    case Nothing:
      break;
    case Silence:
      Roster_.markSilent(Observed, Now_, Now_ + 10s);
      break;
    case Refusal:
      Roster_.noteConnectionRefused(Observed, Now_);
      Roster_.markSilent(Observed, Now_, Now_ + 10s);
      break;
    case Answer:
      Roster_.markHeard(Observed, Now_);
      break;
    case StreamEvent:
      Roster_.noteActivity(Observed, Now_);
      break;
    case PassedOnReport:
      Roster_.updateReport(Observed, Report, Now_);
      break;
    case Leaving: {
      EndpointListing Listing = Roster_.find(Observed)->Listing_;
      Listing.State_ = EndpointState::Leaving;
      Roster_.updateListing(Listing, Now_);
      break;
    }
    case Gone:
      Roster_.removeListing(Observed, Now_ + 1ms, Now_);
      Now_ += 1ms;
      break;
    case OtherReports:
      Roster_.updateReport(Other, Report, Now_);
      break;
    case NewOwner:
      Losses_ = LossConfirmation();
      break;
    }
    Losses_.update(Service, Home, Roster_, Now_);
  }

  EngineStanding standing() const { return Losses_.standing(*Roster_.find(Observed), Now_); }
  const LossConfirmation &losses() const { return Losses_; }

private:
  const TimePoint Start_{1h};
  TimePoint Now_{Start_ - 100ms};
  EndpointRoster Roster_;
  LossConfirmation Losses_;
};

} // namespace

// Guards against engines that are given up on the first unanswered probe, and against lost ones
// that are relied on for longer than 0.4 s.
BOOST_DATA_TEST_CASE(ASilentEngineIsLostOnceItsSilenceIsConfirmed, ReplayCases, Case) {
  Replay Run;
  for (const ReplayStep &Step : Case.Steps_) {
    Run.advanceTo(std::chrono::milliseconds(Step.AtMs_), /*Paused=*/false);
    Run.happen(Step.Event_);
    BOOST_TEST_CONTEXT("at " << Step.AtMs_ << " ms") {
      BOOST_TEST((Run.standing() == Step.Standing_));
      BOOST_TEST(Run.losses().doubtfulEngines().size() == (Step.Standing_ == Doubtful ? 1U : 0U));
    }
  }
}

// Guards against a process that was paused and takes the pause for a silence of the engine.
BOOST_AUTO_TEST_CASE(APauseOfTheProcessDoesNotConfirmASilence) {
  Replay Run;
  Run.advanceTo(0ms, false);
  Run.happen(Silence);
  Run.advanceTo(100ms, false);
  Run.happen(OtherReports);
  Run.advanceTo(1100ms, /*Paused=*/true);
  Run.happen(Nothing);
  BOOST_TEST((Run.standing() == Doubtful));
  Run.advanceTo(1440ms, false);
  Run.happen(Nothing);
  BOOST_TEST((Run.standing() == Doubtful));
  Run.advanceTo(1450ms, false);
  Run.happen(Nothing);
  BOOST_TEST((Run.standing() == Lost));
  BOOST_REQUIRE(Run.losses().endedDoubts().size() == 1U);
  BOOST_TEST(Run.losses().endedDoubts().front().Lost_);
  BOOST_TEST((Run.losses().endedDoubts().front().Silent_ == 1450ms));
}

namespace {

/// All deployments with several copies of the model.
std::vector<Deployment> allDeployments() {
  std::vector<Deployment> All = contendedDeployments();
  All.insert(All.end(), largeDeployments().begin(), largeDeployments().end());
  return All;
}

/// A time in which the owner receives nothing from a part of its data centre's engines.
struct MuffledCase {
  const char *Name_;
  /// The part of the engines; 0 for three of them.
  double Share_;
  Duration Time_;
  bool Busy_;
};

std::ostream &operator<<(std::ostream &Out, const MuffledCase &Case) { return Out << Case.Name_; }

const MuffledCase MuffledCases[] = {
    {"all engines for 1 s, all of them busy", 1, 1s, true},
    {"all engines for 1 s, few of them busy", 1, 1s, false},
    {"all engines for 1.8 s, all of them busy", 1, 1800ms, true},
    {"three engines for 300 ms", 0, 300ms, true},
    {"half of the engines for 1 s, all of them busy", 0.5, 1s, true},
    {"half of the engines for 1 s, few of them busy", 0.5, 1s, false},
    {"two fifths of the engines for 1.8 s", 0.4, 1800ms, true},
};

std::size_t mutedEngines(const LossSimulation &Simulation, double Share) {
  return Share > 0 ? static_cast<std::size_t>(
                         std::ceil(Share * static_cast<double>(Simulation.engineCount(0))))
                   : 3;
}

} // namespace

// Guards against an owner that lays its data centre anew because it heard nothing for a moment, or
// because some engines were slow to answer.
BOOST_DATA_TEST_CASE(MomentarySilenceCausesNoOrder, allDeployments() * MuffledCases, Site, Case) {
  for (Duration Offset{}; Offset < 600ms; Offset += 50ms) {
    LossSimulation Simulation({Site});
    Simulation.setBusy(Case.Busy_);
    Simulation.run(1s + Offset);
    const TimePoint Since = Simulation.now();
    Simulation.muffle(0, mutedEngines(Simulation, Case.Share_), Case.Time_);
    Simulation.run(5s);
    BOOST_TEST_CONTEXT("offset " << Offset / 1ms)
    BOOST_TEST(Simulation.ordersSince(Since) == 0U);
  }
}

namespace {

/// How long a data centre lacks layers after the engines that hold a layer ended for good.
Duration timeUntilWhole(const Deployment &Site, std::uint32_t Layer, bool Refuse,
                        std::optional<Duration> ReplaceOwnerAfter) {
  LossSimulation Simulation({Site});
  Simulation.setBusy(true);
  Simulation.run(1s);
  for (const std::size_t Each : Simulation.holders(0, Layer))
    Simulation.end(0, Each, Refuse);
  BOOST_TEST(Simulation.tokens(0) == 0);
  Duration Time{};
  if (ReplaceOwnerAfter) {
    Time = *ReplaceOwnerAfter;
    Simulation.run(Time);
    Simulation.replaceOwner(0);
  }
  for (; Time < 60s && Simulation.tokens(0) == 0; Time += 10ms)
    Simulation.run(10ms);
  return Time;
}

/// Whether one of the engines is among Count engines from First on.
bool contains(const std::vector<std::size_t> &Engines, std::size_t First, std::size_t Count) {
  return std::any_of(Engines.begin(), Engines.end(),
                     [&](std::size_t Each) { return Each >= First && Each < First + Count; });
}

const std::uint32_t LostLayers[] = {0, 20, 40, 60, 79};

} // namespace

// Guards against a late replacement of engines that have really failed.
BOOST_DATA_TEST_CASE(EnginesThatFailedAreReplacedAtMostHalfASecondLater,
                     allDeployments() * LostLayers, Site, Layer) {
  // Engines that refuse connections are replaced at once, as all lost engines were before. The
  // owner notices a refusal at the poll, and the lack of an answer 150 ms later.
  const Duration AtOnce = timeUntilWhole(Site, Layer, true, std::nullopt) + 150ms;
  const Duration Silent = timeUntilWhole(Site, Layer, false, std::nullopt);
  const Duration Replaced = timeUntilWhole(Site, Layer, false, 600ms);
  BOOST_TEST_MESSAGE(Site.Name_ << " layer " << Layer << ": " << AtOnce / 1ms << ", "
                                << Silent / 1ms << ", " << Replaced / 1ms << " ms");
  BOOST_TEST((AtOnce < 60s));
  BOOST_TEST((Silent - AtOnce <= 500ms));
  // The new owner observes the engines itself, from its start on, which is up to 350 ms later than
  // the silence.
  BOOST_TEST((Replaced > Silent));
  BOOST_TEST((Replaced - AtOnce <= 350ms + 500ms));
}

// Guards against an owner that, while it replaces lost engines, orders others that do not answer.
BOOST_DATA_TEST_CASE(DoubtfulEnginesGetNoOrder, allDeployments(), Site) {
  std::size_t Orders = 0;
  for (std::size_t First = 0; First < 20; ++First) {
    LossSimulation Simulation({Site});
    Simulation.setBusy(true);
    Simulation.run(1s);
    const std::vector<std::size_t> Lost = Simulation.holders(0, 40);
    if (contains(Lost, First, 3))
      continue;
    Simulation.muffle(0, 3, 500ms, First);
    Simulation.run(350ms);
    const TimePoint Since = Simulation.now();
    for (const std::size_t Each : Lost)
      Simulation.end(0, Each, /*Refuses=*/true);
    Simulation.run(1s);
    Orders += Simulation.ordersSince(Since);
    for (const LossSimulation::GivenOrder &Each : Simulation.orders())
      BOOST_TEST(!Each.ToSilentEngine_);
  }
  BOOST_TEST(Orders > 0U);
}

// Guards against engines that count as lost at the moment at which most of the others answer again,
// although they are probed a little later.
BOOST_AUTO_TEST_CASE(EnginesThatAnswerAfterTheOthersAreNotLost) {
  for (const Duration Later : {100ms, 200ms, 300ms}) {
    LossSimulation Simulation({contendedDeployments().front()});
    Simulation.setBusy(true);
    Simulation.run(1s);
    const TimePoint Since = Simulation.now();
    const std::size_t Engines = Simulation.engineCount(0);
    Simulation.muffle(0, Engines / 2, 1s);
    Simulation.muffle(0, Engines / 4, 1s + Later);
    Simulation.run(5s);
    BOOST_TEST(Simulation.ordersSince(Since) == 0U);
  }
}

namespace {

/// Engines of which more than a third are lost at once.
struct LargeLossCase {
  const char *Name_;
  bool Refuse_;
  /// When the list no longer shows the lost engines.
  std::optional<Duration> UnlistAfter_;
  /// When the first order may be given, and when it must have been.
  Duration NotBefore_;
  Duration Within_;
};

std::ostream &operator<<(std::ostream &Out, const LargeLossCase &Case) { return Out << Case.Name_; }

// The owner polls within 200 ms and notices the silence 150 ms later.
const LargeLossCase LargeLossCases[] = {
    {"silent", false, std::nullopt, 2s, 2500ms},
    {"silent, and gone from the list after 1 s", false, 1s, 1s, 1500ms},
    {"connections refused", true, std::nullopt, 0ms, 300ms},
};

} // namespace

// Guards against a cut-off owner that gives orders, and against a real loss of many engines that is
// waited out for longer than 2 s.
BOOST_DATA_TEST_CASE(TheLossOfManyEnginesIsRepairedAfterTwoSeconds,
                     allDeployments() * LargeLossCases, Site, Case) {
  LossSimulation Simulation({Site});
  Simulation.setBusy(true);
  Simulation.run(1s);
  const TimePoint Since = Simulation.now();
  // The engines that hold a layer, and the slowest ones, which have the least memory.
  std::vector<std::size_t> Lost = Simulation.holders(0, 40);
  for (std::size_t Each = Simulation.engineCount(0); Lost.size() < mutedEngines(Simulation, 0.4);)
    if (std::find(Lost.begin(), Lost.end(), --Each) == Lost.end())
      Lost.push_back(Each);
  for (const std::size_t Each : Lost)
    Simulation.end(0, Each, Case.Refuse_);
  if (Case.UnlistAfter_) {
    Simulation.run(*Case.UnlistAfter_);
    for (const std::size_t Each : Lost)
      Simulation.unlist(0, Each);
  }
  Simulation.run(4s);
  BOOST_REQUIRE(Simulation.ordersSince(Since) > 0U);
  const auto First =
      std::find_if(Simulation.orders().begin(), Simulation.orders().end(),
                   [&](const LossSimulation::GivenOrder &Each) { return Each.At_ >= Since; });
  BOOST_TEST((First->At_ - Since >= Case.NotBefore_));
  BOOST_TEST((First->At_ - Since <= Case.Within_));
}

// Guards against a whole data centre that is laid anew after the joint loss of a few engines while
// others leave as planned: leaving engines neither suspend planning nor cause further orders.
BOOST_DATA_TEST_CASE(ThreeLostAndNineLeavingEnginesCauseFewOrders, contendedDeployments(), Site) {
  for (std::size_t First = 0; First + 12 <= 24; First += 3) {
    LossSimulation Simulation({Site});
    Simulation.setBusy(true);
    Simulation.run(1s);
    const TimePoint Since = Simulation.now();
    for (std::size_t Each = First; Each < First + 3; ++Each)
      Simulation.end(0, Each, /*Refuses=*/false);
    Simulation.run(600ms);
    for (std::size_t Each = First + 3; Each < First + 12; ++Each)
      Simulation.leave(0, Each);
    Simulation.run(5s);
    BOOST_TEST_MESSAGE(Site.Name_ << ", first engine " << First << ": "
                                  << Simulation.ordersSince(Since) << " orders");
    BOOST_TEST(Simulation.ordersSince(Since) <= 2 * 3U);
    BOOST_TEST(Simulation.tokens(0) > 0);
  }
}
