#include "Core/Recovery/StoreEraTracker.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

/// An answer that arrives one second after the one before it.
struct Answer {
  std::optional<std::uint64_t> Era_;
  /// How long before its arrival the call began.
  Duration Took_;
  EraFinding Expected_;
};

struct EraCase {
  const char *Name_;
  std::vector<Answer> Answers_;
  std::optional<std::uint64_t> Current_;
};

std::ostream &operator<<(std::ostream &Out, const EraCase &Case) { return Out << Case.Name_; }

using enum EraFinding;

const EraCase EraCases[] = {
    {"no era is named", {{{}, 0s, Current}, {{}, 0s, Current}}, {}},
    {"the first era is no return", {{{}, 0s, Current}, {7, 0s, Current}}, 7},
    {"the first era is zero", {{0, 0s, Current}, {1, 0s, Returned}}, 1},
    {"the same era again", {{7, 0s, Current}, {7, 0s, Current}}, 7},
    {"a rise", {{7, 0s, Current}, {8, 0s, Returned}, {8, 0s, Current}}, 8},
    {"two returns between two answers", {{7, 0s, Current}, {9, 0s, Returned}}, 9},
    {"an answer that was under way",
     {{7, 0s, Current}, {8, 0s, Returned}, {7, 1500ms, Outdated}, {8, 0s, Current}},
     8},
    {"an answer that began as the return became known",
     {{7, 0s, Current}, {8, 0s, Returned}, {7, 1s, Outdated}},
     8},
    {"eras that begin anew", {{7, 0s, Current}, {1, 500ms, Returned}, {7, 500ms, Returned}}, 7},
    {"an answer without an era after a rise",
     {{7, 0s, Current}, {8, 0s, Returned}, {{}, 0s, Current}, {8, 0s, Current}},
     8},
    {"the highest number", {{~std::uint64_t{0}, 0s, Current}, {2, 0s, Returned}}, 2},
};

} // namespace

// Guards against positions of an earlier era that are used on, and against an answer of an earlier
// era that undoes a return.
BOOST_DATA_TEST_CASE(ReturnsOfTheStoreAreFound, EraCases, Case) {
  StoreEraTracker Tracker;
  TimePoint Now = Start;
  for (const Answer &Each : Case.Answers_) {
    Now += 1s;
    const auto Named = Each.Era_ ? std::optional(StoreEra(*Each.Era_)) : std::nullopt;
    BOOST_TEST((Tracker.onAnswer(Named, Now - Each.Took_, Now) == Each.Expected_));
  }
  BOOST_TEST(Tracker.current().has_value() == Case.Current_.has_value());
  if (Case.Current_)
    BOOST_TEST(Tracker.current()->value() == *Case.Current_);
}
