#include "Tests/Core/Layers/LossSimulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

const TimePoint Now{1h};

/// A data centre that lacks layers, as the one that asks knows it.
struct OtherState {
  const char *Name_;
  Duration Lacks_;
  bool Loads_;
};

struct TurnCase {
  const char *Name_;
  /// How long the data centre "m" has lacked a layer.
  Duration Lacks_;
  std::vector<OtherState> Others_;
  bool May_;
};

std::ostream &operator<<(std::ostream &Out, const TurnCase &Case) { return Out << Case.Name_; }

const TurnCase TurnCases[] = {
    {"alone, just now", 490ms, {}, false},
    {"alone, and the states of others have arrived", 500ms, {}, true},
    {"a later one may begin", 500ms, {{"z", 500ms, false}}, true},
    {"a later one has begun", 500ms, {{"z", 500ms, true}}, false},
    {"an earlier one may begin", 500ms, {{"a", 500ms, false}}, false},
    {"an earlier one has begun", 1900ms, {{"a", 5s, true}}, false},
    {"an earlier one can't begin", 500ms, {{"a", 2500ms, false}}, true},
    {"one has begun, and 2 s have passed", 2s, {{"a", 2s, true}}, true},
    {"another one that waits comes first", 2400ms, {{"a", 3s, true}, {"b", 3s, false}}, false},
    {"another one that waits has come first", 2500ms, {{"a", 3s, true}, {"b", 3s, false}}, true},
    {"the first of those that wait", 2s, {{"a", 3s, true}, {"z", 3s, true}}, true},
};

} // namespace

// Guards against data centres that reassign their layers together, and against one that waits for
// another longer than its callers can.
BOOST_DATA_TEST_CASE(ADataCenterWaitsForOthersForTwoSeconds, TurnCases, Case) {
  ReassignmentQuestion Asked;
  Asked.Home_ = DataCenterId("m");
  Asked.LackingSince_ = Asked.UnservedSince_ = Now - Case.Lacks_;
  Asked.IsFirst_ = false;
  for (const OtherState &Each : Case.Others_)
    Asked.Others_[DataCenterId(Each.Name_)] = {
        Now - Each.Lacks_, Each.Loads_ ? std::optional(Now - Each.Lacks_) : std::nullopt};
  BOOST_TEST(mayAssignFromScratch(Asked, Now) == Case.May_);
}

// Guards against a delay of the data centre that no other one precedes.
BOOST_AUTO_TEST_CASE(TheFirstDataCenterBeginsAtOnce) {
  ReassignmentQuestion Asked;
  Asked.Home_ = DataCenterId("a");
  Asked.LackingSince_ = Asked.UnservedSince_ = Now;
  BOOST_TEST(mayAssignFromScratch(Asked, Now));
}

// Guards against a data centre that waits for another one of which it knows nothing current.
BOOST_AUTO_TEST_CASE(ADataCenterWhoseStatesAreLateCountsAsWhole) {
  const LayeredModel Model = makeModel(80);
  const ServiceId Service("model");
  EndpointRoster Roster;
  EndpointListing Listing;
  Listing.Id_ = EndpointId("e");
  Listing.Service_ = Service;
  Listing.DataCenter_ = DataCenterId("a");
  Listing.Run_ = Incarnation(1);
  Listing.Kind_ = "huge";
  Roster.updateListing(Listing, Now);
  EngineReport Report;
  Report.Run_ = Incarnation(1);
  Report.Busy_ = true;
  Roster.updateReport(Listing.Id_, Report, Now);
  for (const Duration Age : {0ms, 3900ms, 4100ms}) {
    ReassignmentTurn Turn;
    const auto Update = [&](TimePoint At) {
      Turn.update(Model, Service, DataCenterId("m"), {true, true}, Roster, At);
    };
    Update(Now + Age - 600ms);
    Update(Now + Age);
    BOOST_TEST(Turn.mayAssignFromScratch() == (Age > 4s));
  }
}

