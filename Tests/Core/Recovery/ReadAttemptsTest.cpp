#include "Core/Recovery/ReadAttempts.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
constexpr Duration Step = 10ms;

/// What arrives for the first attempt, and what follows from it.
struct SilenceCase {
  const char *Name_;
  Duration Wait_;
  /// When parts of the answer arrive, since the start.
  std::vector<Duration> Parts_;
  /// When the attempt fails; never if it is negative.
  Duration FailsAt_;
  /// When further attempts begin, and when attempts count as failed by their silence, within 6 s.
  std::vector<Duration> Further_;
  std::vector<Duration> Silent_;
};

std::ostream &operator<<(std::ostream &Out, const SilenceCase &Case) { return Out << Case.Name_; }

const SilenceCase SilenceCases[] = {
    {"nothing arrives",
     0ms,
     {},
     -1ms,
     {500ms, 1500ms, 2500ms, 3500ms, 4500ms, 5500ms},
     {1200ms, 1700ms, 2700ms}},
    {"nothing arrives after the wait",
     2000ms,
     {},
     -1ms,
     {2500ms, 3500ms, 4500ms, 5500ms},
     {3200ms, 3700ms, 4700ms}},
    {"parts arrive all the time",
     0ms,
     {400ms, 1500ms, 2600ms, 3700ms, 4800ms, 5900ms},
     -1ms,
     {},
     {}},
    {"the answer stops",
     0ms,
     {400ms, 1000ms},
     -1ms,
     {2200ms, 3200ms, 4200ms, 5200ms},
     {2200ms, 3400ms, 4400ms}},
    {"the attempt fails", 0ms, {}, 100ms, {}, {}},
};

} // namespace

// Guards against an answer that is given up though it arrives, and against a lost one that is
// awaited for too long.
BOOST_DATA_TEST_CASE(AttemptsFollowTheSilence, SilenceCases, Case) {
  ReadAttempts Attempts;
  Attempts.begin(Start, Case.Wait_);
  std::vector<Duration> Further;
  std::vector<Duration> Silent;
  for (TimePoint Now = Start; Now < Start + 6s; Now += Step) {
    for (const Duration Part : Case.Parts_)
      if (Now == Start + Part)
        Attempts.onProgress(0, Now);
    if (Now == Start + Case.FailsAt_)
      BOOST_TEST(Attempts.onFailed(0));
    const TimePoint Next = Attempts.nextCheckAt();
    const bool Due = Attempts.isFurtherDue(Now);
    const auto SilentAttempt = Attempts.takeSilent(Now);
    BOOST_TEST((Now >= Next) == (Due || SilentAttempt));
    if (SilentAttempt)
      Silent.push_back(Now - Start);
    if (!Due)
      continue;
    Further.push_back(Now - Start);
    if (const auto Replaced = Attempts.replaced())
      Attempts.onFailed(*Replaced);
    Attempts.begin(Now, 0ms);
  }
  BOOST_TEST((Further == Case.Further_));
  BOOST_TEST((Silent == Case.Silent_));
}

// Guards against a failure that counts twice in the detection of outages.
BOOST_AUTO_TEST_CASE(AFailureAfterASilenceIsNoFurtherOne) {
  ReadAttempts Attempts;
  Attempts.begin(Start, 0ms);
  BOOST_TEST(Attempts.takeSilent(Start + 2s).has_value());
  BOOST_TEST(!Attempts.onFailed(0));
}
