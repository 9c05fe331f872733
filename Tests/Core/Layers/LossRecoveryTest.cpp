#include "Tests/Core/Layers/LossSimulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

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
