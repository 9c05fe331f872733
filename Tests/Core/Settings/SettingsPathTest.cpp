#include "Core/Settings/SettingsPath.h"

#include "Core/Common/ErrorCode.h"
#include "Core/Settings/DurationText.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace rattancart;

namespace {

struct PathCase {
  std::string Text_;
  bool Valid_;
};

std::ostream &operator<<(std::ostream &Out, const PathCase &Case) { return Out << Case.Text_; }

const PathCase PathCases[] = {
    {"/", true},
    {"/teams/rigging/routes/briefs/timeout", true},
    {"/endpoints/eng-1.a:9_x@y~z+1", true},
    {"", false},
    {"teams", false},
    {"/teams/", false},
    {"//teams", false},
    {"/teams//x", false},
    {"/teams/..", false},
    {"/teams/.", false},
    {"/teams/a b", false},
    {"/teams/a%2fb", false},
    {"/teams/\xc3\xa9", false},
    {"/" + std::string(128, 'a'), true},
    {"/" + std::string(129, 'a'), false},
    {"/a/b/c/d/e/f/g/h/i/j/k/l/m", false},
};

struct BelowCase {
  std::string Path_;
  std::string Other_;
  bool Below_;
};

std::ostream &operator<<(std::ostream &Out, const BelowCase &Case) {
  return Out << Case.Path_ << " below " << Case.Other_;
}

const BelowCase BelowCases[] = {
    {"/a/b", "/a", true},  {"/a", "/a", true},    {"/a", "/", true},  {"/", "/", true},
    {"/a", "/a/b", false}, {"/a-b", "/a", false}, {"/", "/a", false},
};

struct DurationCase {
  std::string Text_;
  bool Valid_;
  Duration Expected_;
};

std::ostream &operator<<(std::ostream &Out, const DurationCase &Case) { return Out << Case.Text_; }

const DurationCase DurationCases[] = {
    {"250ms", true, std::chrono::milliseconds(250)},
    {"30s", true, std::chrono::seconds(30)},
    {"24h", true, std::chrono::hours(24)},
    {"7us", true, std::chrono::microseconds(7)},
    {"30", false, {}},
    {"", false, {}},
    {"s", false, {}},
    {"-1s", false, {}},
    {"1.5s", false, {}},
    {"99999999999999h", false, {}},
    {"9223372036854775807us", false, {}},
    {"99999999999999999999s", false, {}},
};

} // namespace

BOOST_DATA_TEST_CASE(InvalidPathsAreRejected, boost::unit_test::data::make(PathCases), Case) {
  const Result<SettingsPath> Path = SettingsPath::parse(Case.Text_);
  BOOST_TEST(static_cast<bool>(Path) == Case.Valid_);
  if (Path)
    BOOST_TEST(Path->str() == Case.Text_);
  else
    BOOST_TEST(Path.error().Code_ == make_error_code(ErrorCode::BadPath));
}

BOOST_DATA_TEST_CASE(AncestorsMatchWholeSegments, boost::unit_test::data::make(BelowCases), Case) {
  BOOST_TEST(SettingsPath::parse(Case.Path_)->isAtOrBelow(*SettingsPath::parse(Case.Other_)) ==
             Case.Below_);
}

BOOST_DATA_TEST_CASE(InvalidDurationsAreRejected, boost::unit_test::data::make(DurationCases),
                     Case) {
  const Result<Duration> Parsed = durationFromText(Case.Text_);
  BOOST_TEST(static_cast<bool>(Parsed) == Case.Valid_);
  if (Parsed)
    BOOST_TEST((*Parsed == Case.Expected_));
}
