#include "Core/Layers/LayoutMetrics.h"
#include "Core/Layers/PathChooser.h"
#include "SiteModel/EventQueue.h"
#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration ReportInterval = 200ms;
/// From the state of an engine to the gateways that choose by it.
constexpr Duration ReportLag = 300ms;
constexpr Duration PlayTime = 30s;
constexpr PathDemand Demand{800, 200, 0, /*Contended_=*/true};
constexpr double TokensPerRequest = 1000;
/// How long a stream runs on a busy site.
constexpr Duration Dwell = 2500ms;

struct LoadCase {
  const char *Name_;
  /// Gateways of one data centre.
  std::size_t Gateways_;
  /// Tokens in flight on average.
  double Tokens_;
};

std::ostream &operator<<(std::ostream &Out, const LoadCase &Case) { return Out << Case.Name_; }

/// Tokens in flight in one data centre of a large site on a calm day.
constexpr double CalmTokens = 200'000;

const LoadCase LoadCases[] = {
    {"one gateway", 1, CalmTokens},
    {"9 machines", 3, CalmTokens},
    {"89 machines", 30, CalmTokens},
    {"295 machines", 59, CalmTokens},
    {"390 machines", 56, CalmTokens},
    {"89 machines, a quarter more", 30, 1.25 * CalmTokens},
    {"295 machines, a quarter more", 59, 1.25 * CalmTokens},
};

/// Many gateways choose paths over the engines of one data centre, each by the same lagging
/// reports and by what it sent itself.
class PathLoad {
public:
  PathLoad(const Deployment &Site, std::size_t Gateways)
      : Model_(makeModel(Site.Layers_)), Layout_(settledLayout(Model_, makeEngines(Model_, Site))) {
    for (const PlannedEngine &Engine : Layout_)
      Total_[Engine.Id_] = (Engine.Kind_->MemoryMb_ - layers(Engine) * Model_.LayerMb_) * 1e6 /
                           (Model_.TokenBytes_ / Model_.Layers_);
    for (std::size_t I = 0; I < Gateways; ++I) {
      Gateways_.push_back(std::make_unique<Gateway>());
      for (const PlannedEngine &Engine : Layout_)
        Gateways_.back()->Roster_.updateListing(listing(Engine), Queue_.now());
    }
    report();
    Queue_.run(ReportLag);
    Queue_.every(ReportInterval, [this] { report(); });
  }

  /// Plays requests at a rate at which that many tokens are in flight on average.
  void play(double Tokens) {
    const double PerSecond =
        Tokens / TokensPerRequest / std::chrono::duration<double>(Dwell).count();
    for (Duration At{}; At < PlayTime;
         At += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
             std::exponential_distribution<double>(PerSecond)(Random_))))
      Queue_.after(At, [this] { arrive(*Gateways_[Random_() % Gateways_.size()]); });
    Queue_.run(PlayTime);
  }

  std::size_t sent() const { return Sent_; }
  std::size_t refusedByEngines() const { return RefusedByEngines_; }
  std::size_t withoutPath() const { return WithoutPath_; }

private:
  struct Gateway {
    EndpointRoster Roster_;
    PathChooser Paths_{Roster_, DataCenterId("home")};
  };

  static std::uint32_t layers(const PlannedEngine &Engine) {
    return Engine.Layers_.End_ - Engine.Layers_.Begin_;
  }

  static EndpointListing listing(const PlannedEngine &Engine) {
    EndpointListing Listing;
    Listing.Id_ = Engine.Id_;
    Listing.Service_ = ServiceId("model");
    Listing.DataCenter_ = DataCenterId("home");
    Listing.Kind_ = Engine.Kind_->Name_;
    Listing.Layers_ = Engine.Layers_;
    Listing.Slots_ = 1000;
    return Listing;
  }

  void report() {
    const TimePoint MeasuredAt = Queue_.now();
    Queue_.after(ReportLag, [this, Used = Used_, MeasuredAt] {
      for (const PlannedEngine &Engine : Layout_) {
        EngineReport Report;
        Report.Layers_ = Engine.Layers_;
        Report.TotalTokenLayers_ = Total_.at(Engine.Id_);
        const auto Found = Used.find(Engine.Id_);
        Report.UsedTokenLayers_ = Found == Used.end() ? 0 : Found->second;
        for (const auto &Each : Gateways_)
          Each->Roster_.updateReport(Engine.Id_, Report, MeasuredAt + ReportLag);
      }
    });
  }

  void arrive(Gateway &At) {
    const PathChoice Choice =
        At.Paths_.choose(Model_, ServiceId("model"), Demand, {}, Random_, Queue_.now());
    if (!Choice.Path_) {
      ++WithoutPath_;
      return;
    }
    ++Sent_;
    for (const PathStage &Stage : Choice.Path_->Stages_) {
      const double Needed = needed(Stage);
      At.Roster_.addOwnLoad(Stage.Engine_, 1, Needed);
      At.Roster_.noteSent(Stage.Engine_, Needed, Queue_.now());
    }
    const LayerPath Path = *Choice.Path_;
    for (const PathStage &Stage : Path.Stages_)
      if (Used_[Stage.Engine_] + needed(Stage) > Total_.at(Stage.Engine_)) {
        ++RefusedByEngines_;
        At.Roster_.noteMemoryRefusal(Stage.Engine_, needed(Stage), Queue_.now());
        return release(At, Path);
      }
    for (const PathStage &Stage : Path.Stages_)
      Used_[Stage.Engine_] += needed(Stage);
    Queue_.after(Dwell, [this, &At, Path] {
      for (const PathStage &Stage : Path.Stages_)
        Used_[Stage.Engine_] -= needed(Stage);
      release(At, Path);
    });
  }

  static void release(Gateway &At, const LayerPath &Path) {
    for (const PathStage &Stage : Path.Stages_)
      At.Roster_.addOwnLoad(Stage.Engine_, -1, -needed(Stage));
  }

  static double needed(const PathStage &Stage) {
    return TokensPerRequest * (Stage.Layers_.End_ - Stage.Layers_.Begin_);
  }

  LayeredModel Model_;
  std::vector<PlannedEngine> Layout_;
  EventQueue Queue_;
  std::mt19937 Random_{1};
  std::map<EndpointId, double> Total_;
  std::map<EndpointId, double> Used_;
  std::vector<std::unique_ptr<Gateway>> Gateways_;
  std::size_t Sent_ = 0;
  std::size_t RefusedByEngines_ = 0;
  std::size_t WithoutPath_ = 0;
};

} // namespace

// Gateways that all choose the fastest engines with free memory fill them together between two
// reports. The engines refuse what does not fit, and each refusal costs a repeat.
BOOST_DATA_TEST_CASE(GatewaysWithTheSameReportsFillTheSameEngines, LoadCases, Case) {
  for (const Deployment &Site : largeDeployments()) {
    PathLoad Load(Site, Case.Gateways_);
    Load.play(Case.Tokens_);
    const std::size_t Requests = Load.sent() + Load.withoutPath();
    BOOST_TEST_MESSAGE(Site.Name_ << ", " << Case.Name_ << ": " << Requests << " requests, "
                                  << Load.refusedByEngines() << " refused by engines, "
                                  << Load.withoutPath() << " without a path");
    BOOST_TEST_CONTEXT(Site.Name_) {
      BOOST_TEST(Load.refusedByEngines() <= Load.sent() / 20);
      BOOST_TEST(Load.withoutPath() <= Requests / 20);
    }
  }
}
