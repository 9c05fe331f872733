#include "Core/Layers/PathChooser.h"
#include "Core/Layers/SlowStartFeed.h"
#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace rattancart;
using namespace rattancart::test;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start{std::chrono::hours(1)};
constexpr std::uint64_t StartMillis = 1'700'000'000'000;
const WallTime WallStart{milliseconds(StartMillis)};

/// Engines of one data centre and their slow starts.
struct Site {
  explicit Site(std::uint32_t Gateways = 1) {
    SlowStart_.setGateways(Gateways);
    Paths_.setSlowStart(&SlowStart_);
  }

  void add(const char *Id, LayerRange Layers, Duration Age, const char *DataCenter = "home") {
    EndpointListing Listing;
    Listing.Id_ = EndpointId(Id);
    Listing.Service_ = ServiceId("llm");
    Listing.DataCenter_ = DataCenterId(DataCenter);
    Listing.Kind_ = "huge";
    Listing.Slots_ = 32;
    Listing.Run_ = Incarnation(StartMillis - static_cast<std::uint64_t>(Age / milliseconds(1)));
    Listing.Layers_ = Layers;
    Roster_.updateListing(Listing, Start);
    EngineReport Report;
    Report.Run_ = Listing.Run_;
    Report.Layers_ = Layers;
    Report.TotalTokenLayers_ = 1e8;
    Roster_.updateReport(Listing.Id_, Report, Start);
    SlowStart_.observe(conditionOf(*Roster_.find(Listing.Id_), WallStart, Start), Start);
  }
  /// How many of Count requests at the same moment each engine gets; "none" counts those without a
  /// path.
  std::map<std::string, int> send(int Count) {
    std::map<std::string, int> Got;
    const LayeredModel Model = makeModel(80);
    for (int Each = 0; Each < Count; ++Each) {
      const auto Choice = Paths_.choose(Model, ServiceId("llm"), {700, 200, 0, /*Contended_=*/true},
                                        {}, Random_, Start);
      if (!Choice.Path_) {
        ++Got["none"];
        continue;
      }
      for (const PathStage &Stage : Choice.Path_->Stages_) {
        ++Got[Stage.Engine_.str()];
        SlowStart_.onSent(Stage.Engine_, Start);
      }
    }
    return Got;
  }

  EndpointRoster Roster_;
  EndpointSlowStart SlowStart_{{true, 0.125}};
  PathChooser Paths_{Roster_, DataCenterId("home")};
  std::mt19937 Random_{1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlowStartPathTest)

/// Guards against a flood at any stage: only the first engine receives the request, but all of them
/// hold memory for it.
BOOST_AUTO_TEST_CASE(AWarmingEngineGetsFewRequestsAtAnyStage) {
  for (const bool First : {true, false}) {
    BOOST_TEST_CONTEXT((First ? "first stage" : "later stage")) {
      for (const bool Enabled : {false, true}) {
        Site Each;
        Each.SlowStart_.setOptions({Enabled, 0.125});
        Each.add("a", {0, 40}, seconds(100));
        Each.add("b", {40, 80}, seconds(100));
        Each.add("new", First ? LayerRange{0, 40} : LayerRange{40, 80}, milliseconds(100));
        auto Got = Each.send(100);
        BOOST_TEST(Got["none"] == 0);
        if (!Enabled) {
          BOOST_TEST(Got["new"] > 20);
          continue;
        }
        BOOST_TEST(Got["new"] >= 1);
        BOOST_TEST(Got["new"] <= 4);
      }
    }
  }
}

/// A slow start is never why a request finds no path.
BOOST_AUTO_TEST_CASE(AWarmingEngineTakesWhatNoOtherCan) {
  Site OnlyHolder(76);
  OnlyHolder.add("a", {0, 40}, seconds(100));
  OnlyHolder.add("new", {40, 80}, milliseconds(100));
  BOOST_TEST(OnlyHolder.send(50)["new"] == 50);

  Site AllNew(76);
  for (const char *Id : {"a", "b", "c", "d", "e", "f"})
    AllNew.add(Id, {0, 80}, milliseconds(100));
  BOOST_TEST(AllNew.send(50)["none"] == 0);
}

/// Another data centre takes what the home one's only copy of a layer is not to get yet.
BOOST_AUTO_TEST_CASE(OtherDataCentersHelpWhileTheOnlyCopyIsWarming) {
  Site Each(76);
  Each.add("a", {0, 40}, seconds(100));
  Each.add("new", {40, 80}, milliseconds(100));
  Each.add("far", {0, 80}, seconds(100), "far");
  auto Got = Each.send(100);
  BOOST_TEST(Got["none"] == 0);
  BOOST_TEST(Got["new"] <= 4);
  BOOST_TEST(Got["far"] >= 96);
}

/// All stages of one request use the same draw: with a draw each, the share of the requests that
/// several warming engines get would be the product of their shares.
BOOST_AUTO_TEST_CASE(APathOfWarmingEnginesIsUsedAsMuchAsOneOfThem) {
  int Used = 0;
  for (unsigned Seed = 0; Seed < 300; ++Seed) {
    Site Each(76);
    Each.Random_.seed(Seed);
    Each.add("far", {0, 80}, seconds(100), "far");
    for (const auto &[Id, Begin] : {std::pair{"a", 0U}, {"b", 20U}, {"c", 40U}, {"d", 60U}})
      Each.add(Id, {Begin, Begin + 20}, milliseconds(100));
    Used += Each.send(1)["a"];
  }
  BOOST_TEST(Used >= 5);
  BOOST_TEST(Used <= 40);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct ObservedCase {
  const char *Name_;
  const char *Service_;
  /// The priorities of the streaming routes to the layered model.
  std::vector<std::uint32_t> Priorities_;
  bool Observed_;
};

std::ostream &operator<<(std::ostream &Out, const ObservedCase &Case) { return Out << Case.Name_; }

const ObservedCase ObservedCases[] = {
    {"an engine, one class", "llm", {1, 1}, false},
    {"an engine, callers compete", "llm", {0, 1}, true},
    {"a plain endpoint, one class", "desk", {1, 1}, true},
    {"a plain endpoint, callers compete", "desk", {0, 1}, true},
    {"a service that the configuration lacks", "other", {0, 1}, false},
};

} // namespace

// Engines that get all their requests at once were observed and logged nevertheless: 25,908 lines
// of 163,224 in one run with 132 gateways.
BOOST_DATA_TEST_CASE(EnginesUseSlowStartOnlyWhereCallersCompete, ObservedCases, Case) {
  ServingConfig Config;
  Config.Services_.push_back({ServiceId("llm"), 10, makeModel(80)});
  Config.Services_.push_back({ServiceId("desk"), 10, std::nullopt});
  for (const std::uint32_t Priority : Case.Priorities_) {
    ServingRoute Route;
    Route.Kind_ = RequestKind::Stream;
    Route.Services_ = {{ServiceId("llm"), 1}};
    Route.Priority_ = Priority;
    Config.Routes_.push_back(Route);
  }
  EndpointRecord Record;
  Record.Listing_.Service_ = ServiceId(Case.Service_);
  BOOST_TEST(usesSlowStart(Record, ServingIndex(Config)) == Case.Observed_);
}
