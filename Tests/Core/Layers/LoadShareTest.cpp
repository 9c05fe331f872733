#include "Core/Layers/LoadShare.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>

using namespace rattancart;

namespace {

using Demand = std::map<DataCenterId, std::size_t>;

const DataCenterId A("a");
const DataCenterId B("b");
const DataCenterId C("c");

struct ShareCase {
  const char *Name_;
  std::size_t Limit_;
  std::size_t DataCenters_;
  Demand Demand_;
  DataCenterId Home_;
  std::size_t Loads_;
};

std::ostream &operator<<(std::ostream &Out, const ShareCase &Case) { return Out << Case.Name_; }

const ShareCase ShareCases[] = {
    {"nobody loads", 6, 3, {{A, 0}, {B, 0}, {C, 0}}, A, 2},
    {"three engines came back here", 6, 3, {{A, 3}, {B, 0}, {C, 0}}, A, 3},
    {"all engines here are empty", 6, 3, {{A, 30}, {B, 0}, {C, 0}}, A, 3},
    {"all engines everywhere are empty", 6, 3, {{A, 30}, {B, 30}, {C, 30}}, B, 2},
    {"two data centres, the first in order", 7, 3, {{A, 30}, {B, 30}, {C, 0}}, A, 3},
    {"two data centres, the second in order", 7, 3, {{A, 30}, {B, 30}, {C, 0}}, B, 3},
    {"an odd rest goes to the first", 6, 3, {{A, 30}, {B, 30}, {C, 1}}, A, 3},
    {"and not to the second", 6, 3, {{A, 30}, {B, 30}, {C, 1}}, B, 2},
    {"nothing is known of the others", 6, 3, {{A, 30}}, A, 3},
    {"one data centre", 6, 1, {{A, 30}}, A, 6},
    {"a large limit", 24, 3, {{A, 30}, {B, 0}, {C, 2}}, A, 15},
    {"fewer loads than data centres", 2, 3, {{A, 30}, {B, 30}, {C, 30}}, C, 1},
    {"no load is allowed", 0, 3, {{A, 1}}, A, 1},
};

} // namespace

BOOST_DATA_TEST_CASE(ADataCenterUsesTheLoadsThatOthersLeave, ShareCases, Case) {
  BOOST_TEST(loadsAtOnce(Case.Limit_, Case.DataCenters_, Case.Home_, Case.Demand_) == Case.Loads_);
}

// Guards against data centres that exceed the limit together, so that loads which fill gaps take
// longer.
BOOST_AUTO_TEST_CASE(DataCentersThatKnowTheSameDemandStayWithinTheLimit) {
  std::mt19937 Random(1);
  for (int Round = 0; Round < 5000; ++Round) {
    const std::size_t DataCenters = 1 + Random() % 7;
    const std::size_t Limit = DataCenters + Random() % 12;
    Demand Known;
    for (std::size_t I = 0; I < DataCenters; ++I)
      Known[DataCenterId("d" + std::to_string(I))] = Random() % 8;
    std::size_t Used = 0;
    for (const auto &[Id, Wanted] : Known)
      Used += std::min(Wanted, loadsAtOnce(Limit, DataCenters, Id, Known));
    BOOST_TEST_CONTEXT("round " << Round)
    BOOST_TEST(Used <= Limit);
  }
}
