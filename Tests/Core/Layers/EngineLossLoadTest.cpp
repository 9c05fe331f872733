#include "Tests/Core/Layers/GatewayLoad.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

struct LossCase {
  const char *Name_;
  /// Gateways of each data centre.
  std::size_t Gateways_;
  /// The part of the engines' memory that is in use before the loss.
  double UsedShare_;
};

std::ostream &operator<<(std::ostream &Out, const LossCase &Case) { return Out << Case.Name_; }

const LossCase LossCases[] = {
    {"25 gateways, memory to spare", 25, 0.55},
    {"25 gateways, little memory", 25, 0.7},
    {"44 gateways, little memory", 44, 0.7},
    {"44 gateways, too little memory", 44, 0.8},
};

constexpr unsigned Seeds = 4;

double ratio(std::size_t Part, std::size_t All) {
  return static_cast<double>(Part) / static_cast<double>(All);
}

/// What happens in the seconds after three engines of one data centre end, over all seeds.
LoadOutcome playLoss(const LossCase &Case, bool Contended) {
  const std::vector<Deployment> Sites(largeDeployments().begin(), largeDeployments().begin() + 3);
  LoadOutcome Sum;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    SiteLoadOptions Options;
    Options.Gateways_ = Case.Gateways_;
    Options.UsedShare_ = Case.UsedShare_;
    Options.Contended_ = Contended;
    Options.Seed_ = Seed;
    GatewayLoad Load(Sites, Options);
    Load.play(5s);
    Load.takeOutcomes();
    Load.loseEngines(3);
    Load.play(3s);
    Sum += Load.total();
  }
  BOOST_TEST_MESSAGE(Case.Name_ << ": " << Sum.FirstSends_ << " first sends, " << Sum.Resumes_
                                << " resumes, " << Sum.Repeats_ << " repeats; rejected of these "
                                << Sum.RejectedFirstSends_ << ", " << Sum.RejectedResumes_ << ", "
                                << Sum.RejectedRepeats_ << "; placed in time " << Sum.PlacedInTime_
                                << " of " << Sum.Requests_ << ", resumed in time "
                                << Sum.ResumedInTime_ << " of " << Sum.Broken_);
  return Sum;
}

} // namespace

#ifdef RATTANCART_OPEN_CASES

// The target is that engines reject fewer than a twentieth of the sends.
BOOST_DATA_TEST_CASE(EnginesRejectOneInTwentySendsAfterALoss, LossCases, Case) {
  const LoadOutcome Outcome = playLoss(Case, /*Contended=*/true);
  BOOST_TEST(ratio(Outcome.rejected(), Outcome.sends()) < 0.05);
}

#else

// When engines end, all gateways resume the broken streams at the same instant by the same reports.
// They then send more to the engines with free memory than these can take, and each rejection costs
// a repeat from the retry budget, which the broken streams need.
BOOST_DATA_TEST_CASE(GatewaysThatResumeStreamsAtOnceOverfillEngines, LossCases, Case) {
  const LoadOutcome Alone = playLoss(Case, /*Contended=*/false);
  const LoadOutcome Together = playLoss(Case, /*Contended=*/true);
  BOOST_TEST(ratio(Together.rejected(), Together.sends()) < ratio(Alone.rejected(), Alone.sends()));
  BOOST_TEST(ratio(Together.ResumedInTime_, Together.Broken_) >
             ratio(Alone.ResumedInTime_, Alone.Broken_));
  BOOST_TEST(ratio(Together.PlacedInTime_ + Together.ResumedInTime_,
                   Together.Requests_ + Together.Broken_) >=
             ratio(Alone.PlacedInTime_ + Alone.ResumedInTime_, Alone.Requests_ + Alone.Broken_));
}

#endif
