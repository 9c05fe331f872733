#include "Tests/Gateway/ScriptedRequest.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

/// What the engines of a first and a second path do, and what the caller gets.
struct TwoPathsCase {
  const char *Name_;
  void (*Play_)(ScriptedEngines &);
  std::uint32_t Status_;
  std::string Text_;
  bool Complete_;
};

std::ostream &operator<<(std::ostream &Out, const TwoPathsCase &Case) { return Out << Case.Name_; }

const TwoPathsCase TwoPathsCases[] = {
    {"the second path delivers first",
     [](ScriptedEngines &Engines) {
       Engines.head(1, 200);
       Engines.body(1, events(3, 4));
       BOOST_TEST(!Engines.isLive(0));
       Engines.end(1);
     },
     200, events(1, 4), true},
    {"the first path delivers first",
     [](ScriptedEngines &Engines) {
       Engines.head(1, 200);
       Engines.body(0, events(3, 3));
       BOOST_TEST(!Engines.isLive(1));
       Engines.body(0, events(4, 4));
       Engines.end(0);
     },
     200, events(1, 4), true},
    {"the second path begins with an event that the caller has",
     [](ScriptedEngines &Engines) {
       Engines.head(1, 200);
       Engines.body(1, events(2, 2));
       BOOST_TEST(Engines.isLive(0));
       Engines.body(1, events(3, 4));
       BOOST_TEST(!Engines.isLive(0));
       Engines.end(1);
     },
     200, events(1, 4), true},
    {"the first path had begun an event",
     [](ScriptedEngines &Engines) {
       Engines.body(0, "id: 3\nda");
       // Bytes alone do not show that the first path goes on.
       BOOST_TEST(Engines.isLive(1));
       Engines.body(0, "ta: x\n\n");
       BOOST_TEST(!Engines.isLive(1));
       Engines.end(0);
     },
     200, events(1, 3), true},
    {"only the end of the first path was missing",
     [](ScriptedEngines &Engines) {
       Engines.end(0);
       BOOST_TEST(!Engines.isLive(1));
     },
     200, events(1, 2), true},
    {"the second path fails",
     [](ScriptedEngines &Engines) {
       Engines.head(1, 500);
       Engines.body(1, "failure");
       Engines.end(1);
       if (Engines.sends() > 2)
         Engines.end(2, ErrorCode::ConnectionClosed);
       Engines.body(0, events(3, 4));
       Engines.end(0);
     },
     200, events(1, 4), true},
    {"the first path sends bytes now and then, but no event",
     [](ScriptedEngines &Engines) {
       Engines.head(1, 200);
       for (int I = 0; I < 20; ++I)
         Engines.body(0, ":\n\n");
       BOOST_TEST(Engines.isLive(1));
       Engines.body(1, events(3, 4));
       BOOST_TEST(!Engines.isLive(0));
       Engines.end(1);
     },
     200, events(1, 4), true},
    {"the first path ends inside an event, without an error",
     [](ScriptedEngines &Engines) {
       Engines.body(0, "id: 3\nda");
       Engines.end(0);
       BOOST_TEST(Engines.isLive(1));
       Engines.head(1, 200);
       Engines.body(1, events(3, 4));
       Engines.end(1);
     },
     200, events(1, 4), true},
    {"the first path breaks off, the second goes on",
     [](ScriptedEngines &Engines) {
       Engines.end(0, ErrorCode::ConnectionClosed);
       BOOST_TEST(Engines.isLive(1));
       Engines.head(1, 200);
       Engines.body(1, events(3, 4));
       Engines.end(1);
     },
     200, events(1, 4), true},
};

/// The same for a request without an event. All engines refuse what comes after this.
const TwoPathsCase NoEventCases[] = {
    {"both refuse", [](ScriptedEngines & /*Engines*/) {}, 503, "", true},
    {"the second refuses first",
     [](ScriptedEngines &Engines) {
       Engines.refuse(1);
       BOOST_TEST(Engines.isLive(0));
     },
     503, "", true},
    {"the first breaks off",
     [](ScriptedEngines &Engines) { Engines.end(0, ErrorCode::ConnectionClosed); }, 502, "", true},
    {"the second breaks off",
     [](ScriptedEngines &Engines) { Engines.end(1, ErrorCode::ConnectionClosed); }, 502, "", true},
    {"the second fails, the first answers",
     [](ScriptedEngines &Engines) {
       Engines.head(1, 500);
       Engines.body(1, "failure");
       Engines.end(1);
       Engines.head(0, 200);
       Engines.body(0, events(1, 2));
       Engines.end(0);
     },
     200, events(1, 2), true},
    {"the first answers after the head of the second",
     [](ScriptedEngines &Engines) {
       Engines.head(1, 200);
       Engines.head(0, 200);
       Engines.body(0, events(1, 2));
       BOOST_TEST(!Engines.isLive(1));
       Engines.end(0);
     },
     200, events(1, 2), true},
    {"the first fails, the second answers",
     [](ScriptedEngines &Engines) {
       Engines.head(0, 500);
       Engines.body(0, "failure");
       Engines.end(0);
       Engines.head(1, 200);
       Engines.body(1, events(1, 2));
       Engines.end(1);
     },
     200, events(1, 2), true},
};

} // namespace

