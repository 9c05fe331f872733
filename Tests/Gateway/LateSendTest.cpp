#include "Tests/Gateway/ScriptedRequest.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

/// When the connection of a repeat opens, and whether the repeat is handed to it.
struct LateRepeatCase {
  const char *Name_;
  Duration Delay_;
  /// Whether others have spent the retry budget meanwhile.
  bool BudgetSpent_ = false;
  bool HandedOver_ = false;
  /// The repeats that count in the window.
  std::uint32_t Counted_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const LateRepeatCase &Case) {
  return Out << Case.Name_;
}

const LateRepeatCase LateRepeatCases[] = {
    {"in time", 200ms, false, true, 1},
    {"in time, budget spent", 200ms, true, true, 1},
    {"after a pause", 2s, false, true, 2},
    {"after a pause, budget spent", 2s, true, false, 1},
};

} // namespace

// The process was paused between the grant of a repeat and its send.
BOOST_DATA_TEST_CASE(ARepeatIsSentLongAfterItsGrant, LateRepeatCases, Case) {
  for (const RequestKind Kind : {RequestKind::Stream, RequestKind::Idempotent}) {
    OneRequest Each({}, Kind);
    BOOST_TEST(Each.Engines_.connect(0));
    Each.Engines_.refuse(0);
    BOOST_REQUIRE(Each.Engines_.sends() == 2U);
    std::uint32_t Others = 0;
    while (Case.BudgetSpent_ && Each.Retries_.tryRetry(Brief, Each.Time_.now()))
      ++Others;
    Each.Time_.advance(Case.Delay_);
    BOOST_TEST(Each.Engines_.connect(1) == Case.HandedOver_);
    BOOST_TEST(Each.Retries_.spent(Brief, Each.Time_.now()) - Others == Case.Counted_);
    // A further send would need the budget as well.
    BOOST_TEST(Each.Engines_.sends() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(ACancelledRequestIsHandedToAConnectionThatOpensLater) {
  OneRequest Each;
  Each.alarm();
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  Each.Engines_.head(0, 200);
  Each.Engines_.body(0, events(1, 1));
  BOOST_REQUIRE(!Each.Engines_.isLive(1));
  BOOST_TEST(!Each.Engines_.wouldSend(1));
}

// The process was paused between the admission of a request by the engine's limit and its send.
BOOST_AUTO_TEST_CASE(ARequestIsSentLongAfterTheLimitOfItsEngineAdmittedIt) {
  OneRequest Each({}, RequestKind::Idempotent);
  for (const EndpointId &Id : Each.Ids_)
    Each.Limiter_.onAnswer(Id, Incarnation(1), {AnnouncedLimit::Kind::Limited, {0}},
                           Each.Time_.now());
  BOOST_TEST(Each.Engines_.wouldSend(0));
  Each.Time_.advance(2s);
  BOOST_TEST(!Each.Engines_.connect(0));
  BOOST_TEST(Each.Engines_.sends() == 1U);
  BOOST_TEST(Each.Caller_->Status_ == 503U);
}

BOOST_AUTO_TEST_CASE(ARequestWaitsThoughTheLimitsOfAllEnginesLeaveNoRoom) {
  for (const RequestKind Kind : {RequestKind::Stream, RequestKind::Idempotent}) {
    OneRequest Each({}, Kind);
    for (const EndpointId &Id : Each.Ids_)
      Each.Limiter_.onAnswer(Id, Incarnation(1), {AnnouncedLimit::Kind::Limited, {0}},
                             Each.Time_.now());
    // The first engine is excluded, and the limits of the others leave no room.
    Each.Engines_.refuse(0);
    for (int Round = 0; Round < 40; ++Round) {
      Each.Time_.advance(25ms);
      Each.Handler_.tick();
    }
    BOOST_TEST(Each.Engines_.sends() == 1U);
    BOOST_TEST(Each.Caller_->Status_ == 503U);
    BOOST_TEST(Each.Handler_.inFlight() == 0U);
  }
}

// A stream that looks for a path asks for a retry every few tens of ms.
BOOST_AUTO_TEST_CASE(ADeniedRetryIsLoggedOnceForEachRequestAndCountedEachTime) {
  OneRequest Each;
  Each.Engines_.head(0, 200);
  Each.Engines_.body(0, events(1, 2));
  while (Each.Retries_.tryRetry(Brief, Each.Time_.now()))
    ;
  Each.Engines_.end(0, ErrorCode::ConnectionClosed);
  for (int Round = 0; Round < 20; ++Round) {
    Each.Time_.advance(50ms);
    Each.Handler_.tick();
  }
  BOOST_TEST(Each.Log_.count(LogEvent::RepeatDenied) == 1U);
  const std::string Metrics = Each.Metrics_.prometheusText("");
  BOOST_TEST(Metrics.find("repeats_total{") != std::string::npos);
  BOOST_TEST(Metrics.find("\"denied\"} 1\n") == std::string::npos, Metrics);
  BOOST_TEST(Metrics.find("\"denied\"}") != std::string::npos, Metrics);
}

// A rejected stream doesn't take the retries that are kept for streams that lost their engine.
BOOST_AUTO_TEST_CASE(ARejectedStreamLeavesTheKeptRetriesToStreamsThatLostTheirEngine) {
  for (const bool Begun : {false, true}) {
    OneRequest Each;
    Each.Retries_.setOptions({0.2, 100, 10s, /*KeptForLost=*/1}, Each.Time_.now());
    if (Begun) {
      Each.Engines_.head(0, 200);
      Each.Engines_.body(0, events(1, 2));
      Each.Engines_.end(0, ErrorCode::ConnectionClosed);
      BOOST_REQUIRE(Each.Engines_.sends() == 2U);
      // It has lost its engine, also if the next one rejects it.
      Each.Engines_.refuse(1);
      BOOST_TEST(Each.Engines_.sends() == 3U);
      continue;
    }
    Each.Engines_.refuse(0);
    BOOST_TEST(Each.Engines_.sends() == 1U);
    BOOST_TEST(Each.Retries_.spent(Brief, Each.Time_.now()) == 0U);
    for (int Round = 0; Round < 200; ++Round) {
      Each.Time_.advance(25ms);
      Each.Handler_.tick();
    }
    BOOST_TEST(Each.Caller_->Status_ == 503U);
  }
}

namespace {

/// A rejected stream for which no retry is left but those kept for streams that lost their engine,
/// while requests of other callers obtain memory.
struct RejectedStream : OneRequest {
  RejectedStream() {
    Retries_.setOptions({0.2, 100, 10s, /*KeptForLost=*/0.5}, Time_.now());
    while (Retries_.tryRetry(Brief, Time_.now(), RetryPurpose::AfterRejection))
      ;
    for (int I = 0; I < 30; ++I)
      Queue_.onPlaced(Brief, PriorityClass(0), 200, Time_.now());
    Engines_.refuse(0);
  }
  void pass(Duration Span) {
    for (Duration Passed{}; Passed < Span; Passed += 25ms) {
      Time_.advance(25ms);
      Handler_.tick();
    }
  }
};

} // namespace

// It neither polls the budget nor passes others that wait.
BOOST_AUTO_TEST_CASE(ARejectedStreamWaitsForItsTurnUntilThereIsARetry) {
  for (const bool Freed : {true, false}) {
    RejectedStream Each;
    BOOST_TEST(Each.Queue_.size() == 1U);
    Each.pass(200ms);
    BOOST_TEST(Each.Engines_.sends() == 1U);
    BOOST_TEST(Each.Caller_->Status_ == 0U);
    const std::string Metrics = Each.Metrics_.prometheusText("");
    BOOST_TEST(Metrics.find("\"kept\"} 1\n") != std::string::npos, Metrics);
    if (Freed)
      Each.Retries_.setOptions({0.2, 100, 10s, 0}, Each.Time_.now());
    Each.pass(Freed ? 100ms : 400ms);
    BOOST_TEST(Each.Engines_.sends() == (Freed ? 2U : 1U));
    BOOST_TEST(Each.Caller_->Status_ == (Freed ? 0U : 503U));
    BOOST_TEST(Each.Queue_.size() == 0U);
    BOOST_TEST(Each.Log_.count(LogEvent::QueueWaitEnded) == 1U);
  }
}

BOOST_AUTO_TEST_CASE(AShutdownTellsTheCallerOfAWaitingStreamThatItHasNotRun) {
  RejectedStream Each;
  BOOST_REQUIRE(Each.Queue_.size() == 1U);
  Each.Handler_.shutDown();
  BOOST_TEST(Each.Caller_->Status_ == 503U);
  BOOST_TEST(Each.Queue_.size() == 0U);
  BOOST_TEST(Each.Handler_.inFlight() == 0U);
}
