#include "Core/Routing/RouteTable.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

struct MatchCase {
  RouteQuery Query_;
  const char *Route_;
};

std::ostream &operator<<(std::ostream &Out, const MatchCase &Case) {
  return Out << Case.Query_.Method_ << ' ' << Case.Query_.Host_ << Case.Query_.Path_;
}

Route makeRoute(const char *Id, RouteMatch Match) {
  Route Made;
  Made.Id_ = RouteId(Id);
  Made.Match_ = std::move(Match);
  return Made;
}

SettingsViewPtr sampleView() {
  auto View = std::make_shared<SettingsView>();
  View->Routes_ = {makeRoute("any", {"", "", "/any"}),
                   makeRoute("brief", {"", "POST", "/brief"}),
                   makeRoute("brief-long", {"", "POST", "/brief/long/"}),
                   makeRoute("brief-again", {"", "POST", "/brief"}),
                   makeRoute("lookup", {"", "GET", "/brief"}),
                   makeRoute("host", {"Tents.example", "", "/"}),
                   makeRoute("v6", {"[::1]", "", "/x"})};
  return View;
}

const MatchCase Cases[] = {
    {{"", "POST", "/brief"}, "brief"},
    {{"h:80", "POST", "/brief/"}, "brief"},
    {{"", "POST", "/brief/1"}, "brief"},
    {{"", "POST", "/briefs"}, ""},
    {{"", "POST", "/brief/long"}, "brief-long"},
    {{"", "POST", "/brief/long/and/far/longer/than/any/prefix"}, "brief-long"},
    {{"", "POST", "/brief/longer/than/any/prefix"}, "brief"},
    {{"", "GET", "/brief/long/1"}, "lookup"},
    {{"", "PUT", "/brief"}, ""},
    {{"", "PUT", "/any/thing"}, "any"},
    {{"tents.EXAMPLE:8080", "POST", "/brief"}, "host"},
    {{"other", "GET", "*"}, ""},
    {{"[::1]:80", "GET", "/x/y"}, "v6"},
    {{"[::1]", "GET", ""}, ""},
};

} // namespace

BOOST_DATA_TEST_CASE(RequestFindsItsRoute, data::make(Cases), Case) {
  const RouteTable Table(sampleView());
  const Route *Found = Table.match(Case.Query_);
  BOOST_TEST((Found ? Found->Id_.str() : "") == Case.Route_);
}

BOOST_AUTO_TEST_CASE(ViewWithoutRoutesMatchesNothing) {
  const RouteTable Table(std::make_shared<SettingsView>());
  BOOST_TEST(!Table.match({"h", "GET", "/a"}));
}
