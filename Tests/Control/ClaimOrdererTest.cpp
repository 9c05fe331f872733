#include "Control/ClaimOrderer.h"
#include "Tests/Control/FakeClaimLog.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <ostream>
#include <string>
#include <vector>

using namespace rattancart;
namespace data = boost::unit_test::data;
using wire::ClaimState;

namespace {

/// Far more than any step needs, so that the tests pass on a slow machine too.
constexpr Duration LongTimeout = std::chrono::minutes(2);

SequencerOptions options() {
  SequencerOptions Options;
  Options.ClaimTimeout_ = LongTimeout;
  Options.RetryAfter_ = std::chrono::milliseconds(20);
  return Options;
}

class CountingLogger final : public Logger {
public:
  void log(LogEvent, std::initializer_list<LogField>) override { ++Events_; }
  int Events_ = 0;
};

struct Fixture {
  explicit Fixture(SequencerOptions Options = options())
      : Platform_(Loop_), Orderer_(Loop_, Time_, Log_, Platform_, "w1", Options) {}

  void start() {
    Orderer_.start();
    awaitAvailable();
  }
  /// Waits until the start fails, which is logged.
  void awaitFailure() {
    runUntil([this] { return Log_.Events_ > 0; });
  }
  void awaitAvailable() {
    runUntil([this] { return Orderer_.isAvailable(); });
  }
  template <typename Condition> void runUntil(Condition Holds) {
    while (!Holds() && Loop_.run_one())
      ;
  }
  void sendClaim(const std::string &Call, std::int64_t Position = 0) {
    wire::ClaimRequestT Request;
    Request.id = 7;
    Request.call = Call;
    Request.key = "k";
    Request.position = Position;
    Orderer_.claim(Request, [this, Call](const wire::ClaimAnswerT &Answer) {
      BOOST_TEST(Answer.id == 7U);
      Answers_[Call].push_back(Answer);
    });
  }
  ClaimState claim(const std::string &Call, std::int64_t Position = 0) {
    sendClaim(Call, Position);
    runUntil([&] { return !Answers_[Call].empty(); });
    return Answers_[Call].back().state;
  }
  void closeClaim(const std::string &Call, wire::ClaimClosing Closing) {
    wire::ClaimCloseT Close;
    Close.call = Call;
    Close.key = "k";
    Close.closing = Closing;
    Close.status = 201;
    Close.body = "booked";
    const std::uint64_t Before = Orderer_.stats().RecordsRead_;
    Orderer_.close(Close);
    runUntil([&] { return Orderer_.stats().RecordsRead_ > Before; });
  }

  boost::asio::io_context Loop_;
  SystemClock Time_;
  CountingLogger Log_;
  FakeClaimLog Platform_;
  ClaimOrderer Orderer_;
  std::map<std::string, std::vector<wire::ClaimAnswerT>> Answers_;
};

struct FaultCase {
  const char *Name_;
  std::vector<AppendFault> Faults_;
  Duration Delay_;
  ClaimState First_;
};
std::ostream &operator<<(std::ostream &Out, const FaultCase &C) { return Out << C.Name_; }

const FaultCase FaultCases[] = {
    {"none", {}, {}, ClaimState::Won},
    {"slow", {}, std::chrono::milliseconds(60), ClaimState::Won},
    {"answer lost after the effect", {AppendFault::AnswerLost}, {}, ClaimState::Won},
    {"lost before the effect", {AppendFault::NeverTaken}, {}, ClaimState::Won},
    {"lost before, then after the effect",
     {AppendFault::NeverTaken, AppendFault::AnswerLost},
     {},
     ClaimState::Won},
    {"recorded twice", {AppendFault::Twice}, {}, ClaimState::Won},
    {"refused", {AppendFault::Refused}, {}, ClaimState::Unavailable},
};

} // namespace

