#include "Core/Admission/ClassReserve.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const ServiceId Service("model");

struct ReserveCase {
  const char *Name_;
  std::optional<std::uint32_t> Gateways_;
  double CapacityTokens_;
  std::uint32_t Priority_;
  Duration Waited_;
  /// Time since the last arrival.
  Duration Quiet_;
  double LeastShare_;
  double MostShare_;
};

std::ostream &operator<<(std::ostream &Out, const ReserveCase &Case) { return Out << Case.Name_; }

// Classes 0 and 1 get 2,000 tokens a second each at this gateway.
const ReserveCase ReserveCases[] = {
    {"the most urgent class", 25, 200'000, 0, 0ms, 0ms, 0, 0},
    {"below one class", 25, 200'000, 1, 0ms, 0ms, 0.08, 0.13},
    {"below two classes", 25, 400'000, 2, 0ms, 0ms, 0.08, 0.13},
    {"a request that has waited is raised", 25, 400'000, 2, 200ms, 0ms, 0.04, 0.065},
    {"a request that has waited for long", 25, 400'000, 2, 400ms, 0ms, 0, 0},
    {"never more than a sixth", 100, 100'000, 2, 0ms, 0ms, 1.0 / 6, 1.0 / 6},
    {"no demand for a while", 25, 200'000, 1, 0ms, 30s, 0, 0.001},
    {"number of gateways not known", std::nullopt, 200'000, 1, 0ms, 0ms, 0, 0.01},
    {"memory of the engines not known", 25, 0, 1, 0ms, 0ms, 0, 0},
};

} // namespace

// Without a reserve, less urgent classes take the memory that urgent requests need before the next
// report; with too large a one they starve.
BOOST_DATA_TEST_CASE(MemoryIsKeptForMoreUrgentClasses, ReserveCases, Case) {
  ClassReserve Reserve;
  Reserve.setGateways(Case.Gateways_);
  Reserve.setCapacity(Service, Case.CapacityTokens_);
  TimePoint Now{1h};
  for (int I = 0; I < 100; ++I, Now += 500ms)
    for (const std::uint32_t Priority : {0U, 1U})
      Reserve.onArrival(Service, Priority, 1000, Now);
  Now += Case.Quiet_;
  const double Kept = Reserve.keptShare(Service, Case.Priority_, Case.Waited_, Now);
  BOOST_TEST(Kept >= Case.LeastShare_);
  BOOST_TEST(Kept <= Case.MostShare_);
  BOOST_TEST(Reserve.keptShare(ServiceId("other"), 2, Duration{}, Now) == 0);
}
