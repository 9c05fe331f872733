#include "Core/Layers/LayoutMetrics.h"
#include "Core/Layers/PlacementController.h"
#include "SiteModel/EventQueue.h"
#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <optional>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

const ServiceId Service("model");
constexpr Duration TickInterval = 200ms;
constexpr Duration ReportLag = 200ms;
/// States of engines of other data centres arrive this rarely.
constexpr Duration RemoteInterval = 3s;

/// The data centres of one site, each with an owner of its placement. Engines load layers, all of
/// them more slowly while more than the model's limit load.
class LossSimulation {
public:
  explicit LossSimulation(const std::vector<Deployment> &Site) : Model_(makeModel(80)) {
    for (const Deployment &Each : Site) {
      auto Added = std::make_unique<DataCenter>();
      Added->Id_ = DataCenterId(Each.Name_);
      Added->Owner_.setOwner(FencingNumber(1));
      for (PlannedEngine &Settled : settledLayout(Model_, makeEngines(Model_, Each))) {
        Settled.Id_ = EndpointId(std::string(Each.Name_) + " " + Settled.Id_.str());
        Added->Engines_.push_back({Settled, 1, 0, true, 0});
      }
      DataCenters_.push_back(std::move(Added));
    }
    Queue_.every(TickInterval, [this] { step(); });
    Queue_.run(5s);
  }

  /// Engines of the data centre end; Downtime later they are back without layers.
  void restart(std::size_t Index, const std::vector<std::size_t> &Engines, Duration Downtime) {
    for (const std::size_t Each : Engines) {
      Engine &Lost = DataCenters_[Index]->Engines_[Each];
      Lost.Runs_ = false;
      Lost.LayersToLoad_ = 0;
      Lost.State_.Layers_ = {};
      Queue_.after(Downtime, [&Lost] {
        Lost.Runs_ = true;
        Lost.Orders_ = 0;
        ++Lost.Run_;
      });
    }
  }

  void run(Duration Time) { Queue_.run(Time); }
  std::vector<PlannedEngine> layout(std::size_t Index) const {
    std::vector<PlannedEngine> Serving;
    for (const Engine &Each : DataCenters_[Index]->Engines_)
      if (Each.Runs_ && Each.LayersToLoad_ <= 0)
        Serving.push_back(Each.State_);
    return Serving;
  }
  double tokens(std::size_t Index) const { return tokensInFlight(Model_, layout(Index)); }
  std::size_t mostLoads() const { return MostLoads_; }

private:
  struct Engine {
    PlannedEngine State_;
    std::uint64_t Run_ = 1;
    std::uint64_t Orders_ = 0;
    bool Runs_ = true;
    /// Layers that it still has to load.
    double LayersToLoad_ = 0;
  };
  struct DataCenter {
    DataCenterId Id_;
    std::vector<Engine> Engines_;
    EndpointRoster Roster_;
    PlacementController Owner_;
  };

  void step() {
    load();
    const bool Remote = Queue_.now() >= NextRemote_;
    if (Remote)
      NextRemote_ = Queue_.now() + RemoteInterval;
    for (const auto &From : DataCenters_)
      for (const auto &To : DataCenters_)
        if (From == To || Remote)
          sendStates(*From, *To);
    for (const auto &Each : DataCenters_)
      for (const PlacementOrder &Order : Each->Owner_.tick(
               Model_, Service, {Each->Id_, DataCenters_.size(), 2}, Each->Roster_, Queue_.now()))
        Each->Owner_.onOrderEnded(Order, take(*Each, Order), Queue_.now());
  }

  void load() {
    std::size_t Loads = 0;
    for (const auto &Each : DataCenters_)
      Loads += static_cast<std::size_t>(
          std::count_if(Each->Engines_.begin(), Each->Engines_.end(),
                        [](const Engine &One) { return One.LayersToLoad_ > 0; }));
    MostLoads_ = std::max(MostLoads_, Loads);
    const double Slowdown = std::max(1.0, static_cast<double>(Loads) / Model_.ConcurrentLoads_);
    const double Loaded = std::chrono::duration<double>(TickInterval) /
                          std::chrono::duration<double>(Model_.LoadTime_) * Model_.Layers_ /
                          Slowdown;
    for (const auto &Each : DataCenters_)
      for (Engine &One : Each->Engines_)
        One.LayersToLoad_ = std::max(0.0, One.LayersToLoad_ - Loaded);
  }

  void sendStates(const DataCenter &From, DataCenter &To) {
    for (const Engine &Each : From.Engines_) {
      if (!Each.Runs_)
        continue;
      EndpointListing Listing;
      Listing.Id_ = Each.State_.Id_;
      Listing.Service_ = Service;
      Listing.Address_ = NetAddress(Each.State_.Id_.str());
      Listing.DataCenter_ = From.Id_;
      Listing.Run_ = Incarnation(Each.Run_);
      Listing.Kind_ = Each.State_.Kind_->Name_;
      EngineReport Report;
      Report.Run_ = Listing.Run_;
      Report.Busy_ = Each.LayersToLoad_ > 0;
      Report.Layers_ = Report.Busy_ ? LayerRange{} : Each.State_.Layers_;
      Report.Orders_ = Each.Orders_;
      Queue_.after(ReportLag, [&To, Listing, Report, MeasuredAt = Queue_.now()] {
        To.Roster_.updateListing(Listing, MeasuredAt);
        To.Roster_.updateReport(Listing.Id_, Report, MeasuredAt);
      });
    }
    if (&From != &To)
      return;
    for (const Engine &Each : From.Engines_)
      if (!Each.Runs_)
        To.Roster_.removeListing(Each.State_.Id_, std::nullopt, Queue_.now());
  }

