#include "Core/Pipeline/StepTimeoutEstimator.h"

#include <boost/test/unit_test.hpp>

using namespace rattancart;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(TimeoutFollowsTheRecordedSteps) {
  StepTimeoutEstimator Estimator({10ms, 5s, 2s, 4, 20});
  BOOST_TEST((Estimator.timeout(1) == 2s));
  for (int Count = 0; Count < 100; ++Count)
    Estimator.record(1, 20ms);
  const Duration Decode = Estimator.timeout(1);
  BOOST_TEST((Decode >= 80ms && Decode <= 100ms));
  for (int Count = 0; Count < 100; ++Count)
    Estimator.record(1000, 1s);
  BOOST_TEST((Estimator.timeout(500) > Estimator.timeout(100)));
  BOOST_TEST((Estimator.timeout(100000) == 5s));
}

BOOST_AUTO_TEST_CASE(TimeoutHasAMinimumAndOldDurationsLoseWeight) {
  StepTimeoutEstimator Estimator({10ms, 5s, 2s, 4, 20});
  for (int Count = 0; Count < 1000; ++Count)
    Estimator.record(1, 500ms);
  for (int Count = 0; Count < 100000; ++Count)
    Estimator.record(1, 100us);
  BOOST_TEST((Estimator.timeout(1) == 10ms));
}
