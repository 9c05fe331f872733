#include "Core/Recovery/StorePolling.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

struct BackoffCase {
  int Failures_;
  Duration Min_;
  Duration Max_;
};

std::ostream &operator<<(std::ostream &Out, const BackoffCase &Case) {
  return Out << Case.Failures_ << " failures";
}

const BackoffCase BackoffCases[] = {
    {1, 125ms, 250ms},  {2, 250ms, 500ms},   {3, 500ms, 1000ms},
    {4, 500ms, 1000ms}, {99, 500ms, 1000ms},
};

struct OutageCase {
  const char *Name_;
  /// Ends of calls, 100 ms apart: + for a call that was answered, - for one that was refused, = for
  /// one that began before all others and got no answer.
  const char *Calls_;
  /// The change after each call: . for none, L if the store is lost, B if it is back.
  const char *Changes_;
  /// Whether missing entries may reappear 1.9 s and 2.1 s after the last call.
  bool MayReappearAfter1900ms_;
  bool MayReappearAfter2100ms_;
};

std::ostream &operator<<(std::ostream &Out, const OutageCase &Case) { return Out << Case.Name_; }

const OutageCase OutageCases[] = {
    {"always reachable", "++", "..", false, false},
    {"single answers are lost", "-+-+", "....", false, false},
    {"lost after two failures", "--", ".L", true, true},
    {"remains lost", "----", ".L..", true, true},
    {"back after an answer", "--+", ".LB", true, false},
    {"lost again", "--+--", ".LB.L", true, true},
    {"calls of the outage fail after it", "--+==", ".LB..", false, false},
    {"calls of no outage fail after an answer", "+==", "...", false, false},
};

/// When the store was last found out of reach and when it answered again, and how long after the
/// answer missing entries may reappear.
struct ReturnCase {
  const char *Name_;
  Duration FoundAfter_;
  Duration MayReappearFor_;
};

std::ostream &operator<<(std::ostream &Out, const ReturnCase &Case) { return Out << Case.Name_; }

const ReturnCase ReturnCases[] = {
    {"at once", 0ms, 2000ms},
    {"after a retry", 900ms, 2000ms},
    {"after a call that got no answer", 1900ms, 1000ms},
    {"late", 2900ms, 0ms},
    {"after a pause of the process", 60s, 0ms},
};

struct TimingCase {
  const char *Name_;
  FreshnessBounds Bounds_;
  Duration ListInterval_;
  Duration ConfigWait_;
};

std::ostream &operator<<(std::ostream &Out, const TimingCase &Case) { return Out << Case.Name_; }

const TimingCase TimingCases[] = {
    {"9 machines", {2000ms, 2000ms}, 900ms, 1000ms},
    {"89 machines", {3000ms, 3000ms}, 1500ms, 2000ms},
    {"295 machines", {4000ms, 4000ms}, 2500ms, 3000ms},
    {"bounds that are too short", {500ms, 500ms}, 900ms, 1000ms},
    {"bounds of a minute", {60s, 60s}, 5000ms, 10000ms},
};

} // namespace

// Many machines that read the store more often than their bounds ask for spend its limit of calls.
BOOST_DATA_TEST_CASE(TheStoreIsReadNoMoreOftenThanTheBoundsNeed, TimingCases, Case) {
  BOOST_TEST((listPollTiming(Case.Bounds_).Interval_ == Case.ListInterval_));
  BOOST_TEST((configPollTiming(Case.Bounds_).Wait_ == Case.ConfigWait_));
  BOOST_TEST((configPollTiming(Case.Bounds_).Interval_ == Duration{}));
}

BOOST_DATA_TEST_CASE(WaitsGrowUpToALimitAndDiffer, BackoffCases, Case) {
  std::mt19937 Random(3);
  for (int Round = 0; Round < 50; ++Round) {
    StoreBackoff Backoff;
    Duration Wait{};
    for (int I = 0; I < Case.Failures_; ++I)
      Wait = Backoff.afterFailure(Random);
    BOOST_TEST((Wait >= Case.Min_ && Wait <= Case.Max_));
    Backoff.succeeded();
    BOOST_TEST((Backoff.afterFailure(Random) <= BackoffCases[0].Max_));
  }
}

BOOST_DATA_TEST_CASE(OutageBeginsWithFailuresInARowAndEndsWithAnAnswer, OutageCases, Case) {
  OutageDetector Detector;
  TimePoint Now = Start;
  std::string Changes;
  for (const char Call : std::string(Case.Calls_)) {
    Now += 100ms;
    if (Call == '+')
      Changes += Detector.onAnswered(Now) ? 'B' : '.';
    else
      Changes += Detector.onFailed(Call == '-' ? Now : Start) ? 'L' : '.';
  }
  BOOST_TEST(Changes == Case.Changes_);
  BOOST_TEST(Detector.entriesMayReappearUntil(Now + 1900ms).has_value() ==
             Case.MayReappearAfter1900ms_);
  BOOST_TEST(Detector.entriesMayReappearUntil(Now + 2100ms).has_value() ==
             Case.MayReappearAfter2100ms_);
}

// Guards against requests to endpoints that left as planned soon after an outage (review/1): a
// process that notices the end of the outage late must not use missing entries for as long as one
// that notices it at once.
BOOST_DATA_TEST_CASE(MissingEntriesAreKeptFromTheEndOfTheOutageOn, ReturnCases, Case) {
  OutageDetector Detector;
  Detector.onFailed(Start - 1s);
  BOOST_TEST(Detector.onFailed(Start));
  const TimePoint Answered = Start + Case.FoundAfter_;
  BOOST_TEST(Detector.onAnswered(Answered));
  const TimePoint Until = Detector.entriesMayReappearUntil(Answered).value_or(Answered);
  BOOST_TEST((Until - Answered == Case.MayReappearFor_));
  // A later look doesn't move the end.
  if (Case.MayReappearFor_ > 0ms)
    BOOST_TEST((Detector.entriesMayReappearUntil(Until - 1ms) == Until));
  BOOST_TEST(!Detector.entriesMayReappearUntil(Until).has_value());
}

BOOST_AUTO_TEST_CASE(TheListIsReadOftenWhileEntriesMayReappear) {
  OutageDetector Detector;
  BOOST_TEST((Detector.listInterval(900ms, Start) == 900ms));
  Detector.onFailed(Start);
  Detector.onFailed(Start + 1ms);
  Detector.onAnswered(Start + 2ms);
  BOOST_TEST((Detector.listInterval(900ms, Start + 1s) == 300ms));
  BOOST_TEST((Detector.listInterval(100ms, Start + 1s) == 100ms));
  BOOST_TEST((Detector.listInterval(900ms, Start + 3s) == 900ms));
}
