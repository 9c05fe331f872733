#include "Config/YamlSection.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;

namespace {

struct DurationCase {
  std::string Text_;
  std::optional<Duration> Expected_;
};

std::ostream &operator<<(std::ostream &Out, const DurationCase &Case) { return Out << Case.Text_; }

const DurationCase DurationCases[] = {
    {"250ms", std::chrono::milliseconds(250)},
    {"2s", std::chrono::seconds(2)},
    {"5m", std::chrono::minutes(5)},
    {"24h", std::chrono::hours(24)},
    {"0s", Duration(0)},
    {"", std::nullopt},
    {"5", std::nullopt},
    {"-1s", std::nullopt},
    {"1 s", std::nullopt},
    {"9999999999h", std::nullopt},
};

} // namespace

BOOST_DATA_TEST_CASE(DurationsNeedAUnit, boost::unit_test::data::make(DurationCases), Case) {
  BOOST_TEST((parseDuration(Case.Text_) == Case.Expected_));
}
