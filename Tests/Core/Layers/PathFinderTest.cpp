#include "Core/Layers/PathChooser.h"
#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

using namespace rattancart;
using namespace rattancart::test;

namespace {

const TimePoint Start{std::chrono::hours(1)};

/// An engine that holds layers, and the tokens for which it has free memory at each of them.
struct Held {
  const char *Id_;
  const char *Kind_;
  LayerRange Layers_;
  double FreeTokens_;
  bool MayBeFirst_ = true;
};

struct PathCase {
  const char *Name_;
  std::vector<Held> Engines_;
  /// Ids of the stages in order; empty if there is no path.
  std::vector<std::string> Expected_;
};

std::ostream &operator<<(std::ostream &Out, const PathCase &Case) { return Out << Case.Name_; }

const PathCase PathCases[] = {
    {"one engine holds all", {{"a", "huge", {0, 80}, 1e6}}, {"a"}},
    {"two halves", {{"b", "l4", {40, 80}, 1e6}, {"a", "l4", {0, 40}, 1e6}}, {"a", "b"}},
    {"the faster copy",
     {{"a", "l4", {0, 40}, 1e6}, {"f", "h100", {0, 40}, 1e6}, {"b", "l4", {40, 80}, 1e6}},
     {"f", "b"}},
    {"the copy with free memory",
     {{"a", "l4", {0, 40}, 1e6}, {"f", "h100", {0, 40}, 100}, {"b", "l4", {40, 80}, 1e6}},
     {"a", "b"}},
    {"no free memory", {{"a", "l4", {0, 40}, 1e6}, {"b", "l4", {40, 80}, 100}}, {}},
    {"a layer is missing", {{"a", "l4", {0, 40}, 1e6}, {"b", "l4", {41, 80}, 1e6}}, {}},
    {"part of what an engine holds",
     {{"a", "l4", {0, 50}, 1e6}, {"f", "h100", {30, 80}, 1e6}},
     {"a", "f"}},
    {"an engine only once", {{"s", "l4", {0, 80}, 1e6}, {"f", "h100", {20, 60}, 1e6}}, {"s"}},
    {"only from an allowed engine",
     {{"f", "h100", {0, 40}, 1e6, false}, {"a", "l4", {0, 40}, 1e6}, {"b", "l4", {40, 80}, 1e6}},
     {"a", "b"}},
    {"no allowed engine begins",
     {{"a", "l4", {0, 40}, 1e6, false}, {"b", "l4", {40, 80}, 1e6}},
     {}},
};

std::vector<StageCandidate> candidates(const LayeredModel &Model,
                                       const std::vector<Held> &Engines) {
  std::vector<StageCandidate> Found;
  for (const Held &Each : Engines) {
    StageCandidate Candidate;
    Candidate.Id_ = EndpointId(Each.Id_);
    Candidate.Kind_ = Model.kind(Each.Kind_);
    Candidate.Layers_ = Each.Layers_;
    // The path finder reserves a tenth of the memory.
    Candidate.TotalTokenLayers_ =
        Each.FreeTokens_ * (Each.Layers_.End_ - Each.Layers_.Begin_) / 0.9;
    Candidate.MayBeFirst_ = Each.MayBeFirst_;
    Found.push_back(Candidate);
  }
  return Found;
}

/// Checks that each layer is run once, in order, by an engine that holds it.
void checkWhole(const LayeredModel &Model, const std::vector<StageCandidate> &Candidates,
                const LayerPath &Path) {
  std::uint32_t Reached = 0;
  std::set<EndpointId> Seen;
  for (const PathStage &Stage : Path.Stages_) {
    BOOST_TEST(Stage.Layers_.Begin_ == Reached);
    BOOST_TEST(Stage.Layers_.End_ > Stage.Layers_.Begin_);
    BOOST_TEST(Seen.insert(Stage.Engine_).second);
    Reached = Stage.Layers_.End_;
    for (const StageCandidate &Engine : Candidates)
      if (Engine.Id_ == Stage.Engine_) {
        BOOST_TEST(Engine.Layers_.Begin_ <= Stage.Layers_.Begin_);
        BOOST_TEST(Engine.Layers_.End_ >= Stage.Layers_.End_);
      }
  }
  BOOST_TEST(Reached == Model.Layers_);
  BOOST_TEST(Path.Stages_.size() <= MaxPathStages);
}

EndpointListing listing(const Held &Each, const char *DataCenter) {
  EndpointListing Listing;
  Listing.Id_ = EndpointId(Each.Id_);
  Listing.Service_ = ServiceId("llm");
  Listing.Address_ = NetAddress(std::string(Each.Id_) + ":1");
  Listing.DataCenter_ = DataCenterId(DataCenter);
  Listing.Run_ = Incarnation(1);
  Listing.Kind_ = Each.Kind_;
  Listing.Layers_ = Each.Layers_;
  return Listing;
}

} // namespace

