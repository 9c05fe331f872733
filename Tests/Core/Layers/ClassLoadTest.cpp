#include "Tests/Core/Layers/GatewayLoad.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

struct ClassCase {
  const char *Name_;
  std::size_t Gateways_;
  /// Over 1 if the engines lack memory for all requests.
  double UsedShare_;
};

std::ostream &operator<<(std::ostream &Out, const ClassCase &Case) { return Out << Case.Name_; }

const ClassCase ClassCases[] = {
    {"25 gateways, memory is short", 25, 1.1},
    {"44 gateways, memory is short", 44, 1.1},
    {"25 gateways, memory is very short", 25, 1.4},
};

double ratio(std::size_t Part, std::size_t All) {
  return static_cast<double>(Part) / static_cast<double>(All);
}

} // namespace

// Without a reserve, requests of all classes get the memory that becomes free in the order of their
// arrival, so the most urgent ones are refused as often as the others.
BOOST_DATA_TEST_CASE(UrgentClassesAreRefusedNoMoreOftenThanOthers, ClassCases, Case) {
  const std::vector<Deployment> Sites(largeDeployments().begin(), largeDeployments().begin() + 3);
  SiteLoadOptions Options;
  Options.Gateways_ = Case.Gateways_;
  Options.UsedShare_ = Case.UsedShare_;
  Options.Classes_ = {{0, 0.54}, {1, 0.29}, {2, 0.17}};
  GatewayLoad Load(Sites, Options);
  Load.play(4s);
  Load.takeOutcomes();
  Load.play(12s);
  auto Classes = Load.takeOutcomes();
  for (const auto &[Priority, Each] : Classes)
    BOOST_TEST_MESSAGE(Case.Name_ << ", class " << Priority << ": " << Each.Requests_
                                  << " requests, " << Each.PlacedInTime_ << " placed in time, "
                                  << Each.Refused_ << " refused; engines rejected "
                                  << Each.rejected() << " of " << Each.sends() << " sends");
  const auto RefusedShare = [&](std::uint32_t Priority) {
    return ratio(Classes[Priority].Refused_, Classes[Priority].Requests_);
  };
  const auto RejectedShare = [&](std::uint32_t Priority) {
    return ratio(Classes[Priority].rejected(), Classes[Priority].sends());
  };
  BOOST_TEST(RefusedShare(0) + 0.05 <= RefusedShare(2));
  BOOST_TEST(RefusedShare(0) <= RefusedShare(1));
  BOOST_TEST(RejectedShare(0) <= RejectedShare(2) + 0.02);
  LoadOutcome Sum;
  for (const auto &[Priority, Each] : Classes)
    Sum += Each;
  for (const auto &[Priority, Each] : Classes)
    BOOST_TEST(ratio(Each.PlacedInTime_, Each.Requests_) >=
               ratio(Sum.PlacedInTime_, Sum.Requests_) / 4);
}
