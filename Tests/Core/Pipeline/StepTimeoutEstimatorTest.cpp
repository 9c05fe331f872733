#include "Core/Pipeline/StepTimeoutEstimator.h"

#include <boost/test/unit_test.hpp>

using namespace rattancart;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(DeadlineFollowsTheObservedSteps) {
  StepTimeoutEstimator Deadline({10ms, 5s, 2s, 4, 20});
  BOOST_TEST((Deadline.timeout(1) == 2s));
  for (int Count = 0; Count < 100; ++Count)
    Deadline.record(1, 20ms);
  const Duration Decode = Deadline.timeout(1);
  BOOST_TEST((Decode >= 80ms && Decode <= 100ms));
  for (int Count = 0; Count < 100; ++Count)
    Deadline.record(1000, 1s);
  BOOST_TEST((Deadline.timeout(500) > Deadline.timeout(100)));
  BOOST_TEST((Deadline.timeout(100000) == 5s));
}

BOOST_AUTO_TEST_CASE(DeadlineKeepsItsFloorAndForgetsOldTimes) {
  StepTimeoutEstimator Deadline({10ms, 5s, 2s, 4, 20});
  for (int Count = 0; Count < 1000; ++Count)
    Deadline.record(1, 500ms);
  for (int Count = 0; Count < 100000; ++Count)
    Deadline.record(1, 100us);
  BOOST_TEST((Deadline.timeout(1) == 10ms));
}
