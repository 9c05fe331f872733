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
  /// Limits of what happens in the seconds after the loss: sends that engines reject, as a part of
  /// all sends, and broken streams that are resumed in time.
  double MostRejected_;
  double LeastResumed_;
  /// New requests and broken streams that an engine takes in time.
  double LeastServed_;
};

std::ostream &operator<<(std::ostream &Out, const LossCase &Case) { return Out << Case.Name_; }

const LossCase LossCases[] = {
    {"25 gateways, memory to spare", 25, 0.55, 0.01, 0.95, 0.98},
    {"25 gateways, little memory", 25, 0.7, 0.145, 0.85, 0.9},
    {"44 gateways, little memory", 44, 0.7, 0.08, 0.75, 0.91},
    {"44 gateways, too little memory", 44, 0.8, 0.15, 0.55, 0.82},
};

constexpr unsigned Seeds = 4;

double ratio(std::size_t Part, std::size_t All) {
  return static_cast<double>(Part) / static_cast<double>(All);
}

} // namespace

// When engines end, all gateways resume the broken streams at the same instant by the same reports.
// They then send more to the engines with free memory than these can take, and each rejection costs
// a repeat from the retry budget, which the broken streams need.
BOOST_DATA_TEST_CASE(GatewaysThatResumeStreamsAtOnceOverfillEngines, LossCases, Case) {
  const std::vector<Deployment> Sites(largeDeployments().begin(), largeDeployments().begin() + 3);
  LoadOutcome Sum;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    SiteLoadOptions Options;
    Options.Gateways_ = Case.Gateways_;
    Options.UsedShare_ = Case.UsedShare_;
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
  BOOST_TEST(ratio(Sum.rejected(), Sum.sends()) <= Case.MostRejected_);
  BOOST_TEST(ratio(Sum.ResumedInTime_, Sum.Broken_) >= Case.LeastResumed_);
  BOOST_TEST(ratio(Sum.PlacedInTime_ + Sum.ResumedInTime_, Sum.Requests_ + Sum.Broken_) >=
             Case.LeastServed_);
}