BOOST_DATA_TEST_CASE(FindsThePath, PathCases, Case) {
  const LayeredModel Model = makeModel(80);
  const auto Candidates = candidates(Model, Case.Engines_);
  const auto Path = findPath(Model, Candidates, {700, 200});
  std::vector<std::string> Stages;
  if (Path) {
    checkWhole(Model, Candidates, *Path);
    for (const PathStage &Stage : Path->Stages_)
      Stages.push_back(Stage.Engine_.str());
  }
  BOOST_TEST(Stages == Case.Expected_, boost::test_tools::per_element());
}

struct KeptCase {
  const char *Name_;
  double KeptShare_;
  bool Found_;
};

std::ostream &operator<<(std::ostream &Out, const KeptCase &Case) { return Out << Case.Name_; }

const KeptCase KeptCases[] = {
    {"nothing kept", 0, true},
    {"enough is left beside the part kept", 0.09, true},
    {"the request needs the part kept", 0.12, false},
};

// A request that takes the memory kept for more urgent ones leaves these without a path.
BOOST_DATA_TEST_CASE(APathLeavesTheKeptMemoryFree, KeptCases, Case) {
  const LayeredModel Model = makeModel(80);
  // Of 1,111 tokens the request needs 900, and the path finder reserves a tenth.
  const auto Candidates = candidates(Model, {{"a", "huge", {0, 80}, 1000}});
  BOOST_TEST(findPath(Model, Candidates, {700, 200, Case.KeptShare_}).has_value() == Case.Found_);
}

BOOST_AUTO_TEST_CASE(EveryPathRunsEachLayerOnce) {
  const LayeredModel Model = makeModel(80);
  int Found = 0;
  for (unsigned Seed = 1; Seed <= 2000; ++Seed) {
    std::mt19937 Random(Seed);
    std::vector<StageCandidate> Candidates;
    for (unsigned I = 0; I < 12; ++I) {
      StageCandidate Candidate;
      Candidate.Id_ = EndpointId(std::to_string(I));
      Candidate.Kind_ = &Model.Kinds_[Random() % 4];
      const std::uint32_t Begin = Random() % 80;
      Candidate.Layers_ = {Begin, std::min<std::uint32_t>(80, Begin + 5 + Random() % 30)};
      Candidate.TotalTokenLayers_ = Random() % 200'000;
      Candidate.RandomFactor_ = 1 + (Random() % 50) / 100.0;
      Candidates.push_back(Candidate);
    }
    if (const auto Path = findPath(Model, Candidates, {700, 200})) {
      ++Found;
      checkWhole(Model, Candidates, *Path);
      BOOST_TEST(holdWholeModel(Model, Candidates));
    }
  }
  BOOST_TEST(Found > 100);
}

BOOST_AUTO_TEST_CASE(RequestsRunAtHomeAndElsewhereWhenALayerIsMissingThere) {
  const LayeredModel Model = makeModel(80);
  EndpointRoster Roster;
  Roster.updateListing(listing({"h1", "h100", {0, 40}, 0}, "home"), Start);
  Roster.updateListing(listing({"h2", "h100", {40, 80}, 0}, "home"), Start);
  Roster.updateListing(listing({"x1", "huge", {0, 80}, 0}, "x"), Start);
  Roster.updateListing(listing({"y1", "huge", {0, 80}, 0}, "y"), Start);
  const PathChooser Chooser(Roster, DataCenterId("home"));
  std::mt19937 Random(1);
  const auto ChosenDataCenter = [&](const PathConstraints &Limits) {
    const auto Choice = Chooser.choose(Model, ServiceId("llm"), {700, 200}, Limits, Random, Start);
    return Choice.Path_ ? Choice.DataCenter_.str() : std::string("none");
  };
  BOOST_TEST(ChosenDataCenter({}) == "home");
  std::map<std::string, int> Used;
  for (int I = 0; I < 200; ++I)
    ++Used[ChosenDataCenter({{EndpointId("h2")}, {}})];
  BOOST_TEST(Used["home"] == 0);
  BOOST_TEST(Used["x"] > 50);
  BOOST_TEST(Used["y"] > 50);
  BOOST_TEST(ChosenDataCenter({{}, {EndpointId("y1")}}) == "y");
  Roster.markSilent(EndpointId("h1"), Start, Start + std::chrono::seconds(1));
  BOOST_TEST(ChosenDataCenter({}) != "home");
  Roster.markSilent(EndpointId("x1"), Start, Start + std::chrono::seconds(1));
  Roster.markSilent(EndpointId("y1"), Start, Start + std::chrono::seconds(1));
  BOOST_TEST(ChosenDataCenter({}) == "none");
}
