#include "Link/EndpointWire.h"

#include <boost/test/unit_test.hpp>

using namespace rattancart;

BOOST_AUTO_TEST_CASE(RecordSurvivesConversionToTheWireForm) {
  Endpoint Record;
  Record.Id_ = EndpointId("eng-1");
  Record.Kind_ = EndpointKind::Engine;
  Record.Incarnation_ = Incarnation(7);
  Record.Layers_ = {16, 32};
  Record.State_ = EndpointState::Leaving;
  Record.Load_.StepTime_ = std::chrono::microseconds(350);
  Record.Load_.BatchSlots_ = 8;
  Record.LoadSequence_ = 9;
  Record.Silent_ = true;
  const Endpoint Decoded = fromWire(toWire(Record, std::chrono::milliseconds(20)));
  BOOST_TEST((Decoded.Id_ == Record.Id_));
  BOOST_TEST((Decoded.Layers_ == Record.Layers_));
  BOOST_TEST((Decoded.State_ == EndpointState::Leaving));
  BOOST_TEST((Decoded.Load_.StepTime_ == Record.Load_.StepTime_));
  BOOST_TEST(Decoded.LoadSequence_ == 9);
  BOOST_TEST(Decoded.Silent_);
}

BOOST_AUTO_TEST_CASE(AgeIsRoundedUpAndUnknownStateBecomesGone) {
  wire::EndpointInfoT Info = toWire(Endpoint{}, std::chrono::microseconds(10));
  BOOST_TEST(Info.age_ms == 1);
  Info.state = 9;
  BOOST_TEST((fromWire(Info).State_ == EndpointState::Gone));
}
