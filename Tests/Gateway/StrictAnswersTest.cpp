#include "Tests/Gateway/ScriptedRequest.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace rattancart;
using namespace rattancart::test;
namespace data = boost::unit_test::data;

namespace {

struct KindCase {
  const char *Name_;
  RequestKind Kind_;
  bool Resumable_;

  bool isRetryable() const { return Kind_ == RequestKind::Idempotent || Resumable_; }
  bool isStream() const { return Kind_ == RequestKind::Stream; }
};
std::ostream &operator<<(std::ostream &Out, const KindCase &Case) { return Out << Case.Name_; }

const KindCase KindCases[] = {
    {"a booking", RequestKind::OnceOnly, false},
    {"a lookup", RequestKind::Idempotent, false},
    {"a stream that may run once", RequestKind::Stream, false},
    {"a resumable stream", RequestKind::Stream, true},
};

/// Statuses of failed answers. Callers take the first four to mean that the request did not run.
/// The last ones are no statuses of HTTP, or of an answer that is not the final one.
const std::uint32_t FailureStatuses[] = {408, 421, 429, 503, 400, 401, 403, 404, 409, 413,
                                         422, 500, 501, 502, 504, 0,   99,  199, 600, 999};

/// By it an endpoint states that it is not the expected one and did not run the request.
constexpr std::uint32_t MisdirectedStatus = 421;

bool isFinal(std::uint32_t Status) { return Status >= 200 && Status <= 599; }

bool saysNotRun(std::uint32_t Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// How an engine's answer differs from a whole, stamped one.
struct AnswerShape {
  bool NotRun_ = false;
  bool Stamped_ = true;
  bool Whole_ = true;
};

void answer(OneRequest &Each, std::uint32_t Status, AnswerShape Shape, const std::string &Body) {
  HttpResponse Head;
  Head.Status_ = Status;
  Head.Headers_.add("id", "r");
  if (Shape.NotRun_)
    Head.Headers_.add("not-run", "1");
  if (!Shape.Stamped_)
    Head.Headers_.add("unsigned", "1");
  Each.Engines_.head(0, Head);
  if (Each.Engines_.isLive(0))
    Each.Engines_.body(0, Body);
  if (Each.Engines_.isLive(0))
    Each.Engines_.end(0, Shape.Whole_ ? std::error_code() : ErrorCode::ConnectionClosed);
}

/// Whether the answer reaches the caller if all other engines refuse the request. A resumable
/// stream ends with their refusals, which are no answer.
bool isPassedOn(const KindCase &Kind, std::uint32_t Status, AnswerShape Shape) {
  return isFinal(Status) && !Shape.NotRun_ && Shape.Stamped_ && Shape.Whole_ &&
         !saysNotRun(Status) && !(Kind.isStream() && Kind.isRetryable());
}

} // namespace

/// Guards against a booking that ran and is answered 429, 408, 421 or 503, on which callers book
/// again, and against failures that are passed on without a stamp or their whole body.
BOOST_DATA_TEST_CASE(AFailedAnswerSaysMoreThanItsEngineStated,
                     data::make(KindCases) * data::make(FailureStatuses) *
                         data::make({false, true}) * data::make({false, true}) *
                         data::make({false, true}),
                     Kind, Status, NotRun, Stamped, Whole) {
  OneRequest Each({}, Kind.Kind_, /*Classes=*/false, Kind.Resumable_);
  answer(Each, Status, {NotRun, Stamped, Whole}, "failure");
  const AnswerShape Shape{NotRun || Status == MisdirectedStatus, Stamped, Whole};
  const bool Answered = !Kind.isStream() && Stamped && Whole && !Shape.NotRun_ && isFinal(Status) &&
                        Status < 500 && !saysNotRun(Status);
  const bool SentAgain = Shape.NotRun_ || (Kind.isRetryable() && !Answered);
  BOOST_TEST((Each.Engines_.sends() > 1U) == SentAgain);
  Each.runToEnd();
  const bool PassedOn = isPassedOn(Kind, Status, Shape);
  BOOST_TEST(Each.Caller_->Complete_);
  BOOST_TEST(Each.Caller_->Status_ == (PassedOn ? Status : Shape.NotRun_ ? 503U : 502U));
  BOOST_TEST((Each.Caller_->Text_ == "failure") == PassedOn);
  BOOST_TEST(Each.Handler_.inFlight() == 0U);
  BOOST_TEST(Each.reserved() == 0);
}

/// Guards against a request that may run again but is given up after the first failed answer.
BOOST_DATA_TEST_CASE(ARequestThatMayRunAgainIsNotServedElsewhere,
                     data::make(KindCases) * data::make(FailureStatuses) *
                         data::make({false, true}),
                     Kind, Status, Stamped) {
  if (!Kind.isRetryable() ||
      (!Kind.isStream() && Stamped && isFinal(Status) && Status < 500 && !saysNotRun(Status)))
    return;
  OneRequest Each({}, Kind.Kind_, /*Classes=*/false, Kind.Resumable_);
  answer(Each, Status, {/*NotRun=*/false, Stamped, /*Whole=*/true}, "failure");
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  Each.Engines_.head(1, 200);
  Each.Engines_.body(1, events(1, 2));
  Each.Engines_.end(1);
  BOOST_TEST(Each.Caller_->Status_ == 200U);
  BOOST_TEST(Each.Caller_->Text_ == events(1, 2));
  BOOST_TEST(Each.Caller_->Complete_);
}

/// Guards against the beginning of a failure's body that is sent with the length of a whole one:
/// the attempt that it belongs to was kept and has not ended, while that on another path has.
BOOST_AUTO_TEST_CASE(APartOfAFailureLooksWhole) {
  OneRequest Each;
  Each.alarm();
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  Each.Engines_.head(0, 500);
  Each.Engines_.body(0, "fail");
  Each.Engines_.head(1, 500);
  Each.Engines_.body(1, "failure");
  Each.Engines_.end(1);
  BOOST_REQUIRE(Each.Engines_.isLive(0));
  OneRequest::quarantine(Each.Quarantine_);
  Each.Handler_.tick();
  BOOST_TEST(Each.Caller_->Complete_);
  BOOST_TEST(Each.Caller_->Status_ == 502U);
  BOOST_TEST(Each.Caller_->Text_ == "");
}