BOOST_DATA_TEST_CASE(StreamsMissOrRepeatEventsWhileTwoPathsAreTried, TwoPathsCases, Case) {
  OneRequest Each;
  Each.Engines_.head(0, 200);
  Each.Engines_.body(0, events(1, 2));
  Each.alarm();
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  BOOST_TEST(Each.Engines_.isLive(0));
  Case.Play_(Each.Engines_);
  BOOST_TEST(Each.Caller_->Status_ == Case.Status_);
  BOOST_TEST(Each.Caller_->Text_ == Case.Text_);
  BOOST_TEST(Each.Caller_->Complete_ == Case.Complete_);
  BOOST_TEST(!Each.Caller_->Aborted_);
  BOOST_TEST(Each.Handler_.inFlight() == 0U);
  BOOST_TEST(Each.reserved() == 0);
  for (std::size_t Number = 0; Number < Each.Engines_.sends(); ++Number)
    BOOST_TEST(!Each.Engines_.isLive(Number));
}

BOOST_DATA_TEST_CASE(RequestsGetAWrongStatusWhileTwoPathsAreTried, NoEventCases, Case) {
  OneRequest Each;
  Each.alarm();
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  Case.Play_(Each.Engines_);
  // An attempt that failed may be followed by another one.
  for (int Round = 0; Round < 100; ++Round) {
    Each.Engines_.refuseAll();
    Each.Time_.advance(25ms);
    Each.Handler_.tick();
  }
  BOOST_TEST(Each.Caller_->Status_ == Case.Status_);
  BOOST_TEST(Each.Caller_->Text_ == Case.Text_);
  BOOST_TEST(Each.Caller_->Complete_ == Case.Complete_);
  BOOST_TEST(Each.Handler_.inFlight() == 0U);
  BOOST_TEST(Each.reserved() == 0);
}

// A caller whose connection broke after the last event asks for the rest of its stream.
BOOST_AUTO_TEST_CASE(ResumedStreamsWithoutFurtherEventsFail) {
  OneRequest Each(/*LastEvent=*/9);
  Each.Engines_.head(0, 200);
  Each.Engines_.end(0);
  for (int Round = 0; Round < 100; ++Round) {
    Each.Time_.advance(25ms);
    Each.Handler_.tick();
  }
  BOOST_TEST(Each.Engines_.sends() == 1U);
  BOOST_TEST(Each.Caller_->Status_ == 200U);
  BOOST_TEST(Each.Caller_->Complete_);
  BOOST_TEST(Each.Handler_.inFlight() == 0U);
}

namespace {

/// What a request with a prompt part had come to when the part was quarantined.
struct QuarantineCase {
  const char *Name_;
  void (*Play_)(ScriptedEngines &);
  /// 0 if the stream goes on.
  std::uint32_t Status_;
};

std::ostream &operator<<(std::ostream &Out, const QuarantineCase &Case) {
  return Out << Case.Name_;
}

const QuarantineCase QuarantineCases[] = {
    {"the engine has it", [](ScriptedEngines &) {}, 502},
    {"the engine has sent a head", [](ScriptedEngines &Engines) { Engines.head(0, 200); }, 502},
    {"the answer has begun",
     [](ScriptedEngines &Engines) {
       Engines.head(0, 200);
       Engines.body(0, events(1, 1));
     },
     0},
    {"every engine has refused it", [](ScriptedEngines &Engines) { Engines.refuseAll(); }, 503},
};

} // namespace

BOOST_DATA_TEST_CASE(EnginesBeginToAnswerAPromptThatIsQuarantinedMeanwhile, QuarantineCases, Case) {
  OneRequest Played;
  Case.Play_(Played.Engines_);
  OneRequest::quarantine(Played.Quarantine_);
  Played.Time_.advance(25ms);
  Played.Handler_.tick();
  for (std::size_t Number = 0; Number < Played.Engines_.sends(); ++Number)
    BOOST_TEST(Played.Engines_.isLive(Number) == (Case.Status_ == 0));
  BOOST_TEST(Played.Caller_->Complete_ == (Case.Status_ != 0));
  if (Case.Status_ != 0)
    BOOST_TEST(Played.Caller_->Status_ == Case.Status_);
  BOOST_TEST((Case.Status_ == 0 || Played.Handler_.inFlight() == 0U));
}