BOOST_DATA_TEST_CASE(AppendFaultDecidesTheClaim, data::make(FaultCases), C) {
  Fixture F;
  F.Platform_.AppendDelay_ = C.Delay_;
  F.start();
  F.Platform_.Faults_.assign(C.Faults_.begin(), C.Faults_.end());
  BOOST_TEST((F.claim("a") == C.First_));
  F.awaitAvailable();
  // Whatever happened to the first claim, the answer to a second copy never lets both run.
  const ClaimState Second = F.claim("b");
  BOOST_TEST((Second == (C.First_ == ClaimState::Won ? ClaimState::Lost : ClaimState::Won)));
}

BOOST_AUTO_TEST_CASE(LoserHearsLostFirstAndTheAnswerLater) {
  Fixture F;
  F.start();
  F.claim("a");
  F.claim("b");
  F.closeClaim("a", wire::ClaimClosing::Done);
  F.runUntil([&] { return F.Answers_["b"].size() == 2; });
  BOOST_TEST((F.Answers_["b"][1].state == ClaimState::Done));
  BOOST_TEST(F.Answers_["b"][1].status == 201);
  BOOST_TEST(F.Answers_["b"][1].body == "booked");
}

BOOST_AUTO_TEST_CASE(ReleaseEndsTheWaitAndLetsARepeatWin) {
  Fixture F;
  F.start();
  F.claim("a");
  F.claim("b");
  F.closeClaim("a", wire::ClaimClosing::Released);
  F.runUntil([&] { return F.Answers_["b"].size() == 2; });
  BOOST_TEST((F.Answers_["b"][1].state == ClaimState::NotEligible));
  BOOST_TEST((F.claim("c", F.Orderer_.tail().value()) == ClaimState::Won));
}

BOOST_AUTO_TEST_CASE(OutageRefusesAtOnceAndEnds) {
  Fixture F;
  F.start();
  F.Platform_.setDown(true);
  F.runUntil([&] { return !F.Orderer_.isAvailable(); });
  BOOST_TEST((F.claim("a") == ClaimState::Unavailable));
  BOOST_TEST(F.Answers_["a"][0].status == 0);
  BOOST_TEST(F.Platform_.Records_.empty());
  F.Platform_.setDown(false);
  F.awaitAvailable();
  BOOST_TEST((F.claim("b") == ClaimState::Won));
}

BOOST_AUTO_TEST_CASE(EndOfAClaimOutlivesAnOutage) {
  Fixture F;
  F.start();
  F.claim("a");
  F.Platform_.setDown(true);
  wire::ClaimCloseT Close;
  Close.call = "a";
  Close.key = "k";
  Close.status = 201;
  F.Orderer_.close(Close);
  F.runUntil([&] { return !F.Orderer_.isAvailable(); });
  F.Platform_.setDown(false);
  F.runUntil([&] { return F.Orderer_.state().at("closes_unseen").to_number<int>() == 0; });
  BOOST_TEST((F.claim("b") == ClaimState::Done));
}

BOOST_AUTO_TEST_CASE(LateWinOfARefusedClaimIsReported) {
  SequencerOptions Options = options();
  Options.ClaimTimeout_ = std::chrono::milliseconds(100);
  Options.RetryAfter_ = LongTimeout;
  Fixture F(Options);
  F.start();
  F.Platform_.Faults_ = {AppendFault::NeverTaken};
  BOOST_TEST((F.claim("a") == ClaimState::Unavailable));
  BOOST_TEST(F.Answers_["a"][0].status == ClaimMayStillWin);
  ClaimRecord Late;
  ClaimItem Item;
  Item.Call_ = RequestId("a");
  Item.Key_ = IdempotencyKey("k");
  Late.Items_ = {Item};
  F.Platform_.append(ClaimStream, encodeClaimRecord(Late), [](const Result<LogOffset> &) {});
  F.runUntil([&] { return F.Answers_["a"].size() == 2; });
  BOOST_TEST((F.Answers_["a"][1].state == ClaimState::Won));
}