  static OrderOutcome take(DataCenter &At, const PlacementOrder &Order) {
    const auto Found =
        std::find_if(At.Engines_.begin(), At.Engines_.end(),
                     [&](const Engine &Each) { return Each.State_.Id_ == Order.Engine_; });
    if (!Found->Runs_)
      return OrderOutcome::Unknown;
    if (Found->LayersToLoad_ > 0 || Found->Orders_ != Order.ExpectedOrders_)
      return OrderOutcome::Conflict;
    ++Found->Orders_;
    for (std::uint32_t Layer = Order.Layers_.Begin_; Layer < Order.Layers_.End_; ++Layer)
      if (Layer < Found->State_.Layers_.Begin_ || Layer >= Found->State_.Layers_.End_)
        ++Found->LayersToLoad_;
    Found->State_.Layers_ = Order.Layers_;
    return OrderOutcome::Accepted;
  }

  LayeredModel Model_;
  EventQueue Queue_;
  std::vector<std::unique_ptr<DataCenter>> DataCenters_;
  TimePoint NextRemote_{};
  std::size_t MostLoads_ = 0;
};

/// The data centres of a site that loses engines.
struct SiteCase {
  const char *Name_;
  /// Index of its first data centre.
  std::size_t First_;
  /// The mean time in which the token capacity is to be restored, in seconds.
  double RestoredWithin_;
};

std::ostream &operator<<(std::ostream &Out, const SiteCase &Case) { return Out << Case.Name_; }

const SiteCase SiteCases[] = {{"lockside", 0, 6.5}, {"rhannau", 3, 12.3}};

constexpr Duration Downtime = 3s;
/// The token capacity counts as restored from this share of the one before the loss on.
constexpr double RestoredShare = 0.98;

/// The times from a loss until the data centre holds the model and until it has its token capacity
/// again, added up over several losses.
struct Recovery {
  double WholeSeconds_ = 0;
  double CapacitySeconds_ = 0;
  std::size_t Losses_ = 0;
  std::size_t MostLoads_ = 0;
};

/// Three engines of one kind end together and are back, without layers, after the downtime.
void loseThree(const std::vector<Deployment> &Site, std::size_t DataCenter, std::size_t First,
               Recovery &Sum) {
  LossSimulation Simulation(Site);
  const double Before = Simulation.tokens(DataCenter);
  BOOST_REQUIRE(Before > 0);
  Simulation.restart(DataCenter, {First, First + 1, First + 2}, Downtime);
  std::optional<Duration> Whole;
  std::optional<Duration> Restored;
  for (Duration Time{}; Time < 60s && !Restored; Time += 100ms) {
    const double Tokens = Simulation.tokens(DataCenter);
    if (!Whole && Tokens > 0)
      Whole = Time;
    if (Tokens >= RestoredShare * Before)
      Restored = Time;
    Simulation.run(100ms);
  }
  Sum.WholeSeconds_ += std::chrono::duration<double>(Whole.value_or(60s)).count();
  Sum.CapacitySeconds_ += std::chrono::duration<double>(Restored.value_or(60s)).count();
  ++Sum.Losses_;
  Sum.MostLoads_ = std::max(Sum.MostLoads_, Simulation.mostLoads());
}

} // namespace

// Guards against a data centre that loads one copy after the other while the others load none.
BOOST_DATA_TEST_CASE(ThreeEnginesThatComeBackLoadTogether, SiteCases, Case) {
  const auto Begin = contendedDeployments().begin() + static_cast<std::ptrdiff_t>(Case.First_);
  const std::vector<Deployment> Site(Begin, Begin + 3);
  Recovery Sum;
  for (std::size_t DataCenter = 0; DataCenter < Site.size(); ++DataCenter) {
    std::size_t First = 0;
    for (const EngineGroup &Group : Site[DataCenter].Engines_) {
      if (Group.Count_ >= 3)
        loseThree(Site, DataCenter, First, Sum);
      First += static_cast<std::size_t>(Group.Count_);
    }
  }
  const auto Losses = static_cast<double>(Sum.Losses_);
  BOOST_TEST_MESSAGE(Case.Name_ << ": whole after " << Sum.WholeSeconds_ / Losses
                                << " s, token capacity after " << Sum.CapacitySeconds_ / Losses
                                << " s, at most " << Sum.MostLoads_ << " loads");
  BOOST_TEST(Sum.MostLoads_ == 3U);
  BOOST_TEST(Sum.CapacitySeconds_ / Losses < Case.RestoredWithin_);
}

// Guards against data centres that, each for itself, use all loads that the others left some
// seconds ago.
BOOST_DATA_TEST_CASE(DataCentersThatLoseEnginesTogetherStayNearTheLimit, SiteCases, Case) {
  const auto Begin = contendedDeployments().begin() + static_cast<std::ptrdiff_t>(Case.First_);
  LossSimulation Simulation({Begin, Begin + 3});
  for (std::size_t DataCenter = 0; DataCenter < 3; ++DataCenter)
    Simulation.restart(DataCenter, {4, 5, 6, 7, 8, 9}, Downtime);
  Simulation.run(60s);
  for (std::size_t DataCenter = 0; DataCenter < 3; ++DataCenter)
    BOOST_TEST(Simulation.tokens(DataCenter) > 0);
  BOOST_TEST_MESSAGE(Case.Name_ << ": at most " << Simulation.mostLoads() << " loads");
  BOOST_TEST(Simulation.mostLoads() <= makeModel(80).ConcurrentLoads_ * 3 / 2);
}
