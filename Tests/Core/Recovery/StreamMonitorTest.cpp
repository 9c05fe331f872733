#include "Core/Recovery/StreamMonitor.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

/// A stream with regular gaps, and the silence after which its engines are checked.
struct GapCase {
  const char *Name_;
  Duration Gap_;
  Duration Allowed_;
};

std::ostream &operator<<(std::ostream &Out, const GapCase &Case) { return Out << Case.Name_; }

const GapCase GapCases[] = {
    {"fast engines", 15ms, 80ms},
    {"usual", 40ms, 120ms},
    {"rather slow", 70ms, 150ms},
    // With a limit of 150 ms, each gap would cause a check.
    {"slow engines", 200ms, 400ms},
};

} // namespace

BOOST_DATA_TEST_CASE(SilenceIsAllowedForAFewUsualGaps, GapCases, Case) {
  StreamMonitor Monitor;
  Monitor.recordSent(Start);
  TimePoint Now = Start;
  for (int I = 0; I < 40; ++I) {
    Now += Case.Gap_;
    Monitor.recordEvent(Now);
  }
  BOOST_TEST(!Monitor.isCheckDue(Now + Case.Allowed_ - 1ms));
  BOOST_TEST(Monitor.isCheckDue(Now + Case.Allowed_));
  BOOST_TEST(Monitor.events() == 40U);
  BOOST_TEST((Monitor.longestPause() == Case.Gap_));
}

BOOST_AUTO_TEST_CASE(TheFirstEventMayTakeLonger) {
  StreamMonitor Monitor;
  Monitor.recordSent(Start);
  BOOST_TEST(!Monitor.isCheckDue(Start + 299ms));
  Monitor.recordHead(Start + 100ms);
  BOOST_TEST(!Monitor.isCheckDue(Start + 399ms));
  BOOST_TEST(Monitor.isCheckDue(Start + 400ms));
  Monitor.recordEvent(Start + 450ms);
  BOOST_TEST((Monitor.firstEventAt() == Start + 450ms));
}

BOOST_AUTO_TEST_CASE(EnginesThatAnswerAreNotAskedAgainAtOnce) {
  StreamMonitor Monitor;
  Monitor.recordSent(Start);
  Monitor.recordEvent(Start);
  BOOST_TEST(Monitor.isCheckDue(Start + 80ms));
  Monitor.recordEnginesAlive(Start + 80ms);
  BOOST_TEST(!Monitor.isCheckDue(Start + 379ms));
  BOOST_TEST(Monitor.isCheckDue(Start + 380ms));
  BOOST_TEST(!Monitor.isConnectionLost(Start + 1099ms));
  BOOST_TEST(Monitor.isConnectionLost(Start + 1100ms));
}

BOOST_AUTO_TEST_CASE(OnlyAnswersAfterTheMissingEventShowThatAnEngineWorks) {
  // An engine answers a check of another stream and is lost right after. Streams on it must not
  // conclude from that answer that it still works.
  StreamMonitor Monitor;
  Monitor.recordSent(Start);
  BOOST_TEST((Monitor.evidenceSince() == Start + 150ms));
  for (int I = 0; I < 10; ++I)
    Monitor.recordEvent(Start + I * 40ms);
  BOOST_TEST((Monitor.evidenceSince() == Start + 400ms));
  Monitor.recordEnginesAlive(Start + 480ms);
  BOOST_TEST((Monitor.evidenceSince() == Start + 480ms));
  Monitor.recordEvent(Start + 500ms);
  BOOST_TEST((Monitor.evidenceSince() > Start + 540ms));
}

BOOST_AUTO_TEST_CASE(TheLongestPauseIncludesTheTimeOfAResend) {
  StreamMonitor Monitor;
  Monitor.recordSent(Start);
  for (int I = 1; I <= 5; ++I)
    Monitor.recordEvent(Start + I * 40ms);
  Monitor.recordSent(Start + 300ms);
  BOOST_TEST(!Monitor.isCheckDue(Start + 599ms));
  Monitor.recordEvent(Start + 500ms);
  BOOST_TEST((Monitor.longestPause() == 300ms));
  BOOST_TEST(Monitor.eventsBeforePause() == 5U);
}