BOOST_AUTO_TEST_CASE(RequestSentAgainGetsTheSameAnswer) {
  Fixture F;
  F.start();
  BOOST_TEST((F.claim("a") == ClaimState::Won));
  F.sendClaim("a");
  F.runUntil([&] { return F.Answers_["a"].size() == 2; });
  BOOST_TEST((F.Answers_["a"][1].state == ClaimState::Won));
  BOOST_TEST(F.Answers_["a"][1].offset == F.Answers_["a"][0].offset);
  BOOST_TEST(F.Platform_.Records_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(CopiesInOneBatchGetOneHolder) {
  Fixture F;
  F.start();
  for (const char *Call : {"a", "b", "c"})
    F.sendClaim(Call);
  for (const char *Call : {"a", "b", "c"})
    F.runUntil([&] { return !F.Answers_[Call].empty(); });
  BOOST_TEST((F.Answers_["a"][0].state == ClaimState::Won));
  BOOST_TEST((F.Answers_["b"][0].state == ClaimState::Lost));
  BOOST_TEST((F.Answers_["c"][0].state == ClaimState::Lost));
  // The losers were answered from the table, without records of their own.
  BOOST_TEST(F.Platform_.Records_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(SnapshotCarriesClaimsPastRetention) {
  Fixture F;
  F.start();
  F.claim("a");
  F.closeClaim("a", wire::ClaimClosing::Done);
  // Retention is about to remove the claim, so a snapshot that covers it is written.
  F.Platform_.trim(LogOffset(1));
  F.sendClaim("other");
  F.runUntil([&] {
    return F.Orderer_.stats().SnapshotsWritten_ > 0 && F.Platform_.next(0) > LogOffset(2);
  });
  F.Platform_.trim(LogOffset(2));
  ClaimOrderer Second(F.Loop_, F.Time_, F.Log_, F.Platform_, "w2", options());
  Second.start();
  F.runUntil([&] { return Second.isAvailable(); });
  wire::ClaimRequestT Request;
  Request.call = "z";
  Request.key = "k";
  std::vector<wire::ClaimAnswerT> Got;
  Second.claim(Request, [&](const wire::ClaimAnswerT &Answer) { Got.push_back(Answer); });
  F.runUntil([&] { return !Got.empty(); });
  BOOST_TEST((Got[0].state == ClaimState::Done));
  BOOST_TEST(Got[0].body == "booked");
}

struct StreamCase {
  const char *Name_;
  std::vector<std::string> Records_;
  std::int64_t First_;
  const char *Flag_;
  bool Available_;
};
std::ostream &operator<<(std::ostream &Out, const StreamCase &C) { return Out << C.Name_; }

const StreamCase StreamCases[] = {
    {"garbage is skipped by every reader", {"garbage", "[]"}, 0, "loaded", true},
    {"trimmed without a snapshot", {"{}", "{}"}, 1, "gap", false},
    {"half a snapshot",
     {"{}", R"({"schema":1,"snapshot":{"id":"s","part":0,"parts":2,"tail":1,"floor":0,)"
            R"("marks":[],"entries":[]}})"},
     1,
     "gap",
     false},
    {"record of a newer version", {R"({"schema":2})"}, 0, "loaded", false},
};

BOOST_DATA_TEST_CASE(StreamDecidesTheStart, data::make(StreamCases), C) {
  Fixture F;
  F.Platform_.Records_ = C.Records_;
  F.Platform_.trim(LogOffset(C.First_));
  F.Orderer_.start();
  if (C.Available_)
    F.awaitAvailable();
  else
    F.awaitFailure();
  BOOST_TEST((F.claim("a") == (C.Available_ ? ClaimState::Won : ClaimState::Unavailable)));
  BOOST_TEST(F.Orderer_.state().at(C.Flag_).as_bool() ==
             (C.Available_ || C.Flag_ == std::string("gap")));
}
