#include "Core/Common/ErrorCode.h"
#include "Core/Common/LogEvent.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <string>

using namespace rattancart;

namespace {

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

} // namespace

// Operators look up the numbers in these pages, so each row must match the code.
BOOST_AUTO_TEST_CASE(ErrorsPageListsEveryCode) {
  const std::string Page = readFile(RATTANCART_DOCS "/ERRORS.md");
  for (const ErrorInfo &Info : errorTable()) {
    const std::string Row = fmt::format("| {} | {} | {} | {} |", static_cast<int>(Info.Code_),
                                        Info.Name_, Info.ExitCode_, Info.Text_);
    BOOST_TEST(Page.find(Row) != std::string::npos, "docs/ERRORS.md lacks: " << Row);
  }
}

BOOST_AUTO_TEST_CASE(EventsPageListsEveryEvent) {
  const std::string Page = readFile(RATTANCART_DOCS "/EVENTS.md");
  for (const LogEventInfo &Info : logEventTable()) {
    const std::string Row = fmt::format("| {} | {} | {} | {} |", static_cast<int>(Info.Event_),
                                        Info.Name_, logLevelName(Info.Level_), Info.Text_);
    BOOST_TEST(Page.find(Row) != std::string::npos, "docs/EVENTS.md lacks: " << Row);
  }
}

BOOST_AUTO_TEST_CASE(TablesAreSortedByNumber) {
  for (std::size_t I = 1; I < errorTable().size(); ++I)
    BOOST_TEST((errorTable()[I - 1].Code_ < errorTable()[I].Code_));
  for (std::size_t I = 1; I < logEventTable().size(); ++I)
    BOOST_TEST((logEventTable()[I - 1].Event_ < logEventTable()[I].Event_));
}

BOOST_AUTO_TEST_CASE(CodesConvertToStandardErrors) {
  const std::error_code Code = ErrorCode::NotRun;
  BOOST_TEST(Code.value() == 401);
  BOOST_TEST(Code.message() == "the call was not run");
}
