#include "Config/ControlSettings.h"
#include "Config/RouterSettings.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <ostream>
#include <unistd.h>

using namespace rattancart;

namespace {

const std::string ValidFile = "instance: i1\n"
                              "data-center: karratha\n"
                              "listen: 127.0.0.1:8080\n"
                              "state-listen: 127.0.0.1:8081\n"
                              "controls: [127.0.0.1:8090]\n";

/// A temporary file that is removed when the object is destroyed.
class TemporaryFile {
public:
  explicit TemporaryFile(const std::string &Text)
      : Path_(std::filesystem::temp_directory_path() /
              ("rattancart-config-test-" + std::to_string(getpid()) + ".yaml")) {
    std::ofstream(Path_) << Text;
  }
  ~TemporaryFile() { std::filesystem::remove(Path_); }
  TemporaryFile(const TemporaryFile &) = delete;
  TemporaryFile &operator=(const TemporaryFile &) = delete;
  std::string path() const { return Path_.string(); }

private:
  std::filesystem::path Path_;
};

struct FaultCase {
  std::string Text_;
  ErrorCode Code_;
  int Line_;
  std::string Path_;
};

std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) {
  return Out << static_cast<int>(Case.Code_) << " at " << Case.Path_;
}

const FaultCase FaultCases[] = {
    {ValidFile + "colour: red\n", ErrorCode::UnknownField, 6, "colour"},
    {ValidFile + "http:\n  max-body-bytes: many\n", ErrorCode::WrongType, 7, "http.max-body-bytes"},
    {ValidFile + "http:\n  max-body-bytes: 1\n", ErrorCode::OutOfRange, 7, "http.max-body-bytes"},
    {ValidFile + "http:\n  max-body-bytes: 99999999999999999999\n", ErrorCode::OutOfRange, 7,
     "http.max-body-bytes"},
    {ValidFile + "http: 7\n", ErrorCode::WrongType, 6, "http"},
    {ValidFile + "http:\n  colour: red\n", ErrorCode::UnknownField, 7, "http.colour"},
    {ValidFile + "instance: i2\n", ErrorCode::DuplicateField, 6, "instance"},
    {ValidFile + "endpoint-freshness: 4\n", ErrorCode::BadDuration, 6, "endpoint-freshness"},
    {ValidFile + "endpoint-freshness: 4h\n", ErrorCode::OutOfRange, 6, "endpoint-freshness"},
    {ValidFile + "log: {level: loud}\n", ErrorCode::OutOfRange, 6, "log.level"},
    {ValidFile + "shutdown: [1]\n", ErrorCode::WrongType, 6, "shutdown"},
    {"instance: [a]\n" + ValidFile.substr(ValidFile.find('\n') + 1), ErrorCode::WrongType, 1,
     "instance"},
    {ValidFile.substr(ValidFile.find('\n') + 1), ErrorCode::MissingField, 1, "instance"},
    {ValidFile.substr(0, ValidFile.find("controls")) + "controls: [nowhere:1]\n",
     ErrorCode::BadAddress, 5, "controls[0]"},
    {ValidFile.substr(0, ValidFile.find("controls")) + "controls: [127.0.0.1:1, 127.0.0.1:1]\n",
     ErrorCode::DuplicateField, 5, "controls[1]"},
    {"a: [\n", ErrorCode::SettingsSyntax, 2, ""},
};

} // namespace

BOOST_AUTO_TEST_CASE(ValidFileHasNoFaults) {
  const TemporaryFile File(ValidFile);
  SettingsFaults Faults;
  const RouterSettings Settings = loadRouterSettings(File.path(), Faults);
  BOOST_TEST(Faults.empty());
  BOOST_TEST(Settings.Process_.DataCenter_.str() == "karratha");
  BOOST_TEST(Settings.Controls_.size() == 1);
}

BOOST_DATA_TEST_CASE(EachFaultHasItsLineAndPath, boost::unit_test::data::make(FaultCases), Case) {
  const TemporaryFile File(Case.Text_);
  SettingsFaults Faults;
  loadRouterSettings(File.path(), Faults);
  BOOST_REQUIRE(Faults.size() == 1);
  BOOST_TEST(static_cast<int>(Faults[0].Code_) == static_cast<int>(Case.Code_),
             formatFault(Faults[0]));
  BOOST_TEST(Faults[0].Line_ == Case.Line_);
  BOOST_TEST(Faults[0].Path_ == Case.Path_);
  BOOST_TEST(formatFault(Faults[0]).find('\n') == std::string::npos);
}

BOOST_AUTO_TEST_CASE(AllFaultsOfAFileAreReported) {
  const TemporaryFile File("instance: i1\nlisten: here\nhttp: {max-connections: 0}\n");
  SettingsFaults Faults;
  loadRouterSettings(File.path(), Faults);
  BOOST_TEST(Faults.size() == 5);
}

BOOST_AUTO_TEST_CASE(MissingFileIsAFault) {
  SettingsFaults Faults;
  loadControlSettings("/nonexistent/control.yaml", Faults);
  BOOST_REQUIRE(Faults.size() == 1);
  BOOST_TEST((Faults[0].Code_ == ErrorCode::SettingsFileUnreadable));
}
