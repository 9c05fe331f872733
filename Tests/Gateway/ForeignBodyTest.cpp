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
};
std::ostream &operator<<(std::ostream &Out, const KindCase &Case) { return Out << Case.Name_; }

const KindCase KindCases[] = {
    {"a booking", RequestKind::OnceOnly, false},
    {"a lookup", RequestKind::Idempotent, false},
    {"a stream that may run once", RequestKind::Stream, false},
    {"a resumable stream", RequestKind::Stream, true},
};

/// Header fields of answers whose body is not the engine's.
const std::string ForeignFields[] = {"encoded", "unsigned"};

HttpResponse foreignHead(const std::string &Field, std::uint32_t Status = 200) {
  HttpResponse Head;
  Head.Status_ = Status;
  Head.Headers_.add("id", "r");
  Head.Headers_.add(Field, "1");
  return Head;
}

/// The whole answer of an engine; the gateway may end it early.
void answer(ScriptedEngines &Engines, std::size_t Number, const HttpResponse &Head,
            const std::string &Body, bool Whole = true) {
  Engines.head(Number, Head);
  if (Engines.isLive(Number))
    Engines.body(Number, Body);
  if (Engines.isLive(Number))
    Engines.end(Number, Whole ? std::error_code() : ErrorCode::ConnectionClosed);
}

void serve(ScriptedEngines &Engines, std::size_t Number, std::uint64_t First, std::uint64_t Last) {
  Engines.head(Number, 200);
  Engines.body(Number, events(First, Last));
  Engines.end(Number);
}

} // namespace

/// Guards against a body that is not the engine's and reaches the caller as an answer.
BOOST_DATA_TEST_CASE(AForeignBodyReachesTheCaller,
                     data::make(KindCases) * data::make(ForeignFields) *
                         data::make({200U, 404U, 500U}) * data::make({false, true}),
                     Kind, Field, Status, Whole) {
  OneRequest Each({}, Kind.Kind_, /*Classes=*/false, Kind.Resumable_);
  answer(Each.Engines_, 0, foreignHead(Field, Status), events(1, 2), Whole);
  BOOST_TEST((Each.Engines_.sends() == 2U) == Kind.isRetryable());
  BOOST_TEST(Each.Caller_->Status_ == (Kind.isRetryable() ? 0U : 502U));
  Each.runToEnd();
  BOOST_TEST(Each.Caller_->Complete_);
  BOOST_TEST(Each.Caller_->Status_ == 502U);
  BOOST_TEST(Each.Caller_->Text_ == "");
  BOOST_TEST(Each.Handler_.inFlight() == 0U);
  BOOST_TEST(Each.reserved() == 0);
}

/// Guards against a request that is given up although another engine could serve it.
BOOST_DATA_TEST_CASE(AForeignBodyIsNotReplacedByAnotherEngine,
                     data::make(KindCases) * data::make(ForeignFields), Kind, Field) {
  if (!Kind.isRetryable())
    return;
  OneRequest Each({}, Kind.Kind_, /*Classes=*/false, Kind.Resumable_);
  answer(Each.Engines_, 0, foreignHead(Field), events(1, 4));
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  serve(Each.Engines_, 1, 1, 2);
  BOOST_TEST(Each.Caller_->Status_ == 200U);
  BOOST_TEST(Each.Caller_->Text_ == events(1, 2));
  BOOST_TEST(Each.Caller_->Complete_);
}

/// Guards against a caller that waits for the end of a stream of which it gets nothing.
BOOST_DATA_TEST_CASE(AForeignStreamIsReadToItsEnd, data::make(ForeignFields), Field) {
  OneRequest Each;
  Each.Engines_.head(0, foreignHead(Field));
  BOOST_TEST(!Each.Engines_.isLive(0));
  BOOST_TEST(Each.Engines_.sends() == 2U);
}

/// Guards against a stream that another engine's empty answer completes.
BOOST_DATA_TEST_CASE(AnEmptyAnswerCompletesAForeignStream, data::make(ForeignFields), Field) {
  OneRequest Each;
  answer(Each.Engines_, 0, foreignHead(Field), events(1, 9));
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  Each.Engines_.head(1, 200);
  Each.Engines_.end(1);
  Each.runToEnd();
  BOOST_TEST(Each.Caller_->Status_ == 502U);
  BOOST_TEST(Each.Caller_->Text_ == "");
}

/// Guards against foreign events behind those of a sound engine.
BOOST_DATA_TEST_CASE(AStreamGoesOnWithForeignEvents, data::make(ForeignFields), Field) {
  OneRequest Each;
  Each.Engines_.head(0, 200);
  Each.Engines_.body(0, events(1, 2));
  Each.Engines_.end(0, ErrorCode::ConnectionClosed);
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  answer(Each.Engines_, 1, foreignHead(Field), events(3, 9));
  BOOST_TEST(Each.Caller_->Text_ == events(1, 2));
  BOOST_TEST(!Each.Caller_->Complete_);
  if (Each.Engines_.sends() > 2)
    serve(Each.Engines_, 2, 3, 4);
  BOOST_TEST(Each.Caller_->Text_ ==
             events(1, Each.Engines_.sends() > 2 ? std::uint64_t{4} : std::uint64_t{2}));
}

/// The same for the attempt that is kept while another path is tried.
BOOST_DATA_TEST_CASE(AKeptAttemptGoesOnWithForeignEvents, data::make(ForeignFields), Field) {
  OneRequest Each;
  Each.alarm();
  BOOST_REQUIRE(Each.Engines_.sends() == 2U);
  answer(Each.Engines_, 0, foreignHead(Field), events(1, 9));
  BOOST_TEST(Each.Caller_->Text_ == "");
  BOOST_TEST(Each.Engines_.isLive(1));
  serve(Each.Engines_, 1, 1, 2);
  BOOST_TEST(Each.Caller_->Text_ == events(1, 2));
  BOOST_TEST(Each.Caller_->Complete_);
}