// An engine that has answered with a failure is taken for silent before the end of that answer.
BOOST_AUTO_TEST_CASE(FailureBodiesAreCutWhileTwoPathsAreTried) {
  OneRequest Each;
  Each.Engines_.head(0, 500);
  Each.Engines_.body(0, "first half, ");
  Each.alarm();
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  // Other paths are tried until no more sends are allowed.
  for (std::size_t Number = 1; Number < Each.Engines_.sends(); ++Number)
    Each.Engines_.refuse(Number);
  Each.Engines_.body(0, "second half");
  Each.Engines_.end(0);
  for (int Round = 0; Round < 100; ++Round) {
    Each.Engines_.refuseAll();
    Each.Time_.advance(25ms);
    Each.Handler_.tick();
  }
  // Without the whole answer, the gateway reports the failure itself.
  if (Each.Caller_->Status_ == 500U)
    BOOST_TEST(Each.Caller_->Text_ == "first half, second half");
  else
    BOOST_TEST(Each.Caller_->Status_ == 502U);
  BOOST_TEST(Each.Handler_.inFlight() == 0U);
}

// An idempotent request waits for its endpoint, and there is no second one to send it to.
BOOST_AUTO_TEST_CASE(RetryBudgetIsSpentOnRequestsThatAreNotSentAgain) {
  OneRequest Each(/*LastEvent=*/{}, RequestKind::Idempotent);
  for (const EndpointId &Id : Each.Ids_)
    if (Each.Roster_.find(Id)->OwnRequests_ == 0)
      Each.Roster_.markSilent(Id, Each.Time_.now(), Each.Time_.now() + 1min);
  const auto Spent = Each.Retries_.spent(Brief, Each.Time_.now());
  for (int Round = 0; Round < 40; ++Round) {
    Each.Time_.advance(25ms);
    Each.Handler_.tick();
  }
  BOOST_TEST(Each.Handler_.inFlight() == 1U);
  BOOST_TEST(Each.Engines_.sends() == 1U);
  BOOST_TEST(Each.Retries_.spent(Brief, Each.Time_.now()) == Spent);
}

// A response without a length ends with its connection, so only its last event shows that it broke
// off.
BOOST_AUTO_TEST_CASE(StreamThatEndsInsideAnEventIsTakenForComplete) {
  OneRequest Each;
  Each.Engines_.head(0, 200);
  Each.Engines_.body(0, events(1, 2) + "id: 3\nda");
  Each.Engines_.end(0);
  BOOST_TEST(!Each.Caller_->Complete_);
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  Each.Engines_.head(1, 200);
  Each.Engines_.body(1, events(3, 4));
  Each.Engines_.end(1);
  BOOST_TEST(Each.Caller_->Text_ == events(1, 4));
  BOOST_TEST(Each.Caller_->Complete_);
}

namespace {

const std::string ErrorText = "Internal error: no memory\n\nretry later\n\n";
const std::string ErrorHead =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n";

/// How the engine answers that shall go on with a stream after event 2, or what the first engine
/// itself sends after that event.
struct ErrorCase {
  const char *Name_;
  std::uint32_t Status_;
  bool OtherMediaType_;
  std::string Body_;
};

std::ostream &operator<<(std::ostream &Out, const ErrorCase &Case) { return Out << Case.Name_; }

const ErrorCase ErrorCases[] = {
    {"a failure", 500, true, ErrorText},
    {"a failure that looks like a stream", 500, false, events(3, 4)},
    {"unavailable", 503, true, ErrorText},
    {"no content", 204, true, ""},
    {"part of the content", 206, false, events(3, 4)},
    {"a redirection", 302, true, ErrorText},
    {"success with a text", 200, true, ErrorText},
    {"success with a text that looks like a stream", 200, true, events(3, 4)},
    {"a text for a stream", 200, false, ErrorText},
    {"an object", 200, false, "{\"error\":\"no memory\"}\n\n"},
    {"an event without an id", 200, false, "event: error\ndata: no memory\n\n"},
    {"data without an id", 200, false, "data: no memory\n\n"},
    {"a whole answer", 200, false, ErrorHead + ErrorText},
    {"a whole answer inside an event", 200, false, "id: 3\ndata: x" + ErrorHead + ErrorText},
    {"a text inside an event", 200, false, "id: 3\nInternal error\ndata: x\n\n"},
};

/// Lets a request whose attempts have all ended run until it ends.
void runToEnd(OneRequest &Each) {
  for (int Round = 0; Round < 200; ++Round) {
    Each.Engines_.refuseAll();
    Each.Time_.advance(25ms);
    Each.Handler_.tick();
  }
}

} // namespace

