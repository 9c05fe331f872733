#include "Ctl/SettingsFile.h"

#include "Core/Settings/SettingsDiff.h"
#include "Ctl/CtlCommands.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>

#include <fstream>
#include <ostream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

using namespace rattancart;

namespace {

struct FaultCase {
  std::string Text_;
  /// The line, path and error number of each expected fault, in any order.
  std::vector<std::string> Faults_;
};

std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) { return Out << Case.Text_; }

const FaultCase FaultCases[] = {
    {"", {"1 / 105"}},
    {"- a\n", {"1 / 105"}},
    {"a: [\n", {"2  102"}},
    {"teams: 5\n", {"1 /teams 105"}},
    {"teams:\n  a b: {}\n", {"2 /teams 201"}},
    {"teams:\n  a/b: {}\n", {"2 /teams 201"}},
    {"teams:\n  [x]: {}\n", {"2 /teams 201"}},
    {"colours:\n  red: 1\n", {"1 /colours 207"}},
    {"teams:\n  a:\n    colours: {red: 1}\n", {"3 /teams/a/colours 207"}},
    {"endpoints:\n  e:\n    drain: [1]\n", {"3 /endpoints/e/drain 105"}},
    {"endpoints:\n  e:\n    drain: ~\n", {"3 /endpoints/e/drain 105"}},
    {"endpoints:\n  e:\n    drain: yes\n", {"3 /endpoints/e/drain 207"}},
    {"endpoints:\n  e:\n    drain: true\n    drain: false\n", {"4 /endpoints/e/drain 107"}},
    {"defaults:\n  limit:\n    weight: 0\n    concurrent: -1\n    speed: 3\n",
     {"3 /defaults/limit/weight 207", "4 /defaults/limit/concurrent 207",
      "5 /defaults/limit/speed 207"}},
    {"teams:\n  a:\n    routes:\n      r:\n        match: {path: x}\n        timeout: 5\n",
     {"5 /teams/a/routes/r/match/path 207", "4 /teams/a/routes/r 207",
      "6 /teams/a/routes/r/timeout 207"}},
    {"teams:\n  a: {limits: {c: {weight: 1}}}\n  b: {limits: {c: {weight: 1}}}\n",
     {"2 /teams/a/limits/c 207", "3 /teams/b/limits/c 207"}},
};

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

const std::string Examples[] = {RATTANCART_EXAMPLES "/pilbara.yaml",
                                RATTANCART_EXAMPLES "/maroc.yaml"};

} // namespace

BOOST_DATA_TEST_CASE(AllFaultsOfAFileAreReported, boost::unit_test::data::make(FaultCases), Case) {
  SettingsFaults Faults;
  parseSettingsText(Case.Text_, "f.yaml", Faults);
  std::vector<std::string> Found;
  for (const SettingsFault &Fault : Faults) {
    Found.push_back(
        fmt::format("{} {} {}", Fault.Line_, Fault.Path_, static_cast<int>(Fault.Code_)));
    BOOST_TEST(!Fault.Expected_.empty());
    BOOST_TEST(formatFault(Fault).find('\n') == std::string::npos);
  }
  std::vector<std::string> Expected = Case.Faults_;
  std::sort(Found.begin(), Found.end());
  std::sort(Expected.begin(), Expected.end());
  BOOST_TEST(Found == Expected, boost::test_tools::per_element());
}

BOOST_DATA_TEST_CASE(ExamplesAreValidAndSurviveWritingAsYaml,
                     boost::unit_test::data::make(Examples), File) {
  SettingsFaults Faults;
  const SettingsFile Loaded = loadSettingsFile(File, Faults);
  BOOST_TEST(Faults.empty());
  BOOST_TEST(Loaded.Tree_.size() > 50U);
  const SettingsFile Again = parseSettingsText(settingsYaml(Loaded.Tree_, {}), "again", Faults);
  BOOST_TEST(Faults.empty());
  BOOST_TEST((Again.Tree_.leaves({}) == Loaded.Tree_.leaves({})));
  BOOST_TEST(diffSettings(Loaded.Tree_, Again.Tree_, Again.Scopes_).empty());
}

BOOST_AUTO_TEST_CASE(DiffLeavesScopesOutsideTheFileUnchanged) {
  SettingsFaults Faults;
  const SettingsFile Present =
      parseSettingsText("teams:\n  a: {limits: {x: {weight: 1, concurrent: 2}, y: {weight: 1}}}\n"
                        "  b: {limits: {z: {weight: 1}}}\n",
                        "present", Faults);
  const SettingsFile Wanted = parseSettingsText(
      "teams:\n  a: {limits: {x: {weight: 3}, w: {weight: 1, concurrent: 1}}}\n", "wanted", Faults);
  BOOST_REQUIRE(Faults.empty());
  std::vector<std::string> Edits;
  for (const SettingsEdit &Edit : diffSettings(Present.Tree_, Wanted.Tree_, Wanted.Scopes_))
    Edits.push_back(fmt::format("{} {}", Edit.Path_.str(), Edit.Leaves_.size()));
  const std::vector<std::string> Expected{"/teams/a/limits/w 2", "/teams/a/limits/x/weight 1",
                                          "/teams/a/limits/x/concurrent 0", "/teams/a/limits/y 0"};
  BOOST_TEST(Edits == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ExpansionOfAliasesIsLimited) {
  std::string Text = "a0: &a0 {x: 1, y: 1}\n";
  for (int I = 1; I < 40; ++I)
    Text += fmt::format("a{0}: &a{0} {{x: *a{1}, y: *a{1}}}\n", I, I - 1);
  SettingsFaults Faults;
  parseSettingsText(Text, "f", Faults);
  BOOST_TEST(!Faults.empty());
}

// Reading a damaged file must neither crash nor report a fault without an explanation.
BOOST_AUTO_TEST_CASE(DamagedFilesAreReportedWithFaults) {
  std::mt19937_64 Random(20261205);
  const std::string Whole = readFile(Examples[0]);
  constexpr int Rounds = 3000;
  int Faulty = 0;
  for (int I = 0; I < Rounds; ++I) {
    std::string Text = Whole.substr(0, 400 + Random() % 1200);
    for (std::uint64_t J = 0; J < 1 + Random() % 4; ++J) {
      const std::size_t At = Random() % Text.size();
      if (Random() % 2 == 0)
        Text[At] = static_cast<char>(Random() % 256);
      else
        Text[At] = "{}[]&*!|>'\"%@`:#-\n\t "[Random() % 20];
    }
    SettingsFaults Faults;
    parseSettingsText(Text, "f", Faults);
    for (const SettingsFault &Fault : Faults)
      BOOST_REQUIRE(!Fault.Expected_.empty());
    Faulty += Faults.empty() ? 0 : 1;
  }
  BOOST_TEST(Faulty > Rounds / 2);
}
