#include "Core/Common/Logger.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace rattancart;

namespace {

struct LineCase {
  LogFormat Format_;
  std::string Value_;
  std::string Expected_;
};

std::ostream &operator<<(std::ostream &Out, const LineCase &Case) { return Out << Case.Expected_; }

const LineCase LineCases[] = {
    {LogFormat::KeyValue, "plain", " path=plain"},
    {LogFormat::KeyValue, "two words", " path=\"two words\""},
    {LogFormat::KeyValue, "", " path=\"\""},
    {LogFormat::KeyValue, "a\nb", " path=\"a\\u000ab\""},
    {LogFormat::Json, "say \"x\"", ",\"path\":\"say \\\"x\\\"\""},
};

} // namespace

BOOST_DATA_TEST_CASE(ValuesAreEscaped, boost::unit_test::data::make(LineCases), Case) {
  const std::string Line =
      formatLogLine(Case.Format_, WallTime(std::chrono::milliseconds(1500)), "router",
                    LogEvent::ChangeAccepted, {{"path", Case.Value_}});
  BOOST_TEST(Line.find(Case.Expected_) != std::string::npos, Line);
  BOOST_TEST(Line.find("1970-01-01T00:00:01.500Z") != std::string::npos, Line);
  BOOST_TEST(Line.find('\n') == std::string::npos);
}