// Guards against the text of an error, or its whole head, in the middle of a stream, and against a
// stream that ends as complete with it.
BOOST_DATA_TEST_CASE(AnErrorOfTheNextEngineReachesTheStream, ErrorCases, Case) {
  OneRequest Each;
  Each.Engines_.head(0, 200);
  Each.Engines_.body(0, events(1, 2));
  Each.Engines_.end(0, ErrorCode::ConnectionClosed);
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  Each.Engines_.head(1, Case.Status_, /*NotRun=*/false, Case.OtherMediaType_);
  Each.Engines_.body(1, Case.Body_);
  Each.Engines_.endIfLive(1);
  BOOST_TEST(!Each.Caller_->Complete_);
  runToEnd(Each);
  BOOST_TEST(Each.Caller_->Text_ == events(1, 2));
  BOOST_TEST(!Each.Caller_->Complete_);
  BOOST_TEST(Each.Caller_->Aborted_);
  BOOST_TEST(Each.Handler_.inFlight() == 0U);
  BOOST_TEST(Each.reserved() == 0);
}

// The same text at the end of a stream without a length: the stream goes on at another engine.
BOOST_DATA_TEST_CASE(AnErrorInsideAStreamReachesTheCaller, ErrorCases, Case) {
  if (Case.Status_ != 200 || Case.OtherMediaType_)
    return;
  OneRequest Each;
  Each.Engines_.head(0, 200);
  Each.Engines_.body(0, events(1, 2) + Case.Body_);
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  BOOST_TEST(!Each.Engines_.isLive(0));
  Each.Engines_.head(1, 200);
  Each.Engines_.body(1, events(3, 4));
  Each.Engines_.end(1);
  BOOST_TEST(Each.Caller_->Text_ == events(1, 4));
  BOOST_TEST(Each.Caller_->Complete_);
}

// The same from an attempt that is kept while a second path is tried.
BOOST_DATA_TEST_CASE(AnErrorOfAKeptAttemptReachesTheStream, ErrorCases, Case) {
  if (Case.Status_ != 200 || Case.OtherMediaType_)
    return;
  OneRequest Each;
  Each.Engines_.head(0, 200);
  Each.Engines_.body(0, events(1, 2));
  Each.alarm();
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  Each.Engines_.body(0, Case.Body_);
  BOOST_TEST(!Each.Engines_.isLive(0));
  Each.Engines_.head(1, 200);
  Each.Engines_.body(1, events(3, 4));
  Each.Engines_.end(1);
  BOOST_TEST(Each.Caller_->Text_ == events(1, 4));
  BOOST_TEST(Each.Caller_->Complete_);
}

// An error in place of the first event: the caller gets a failure, never the text as a stream.
BOOST_DATA_TEST_CASE(AnErrorInPlaceOfAStreamIsASuccess, ErrorCases, Case) {
  OneRequest Each;
  for (std::size_t Number = 0; Number < Each.Engines_.sends() && Number < 2; ++Number) {
    Each.Engines_.head(Number, Case.Status_, /*NotRun=*/false, Case.OtherMediaType_);
    Each.Engines_.body(Number, Case.Body_);
    Each.Engines_.endIfLive(Number);
  }
  runToEnd(Each);
  BOOST_TEST((Each.Caller_->Status_ == 500U || Each.Caller_->Status_ == 502U));
  if (Each.Caller_->Status_ == 502U)
    BOOST_TEST(Each.Caller_->Text_.find("Internal error: no memory") == std::string::npos);
  BOOST_TEST(Each.Handler_.inFlight() == 0U);
}

namespace {

/// A refusal that a faulty engine writes once more.
struct RepeatedRefusalCase {
  const char *Name_;
  RequestKind Kind_;
  std::uint32_t Status_;
  /// The request that it refused; empty if the engine doesn't name it.
  const char *Id_;
};

std::ostream &operator<<(std::ostream &Out, const RepeatedRefusalCase &Case) {
  return Out << Case.Name_;
}

const RepeatedRefusalCase RepeatedRefusalCases[] = {
    {"a stream, full", RequestKind::Stream, 503, "earlier"},
    {"a stream, misdirected", RequestKind::Stream, 421, "earlier"},
    {"a stream, no id", RequestKind::Stream, 400, ""},
    {"a booking, full", RequestKind::OnceOnly, 503, "earlier"},
    {"a booking, too many", RequestKind::OnceOnly, 429, "earlier"},
    {"a booking, no id", RequestKind::OnceOnly, 400, ""},
    {"a lookup, full", RequestKind::Idempotent, 503, "earlier"},
};

} // namespace

