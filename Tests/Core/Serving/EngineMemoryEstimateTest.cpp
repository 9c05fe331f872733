#include "Core/Serving/EngineMemoryEstimate.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
constexpr double Total = 1000;

/// What became known of an engine, and when after Start.
struct Input {
  enum class Kind : std::uint8_t { Report, Sent, Refused };
  Kind Kind_;
  Duration At_;
  double TokenLayers_;
};

struct EstimateCase {
  const char *Name_;
  std::vector<Input> Inputs_;
  Duration At_;
  double Used_;
};

std::ostream &operator<<(std::ostream &Out, const EstimateCase &Case) { return Out << Case.Name_; }

using Kind = Input::Kind;

const EstimateCase EstimateCases[] = {
    {"nothing known", {}, 0ms, 0},
    {"a report alone", {{Kind::Report, 0ms, 300}}, 100ms, 300},
    {"own sends after the report",
     {{Kind::Report, 0ms, 300}, {Kind::Sent, 50ms, 20}, {Kind::Sent, 60ms, 30}},
     100ms,
     350},
    {"a send that the report may not show yet",
     {{Kind::Sent, 0ms, 20}, {Kind::Report, 150ms, 300}},
     160ms,
     320},
    {"a send that the report shows",
     {{Kind::Sent, 0ms, 20}, {Kind::Report, 250ms, 300}},
     260ms,
     300},
    {"growth goes on, counted from the state that was reported",
     {{Kind::Report, 0ms, 300}, {Kind::Report, 200ms, 340}},
     300ms,
     400},
    {"growth is not extrapolated for long",
     {{Kind::Report, 0ms, 300}, {Kind::Report, 200ms, 340}},
     1600ms,
     500},
    // An engine whose reports stop while it fills would count as full until the next report.
    {"growth is forgotten if reports stop",
     {{Kind::Report, 0ms, 300}, {Kind::Report, 200ms, 340}},
     1700ms,
     340},
    {"a rejection counts although reports have stopped",
     {{Kind::Report, 0ms, 300}, {Kind::Report, 200ms, 340}, {Kind::Refused, 2s, 100}},
     2100ms,
     900},
    {"less memory in use is not extrapolated",
     {{Kind::Report, 0ms, 300}, {Kind::Report, 200ms, 200}},
     300ms,
     200},
    {"refused since the report", {{Kind::Report, 0ms, 300}, {Kind::Refused, 50ms, 40}}, 60ms, 960},
    {"a report that may be older than the refusal",
     {{Kind::Refused, 0ms, 40}, {Kind::Report, 150ms, 300}},
     160ms,
     960},
    {"a report after the refusal",
     {{Kind::Refused, 0ms, 40}, {Kind::Report, 250ms, 300}},
     260ms,
     300},
    {"a refusal that no report follows",
     {{Kind::Report, 0ms, 300}, {Kind::Refused, 50ms, 40}},
     1100ms,
     300},
};

} // namespace

// Many gateways send to an engine between two of its reports, so a report alone shows it emptier
// than it is.
BOOST_DATA_TEST_CASE(MemoryInUseIsEstimatedBetweenReports, EstimateCases, Case) {
  EngineMemoryEstimate Estimate;
  for (const Input &Each : Case.Inputs_)
    switch (Each.Kind_) {
    case Kind::Report:
      Estimate.onReport(Each.TokenLayers_, Total, Start + Each.At_);
      break;
    case Kind::Sent:
      Estimate.onSent(Each.TokenLayers_, Start + Each.At_);
      break;
    case Kind::Refused:
      Estimate.onRefused(Each.TokenLayers_, Start + Each.At_);
      break;
    }
  BOOST_TEST(Estimate.used(Start + Case.At_) == Case.Used_, boost::test_tools::tolerance(1e-9));
}
