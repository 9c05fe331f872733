#include "Core/Recovery/StreamPulse.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

/// A steady stream, and how long its silence is borne.
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
    // Each gap would be looked at if this ended at 150 ms, too.
    {"slow engines", 200ms, 400ms},
};

} // namespace

BOOST_DATA_TEST_CASE(SilenceIsBorneForAFewUsualGaps, GapCases, Case) {
  StreamPulse Pulse;
  Pulse.sent(Start);
  TimePoint Now = Start;
  for (int I = 0; I < 40; ++I) {
    Now += Case.Gap_;
    Pulse.event(Now);
  }
  BOOST_TEST(!Pulse.due(Now + Case.Allowed_ - 1ms));
  BOOST_TEST(Pulse.due(Now + Case.Allowed_));
  BOOST_TEST(Pulse.events() == 40U);
  BOOST_TEST((Pulse.longestPause() == Case.Gap_));
}

BOOST_AUTO_TEST_CASE(TheFirstEventMayTakeLonger) {
  StreamPulse Pulse;
  Pulse.sent(Start);
  BOOST_TEST(!Pulse.due(Start + 299ms));
  Pulse.head(Start + 100ms);
  BOOST_TEST(!Pulse.due(Start + 399ms));
  BOOST_TEST(Pulse.due(Start + 400ms));
  Pulse.event(Start + 450ms);
  BOOST_TEST((Pulse.firstEventAt() == Start + 450ms));
}

BOOST_AUTO_TEST_CASE(EnginesThatAnswerAreNotAskedAgainAtOnce) {
  StreamPulse Pulse;
  Pulse.sent(Start);
  Pulse.event(Start);
  BOOST_TEST(Pulse.due(Start + 80ms));
  Pulse.foundAlive(Start + 80ms);
  BOOST_TEST(!Pulse.due(Start + 379ms));
  BOOST_TEST(Pulse.due(Start + 380ms));
  BOOST_TEST(!Pulse.connectionLost(Start + 1099ms));
  BOOST_TEST(Pulse.connectionLost(Start + 1100ms));
}

BOOST_AUTO_TEST_CASE(OnlySignsFromAfterTheMissingEventTellWhoIsAtFault) {
  // Load pattern: an engine answers another stream's probe and is lost right after; the streams
  // on it must not take that answer for a sign of life.
  StreamPulse Pulse;
  Pulse.sent(Start);
  BOOST_TEST((Pulse.evidenceSince() == Start + 150ms));
  for (int I = 0; I < 10; ++I)
    Pulse.event(Start + I * 40ms);
  BOOST_TEST((Pulse.evidenceSince() == Start + 400ms));
  Pulse.foundAlive(Start + 480ms);
  BOOST_TEST((Pulse.evidenceSince() == Start + 480ms));
  Pulse.event(Start + 500ms);
  BOOST_TEST((Pulse.evidenceSince() > Start + 540ms));
}

BOOST_AUTO_TEST_CASE(APauseOverALossIsTheLongest) {
  StreamPulse Pulse;
  Pulse.sent(Start);
  for (int I = 1; I <= 5; ++I)
    Pulse.event(Start + I * 40ms);
  Pulse.sent(Start + 300ms);
  BOOST_TEST(!Pulse.due(Start + 599ms));
  Pulse.event(Start + 500ms);
  BOOST_TEST((Pulse.longestPause() == 300ms));
  BOOST_TEST(Pulse.eventsBeforePause() == 5U);
}