// A refusal of an earlier request on the same connection must not count as the answer to this one:
// the engine runs it, and the caller would be told that it did not run.
BOOST_DATA_TEST_CASE(ARepeatedRefusalIsTakenForTheAnswer, RepeatedRefusalCases, Case) {
  OneRequest Each({}, Case.Kind_);
  for (int Copy = 0; Copy < 3; ++Copy)
    BOOST_TEST(Each.Engines_.skipsAnswer(0, Case.Status_, Case.Id_));
  BOOST_TEST(Each.Engines_.sends() == 1U);
  BOOST_TEST(Each.Engines_.isLive(0));
  BOOST_TEST(!Each.Caller_->Complete_);
}

// A second send of a request must not meet the refusal of its first one, which has the same id.
// Requests that must not run twice are never sent on a connection that was used before, but for the
// first send of a stream, whose id no engine has seen.
BOOST_DATA_TEST_CASE(ARequestIsSentAgainOnAUsedConnection, RepeatedRefusalCases, Case) {
  OneRequest Each({}, Case.Kind_);
  runToEnd(Each);
  BOOST_TEST(Each.Engines_.sends() > 1U);
  for (std::size_t Number = 0; Number < Each.Engines_.sends(); ++Number)
    if (Case.Kind_ == RequestKind::OnceOnly || (Case.Kind_ == RequestKind::Stream && Number > 0))
      BOOST_TEST((Each.Engines_.connectionUse(Number) == ConnectionUse::Fresh));
}

namespace {

/// The answer of an endpoint to a request that is meant for another one.
struct MisdirectedCase {
  const char *Name_;
  RequestKind Kind_;
  std::uint32_t Status_;
  /// Which endpoint the answer names as the cause: none, the one that the request was sent to, or
  /// another one.
  enum class Fault : std::uint8_t { None, SentTo, Other } Fault_;
  bool Taken_;
};

std::ostream &operator<<(std::ostream &Out, const MisdirectedCase &Case) {
  return Out << Case.Name_;
}

const MisdirectedCase MisdirectedCases[] = {
    {"a stream", RequestKind::Stream, 421, MisdirectedCase::Fault::None, true},
    {"a stream, the answer names itself", RequestKind::Stream, 421, MisdirectedCase::Fault::SentTo,
     true},
    {"a stream, a later stage lacks layers", RequestKind::Stream, 421,
     MisdirectedCase::Fault::Other, false},
    {"a stream, no memory", RequestKind::Stream, 503, MisdirectedCase::Fault::SentTo, false},
    {"a booking", RequestKind::OnceOnly, 421, MisdirectedCase::Fault::None, true},
    {"a lookup", RequestKind::Idempotent, 421, MisdirectedCase::Fault::None, true},
};

} // namespace

// Guards against request after request to an endpoint whose address now belongs to another one.
BOOST_DATA_TEST_CASE(AnEndpointWhoseAddressIsTakenGetsNoFurtherRequests, MisdirectedCases, Case) {
  OneRequest Each({}, Case.Kind_);
  EndpointId SentTo;
  EndpointId Other;
  for (const EndpointId &Id : Each.Ids_)
    (Each.Roster_.find(Id)->OwnRequests_ > 0 ? SentTo : Other) = Id;
  std::string Fault;
  if (Case.Fault_ != MisdirectedCase::Fault::None)
    Fault = (Case.Fault_ == MisdirectedCase::Fault::SentTo ? SentTo : Other).str();
  Each.Engines_.head(0, Case.Status_, /*NotRun=*/true, /*OtherMediaType=*/false, Fault);
  Each.Engines_.end(0);
  for (const EndpointId &Id : Each.Ids_)
    BOOST_TEST(Each.Roster_.find(Id)->addressTaken(Each.Time_.now()) ==
               (Case.Taken_ && Id == SentTo));
  BOOST_TEST(Each.Roster_.takesWork(*Each.Roster_.find(Other), Each.Time_.now()));
  // The request goes on elsewhere.
  BOOST_TEST(Each.Engines_.sends() == 2U);
  if (Case.Taken_)
    BOOST_TEST(Each.Roster_.find(SentTo)->OwnRequests_ == 0U);
}
