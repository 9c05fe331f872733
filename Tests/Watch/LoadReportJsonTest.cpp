#include "Watch/LoadReportJson.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace rattancart;

namespace {

struct ReportCase {
  std::string Body_;
  bool Valid_;
};

std::ostream &operator<<(std::ostream &Out, const ReportCase &Case) { return Out << Case.Body_; }

const ReportCase ReportCases[] = {
    {R"({"id":"e1","incarnation":1,"sequence":1})", true},
    {R"({"id":"e1","incarnation":1,"sequence":1,"step_us":-5,"batch_slots":"many"})", true},
    {R"({"id":"e2","incarnation":1,"sequence":1})", false},
    {R"({"id":"e1","sequence":1})", false},
    {R"({"id":"e1","incarnation":1})", false},
    {R"([1])", false},
    {R"({"id":)", false},
    {"", false},
};

Endpoint known() {
  Endpoint Known;
  Known.Id_ = EndpointId("e1");
  Known.Kind_ = EndpointKind::Engine;
  return Known;
}

} // namespace

BOOST_DATA_TEST_CASE(MalformedReportsAreRejected, boost::unit_test::data::make(ReportCases), Case) {
  BOOST_TEST(static_cast<bool>(parseLoadReport(Case.Body_, known())) == Case.Valid_);
}

BOOST_AUTO_TEST_CASE(EngineReportIsParsed) {
  const auto Record = parseLoadReport(
      R"({"id":"e1","incarnation":3,"sequence":9,"leaving":true,"model":"brief","version":"3",
          "layer_begin":16,"layer_end":32,"active":2,"queued":5,"batch_slots":8,"step_us":900,
          "prefill_us_per_token":20,"link_bytes_per_second":1e9,"link_delay_us":250})",
      known());
  BOOST_REQUIRE(static_cast<bool>(Record));
  BOOST_TEST((Record->Layers_ == LayerRange{16, 32}));
  BOOST_TEST((Record->State_ == EndpointState::Leaving));
  BOOST_TEST((Record->Load_.StepTime_ == std::chrono::microseconds(900)));
  BOOST_TEST(Record->Load_.Queued_ == 5);
}
