#include "StandIns/AnswerModel.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

struct LengthCase {
  std::string Prompt_;
  std::size_t Tokens_;
};
std::ostream &operator<<(std::ostream &Out, const LengthCase &Case) { return Out << Case.Prompt_; }

const LengthCase LengthCases[] = {
    {"guy lines", 16}, {"guy lines #3", 3}, {"#1", 1}, {"#0", 1}, {"a #x", 16}, {"#3 a", 16},
};

/// The rest of an answer whose prompt and first tokens are prefilled together.
std::string continueAnswer(const std::string &Version, const std::string &Prefilled) {
  return wholeAnswer(Version, Prefilled);
}

} // namespace

BOOST_DATA_TEST_CASE(AnswerHasTheLengthAskedFor, data::make(LengthCases), Case) {
  BOOST_TEST(splitTokens(wholeAnswer("1", Case.Prompt_)).size() == Case.Tokens_);
}

BOOST_AUTO_TEST_CASE(AnswerContinuesAfterItsFirstTokensArePrefilled) {
  const std::string Whole = wholeAnswer("3", "wind load #6");
  const std::vector<std::string> Tokens = splitTokens(Whole);
  const std::string FirstTokens = Tokens[0] + " " + Tokens[1];
  BOOST_TEST(FirstTokens + " " + continueAnswer("3", "wind load #6 " + FirstTokens) == Whole);
}

BOOST_AUTO_TEST_CASE(LostRepeatedForeignTokenOrVersionChangesTheAnswer) {
  const std::string Whole = wholeAnswer("3", "wind load brief #6");
  for (const char *Other : {"wind brief #6", "wind load load brief #6", "wind load note #6"})
    BOOST_TEST(wholeAnswer("3", Other) != Whole);
  BOOST_TEST(wholeAnswer("4", "wind load brief #6") != Whole);
}
