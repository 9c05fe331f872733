#include "Core/Serving/ConcurrentSendEstimate.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

struct SendCase {
  const char *Name_;
  std::optional<std::uint32_t> Gateways_;
  /// Requests sent in the last 50 ms, after a long time with five requests each second.
  int Burst_;
  double LeastFactor_;
  double MostFactor_;
};

std::ostream &operator<<(std::ostream &Out, const SendCase &Case) { return Out << Case.Name_; }

const SendCase SendCases[] = {
    {"number of gateways not known", std::nullopt, 8, 0, 0},
    {"the only gateway", 1, 8, 0, 0},
    {"steady sends", 11, 0, 20, 20},
    {"a burst, as when many streams are resumed at once", 11, 8, 200, 400},
    {"the same burst on a larger site", 101, 8, 2000, 4000},
};

} // namespace

// Gateways act alike, so a burst at one of them after the loss of an engine is a burst at all.
BOOST_DATA_TEST_CASE(ABurstIsMultipliedByTheNumberOfGateways, SendCases, Case) {
  ConcurrentSendEstimate Estimate;
  Estimate.setGateways(Case.Gateways_);
  TimePoint Now{1h};
  for (int I = 0; I < 200; ++I, Now += 200ms)
    Estimate.onSent(1000, Now);
  for (int I = 0; I < Case.Burst_; ++I, Now += 6ms)
    Estimate.onSent(1000, Now);
  BOOST_TEST(Estimate.factor(Now) >= Case.LeastFactor_);
  BOOST_TEST(Estimate.factor(Now) <= Case.MostFactor_);
  BOOST_TEST(Estimate.factor(Now + 5s) <= Case.LeastFactor_);
}
