#include "Gateway/GatewayGauges.h"
#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const ServiceId Brief("brief");

/// Input of the gauges: data centre "east" holds both halves of a model, "west" only the first
/// half.
struct GaugeInputs {
  EndpointRoster Roster_;
  ConfigHolder Config_;
  RetryShare Retries_{{0.2, 100, 10s}, Start - 1min};
  PathChooser Paths_{Roster_, DataCenterId("east")};
  EndpointSlowStart SlowStart_{{true, 0.125}};

  GaugeInputs() {
    Retries_.setProcesses(4);
    add("east-a", "east", {0, 40});
    add("east-b", "east", {40, 80});
    add("west-a", "west", {0, 40});
    ServingConfig Config;
    Config.Revision_ = ConfigRevision(7);
    Config.Services_.push_back({Brief, 10, test::makeModel(80)});
    Config_.replaceIfNewer(std::move(Config), Start);
  }

  void add(const char *Id, const char *DataCenter, LayerRange Layers) {
    EndpointListing Listing;
    Listing.Id_ = EndpointId(Id);
    Listing.Service_ = Brief;
    Listing.Address_ = NetAddress(Id);
    Listing.DataCenter_ = DataCenterId(DataCenter);
    Listing.Kind_ = "huge";
    Listing.Layers_ = Layers;
    Roster_.updateListing(Listing, Start);
  }

  std::string text(TimePoint Now) const {
    GaugeText Gauges("p_");
    addEndpointGauges(Gauges, Roster_, Now);
    addSlowStartGauges(Gauges, SlowStart_);
    addServingGauges(Gauges, Config_, Roster_, Paths_, Retries_, Now);
    return Gauges.text();
  }
};

ServingRoute streamRoute(std::uint32_t Priority) {
  ServingRoute Route;
  Route.Kind_ = RequestKind::Stream;
  Route.Services_ = {{Brief, 1}};
  Route.Priority_ = Priority;
  return Route;
}

struct GaugeCase {
  const char *Name_;
  void (*Modify_)(GaugeInputs &);
  /// Lines that the text must contain two seconds after the start.
  std::vector<std::string> ExpectedLines_;
};

std::ostream &operator<<(std::ostream &Out, const GaugeCase &Case) { return Out << Case.Name_; }

const GaugeCase GaugeCases[] = {
    {"all live",
     [](GaugeInputs &) {},
     {"# TYPE p_endpoints gauge\np_endpoints{data_center=\"east\",state=\"live\"} 2\n",
      "p_endpoints{data_center=\"west\",state=\"live\"} 1\n", "p_config_revision 7\n",
      "p_config_age_seconds 2\n", "p_retry_budget_left{service=\"brief\"} 22.5\n",
      "p_retry_budget_spent{service=\"brief\"} 0\n", "p_retry_budget_gateways 4\n",
      "p_holds_whole_model{service=\"brief\",data_center=\"east\"} 1\n",
      "p_holds_whole_model{service=\"brief\",data_center=\"west\"} 0\n"}},
    {"one warming",
     [](GaugeInputs &In) {
       In.SlowStart_.observe(
           {EndpointId("desk"), Brief, Incarnation(1), 1ms, false, {}, false, false}, Start);
     },
     {"p_endpoints_warming 1\n", "p_slow_start_window{endpoint=\"desk\"} 0.125\n"}},
    {"one silent",
     [](GaugeInputs &In) { In.Roster_.markSilent(EndpointId("east-a"), Start, Start + 3s); },
     {"p_endpoints{data_center=\"east\",state=\"silent\"} 1\n",
      "p_holds_whole_model{service=\"brief\",data_center=\"east\"} 0\n"}},
    {"one missing",
     [](GaugeInputs &In) {
       In.Roster_.removeListing(EndpointId("west-a"), Start + std::chrono::seconds(2), Start);
     },
     {"p_endpoints{data_center=\"west\",state=\"missing\"} 1\n"}},
    {"one reported",
     [](GaugeInputs &In) { In.Roster_.updateReport(EndpointId("east-b"), {}, Start + 1500ms); },
     {"p_report_age_seconds{data_center=\"east\"} 0.5\n"}},
    {"repeats spent",
     [](GaugeInputs &In) { In.Retries_.tryRetry(Brief, Start + 1s); },
     {"p_retry_budget_left{service=\"brief\"} 21.5\n",
      "p_retry_budget_spent{service=\"brief\"} 1\n"}},
};

} // namespace

BOOST_DATA_TEST_CASE(GaugesMatchTheStateUsedForRouting, GaugeCases, Case) {
  GaugeInputs Inputs;
  Case.Modify_(Inputs);
  const std::string Text = Inputs.text(Start + 2s);
  for (const std::string &Line : Case.ExpectedLines_)
    BOOST_TEST(Text.find(Line) != std::string::npos, Line << " in " << Text);
}

BOOST_AUTO_TEST_CASE(NoConfigurationMeansNoServingGauges) {
  GaugeInputs Inputs;
  GaugeText Gauges("p_");
  addServingGauges(Gauges, ConfigHolder(), Inputs.Roster_, Inputs.Paths_, Inputs.Retries_, Start);
  BOOST_TEST(Gauges.text().empty());
}

// Without the gauge, an operator can't tell a lack of memory from memory kept for urgent classes.
BOOST_AUTO_TEST_CASE(TheMemoryKeptIsShownByClass) {
  GaugeInputs In;
  ClassReserve Reserve;
  Reserve.setCapacity(Brief, 1000);
  Reserve.onArrival(Brief, 0, 400, Start);
  const auto Text = [&] {
    GaugeText Gauges("p_");
    addReserveGauges(Gauges, In.Config_, Reserve, Start);
    return Gauges.text();
  };
  BOOST_TEST(Text().empty());
  ServingConfig Config = In.Config_.current()->config();
  Config.Revision_ = Config.Revision_.next();
  Config.Routes_ = {streamRoute(0), streamRoute(2)};
  In.Config_.replaceIfNewer(std::move(Config), Start);
  BOOST_TEST(Text() == "# TYPE p_memory_kept_share gauge\n"
                       "p_memory_kept_share{service=\"brief\",class=\"0\"} 0\n"
                       "p_memory_kept_share{service=\"brief\",class=\"1\"} 0.16\n");
}
