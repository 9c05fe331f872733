#include "Tests/Gateway/ScriptedRequest.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace rattancart::test;

namespace {

/// The number of the error for a request that can't be sent.
constexpr int NotSendable = 713;

struct KindCase {
  const char *Name_;
  RequestKind Kind_;
};
std::ostream &operator<<(std::ostream &Out, const KindCase &Case) { return Out << Case.Name_; }

const KindCase KindCases[] = {
    {"a stream", RequestKind::Stream},
    {"a booking", RequestKind::OnceOnly},
    {"a lookup", RequestKind::Idempotent},
};

std::error_code notSendable() { return static_cast<ErrorCode>(NotSendable); }

} // namespace

/// Guards against a caller's faulty request that is tried at one endpoint after the other, and
/// whose caller is told to come again later.
BOOST_DATA_TEST_CASE(ARequestThatCannotBeSentIsTriedAtEachEndpoint, KindCases, Case) {
  OneRequest Each({}, Case.Kind_);
  Each.Engines_.endBeforeSend(0, notSendable());
  BOOST_TEST(Each.Engines_.sends() == 1U);
  BOOST_TEST(Each.Caller_->Complete_);
  BOOST_TEST(Each.Caller_->Status_ == 400U);
  BOOST_TEST(Each.reserved() == 0);
  for (const EndpointId &Id : Each.Ids_)
    BOOST_TEST(Each.Roster_.takesWork(*Each.Roster_.find(Id), Each.Time_.now()));
}

/// Guards against a second response to a caller whose stream has begun.
BOOST_AUTO_TEST_CASE(AStreamThatCannotBeSentAgainIsCut) {
  OneRequest Each;
  Each.Engines_.head(0, 200);
  Each.Engines_.body(0, events(1, 2));
  Each.Engines_.end(0, ErrorCode::ConnectionClosed);
  for (int Tick = 0; Tick < 200; ++Tick) {
    for (std::size_t Number = 1; Number < Each.Engines_.sends(); ++Number)
      if (Each.Engines_.isLive(Number))
        Each.Engines_.endBeforeSend(Number, notSendable());
    Each.Time_.advance(25ms);
    Each.Handler_.tick();
  }
  BOOST_TEST(Each.Engines_.sends() > 1U);
  BOOST_TEST(Each.Caller_->Status_ == 200U);
  BOOST_TEST(Each.Caller_->Aborted_);
  BOOST_TEST(!Each.Caller_->Complete_);
  BOOST_TEST(Each.reserved() == 0);
}
