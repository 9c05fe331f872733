#include "Tests/Support/ChildProcess.h"

#include "Core/Common/ErrorCode.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <ostream>

#include <unistd.h>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

struct ProgramCase {
  std::string Lines_;
  int ExitCode_;
  std::string Output_;
};
std::ostream &operator<<(std::ostream &Out, const ProgramCase &Case) { return Out << Case.Lines_; }

const std::string Execution = R"({"kind":"execution","call":"r1","method":"POST"})"
                              "\n";

const ProgramCase Cases[] = {
    {Execution + "\n" + R"({"kind":"other"})", 0, "2 events hold"},
    {Execution + Execution, errorInfo(ErrorCode::ExpectationFailed).ExitCode_,
     "at-most-once: a call was executed twice\n  {\"kind\":\"execution\""},
    {Execution + "no JSON", errorInfo(ErrorCode::MalformedBody).ExitCode_, ""},
};

} // namespace

BOOST_DATA_TEST_CASE(ProgramReportsViolationsByExitCode, data::make(Cases), Case) {
  const std::filesystem::path File =
      std::filesystem::temp_directory_path() / ("rattancart-history-" + std::to_string(getpid()));
  std::ofstream(File) << Case.Lines_;
  const ProgramResult Result = runProgram({"rattancart-history", {File.string()}});
  std::filesystem::remove(File);
  BOOST_TEST(Result.ExitCode_ == Case.ExitCode_);
  BOOST_TEST(Result.Output_.starts_with(Case.Output_), Result.Output_);
}