namespace {

/// How the engines that hold a layer are lost in all data centres of a site at the same time.
struct JointLossCase {
  const char *Name_;
  bool Refuse_;
  /// How much later each data centre loses its engines than the one before.
  Duration Apart_;
  std::size_t OthersWithWholeModel_;
};

std::ostream &operator<<(std::ostream &Out, const JointLossCase &Case) { return Out << Case.Name_; }

const JointLossCase JointLossCases[] = {
    {"connections refused", true, 0ms, 0},
    {"silent", false, 0ms, 0},
    {"connections refused, 300 ms apart", true, 300ms, 0},
    {"silent, 300 ms apart", false, 300ms, 0},
    {"streams may finish first", false, 0ms, 2},
};

/// The sites; each has three data centres.
std::vector<std::vector<Deployment>> sites() {
  std::vector<std::vector<Deployment>> Sites;
  for (const auto &All : {deployments(), contendedDeployments(), largeDeployments()})
    for (std::size_t First = 0; First + 3 <= All.size() && All[First + 2].Layers_ == 80; First += 3)
      if (All[First + 2].FitsModelAfterOneLoss_)
        Sites.push_back({All.begin() + static_cast<std::ptrdiff_t>(First),
                         All.begin() + static_cast<std::ptrdiff_t>(First) + 3});
  return Sites;
}

bool givesUpLayers(const PlacementOrder &Order, LayerRange Held) {
  return Held.Begin_ < Held.End_ &&
         (Order.Layers_.Begin_ > Held.Begin_ || Order.Layers_.End_ < Held.End_);
}

} // namespace

// Guards against data centres that all reassign their layers, so that none holds the model.
BOOST_DATA_TEST_CASE(DataCentersThatLackLayersReassignThemOneAfterTheOther,
                     boost::unit_test::data::xrange(sites().size()) * JointLossCases, Index, Case) {
  const std::vector<Deployment> Site = sites()[Index];
  for (const std::uint32_t Layer : {0U, 20U, 40U, 60U, 79U}) {
    LossSimulation Simulation(Site, 200ms, 50ms);
    Simulation.setBusy(true);
    Simulation.setOthersWithWholeModel(Case.OthersWithWholeModel_);
    Simulation.run(1s);
    const TimePoint Since = Simulation.now();
    std::map<std::size_t, TimePoint> LostAt;
    for (std::size_t Each = 0; Each < Site.size(); ++Each) {
      LostAt[Each] = Simulation.now();
      for (const std::size_t Engine : Simulation.holders(Each, Layer))
        Simulation.end(Each, Engine, Case.Refuse_);
      Simulation.run(Case.Apart_);
    }
    // When each data centre last began to reassign layers, and since when it holds all again.
    std::map<std::size_t, TimePoint> BeganAt;
    std::map<std::size_t, TimePoint> WholeAt;
    std::size_t Checked = Simulation.orders().size();
    for (; Simulation.now() < Since + 30s; Simulation.run(50ms)) {
      for (std::size_t Each = 0; Each < Site.size(); ++Each)
        if (Simulation.tokens(Each) > 0)
          WholeAt.emplace(Each, Simulation.now());
      for (; Checked < Simulation.orders().size(); ++Checked) {
        const LossSimulation::GivenOrder &Given = Simulation.orders()[Checked];
        const PlacementOrder &Order = Given.Order_;
        if (!Order.FromScratch_ && !(Order.CutsStreams_ && givesUpLayers(Order, Given.Held_)))
          continue;
        BeganAt[Given.DataCenter_] = Given.At_;
        for (const auto &[Other, At] : BeganAt)
          BOOST_TEST_CONTEXT("layer " << Layer << ": " << Given.DataCenter_ << " at "
                                      << (Given.At_ - Since) / 1ms << " ms, " << Other << " at "
                                      << (At - Since) / 1ms << " ms")
        BOOST_TEST((Other == Given.DataCenter_ || WholeAt.contains(Other) ||
                    (Given.At_ - LostAt[Given.DataCenter_] >= 2s && Given.At_ - At >= 400ms)));
      }
    }
    BOOST_TEST_MESSAGE(Site.front().Name_ << ", layer " << Layer << ", " << Case.Name_ << ": "
                                          << BeganAt.size() << " data centres reassigned layers");
    for (std::size_t Each = 0; Each < Site.size(); ++Each)
      BOOST_TEST((WholeAt.contains(Each) || Simulation.layout(Each).empty() ||
                  !Simulation.couldHoldModel(Each)));
  }
}
