#include "Tests/Gateway/PromptCrashSchedule.h"

#include <boost/test/data/test_case.hpp>

#include <ostream>

using namespace rattancart;
using namespace rattancart::test;

namespace {

struct SeedCase {
  const char *Name_;
  unsigned Seed_;
};

std::ostream &operator<<(std::ostream &Out, const SeedCase &Case) { return Out << Case.Name_; }

const SeedCase SeedCases[] = {
    {"a sound part is refused as it shares more crashes than an exchange holds", 279},
    {"a sound part is refused after one further crash that the other does not explain", 334},
    {"a sound part at all crashes lets the crashing part through", 646},
};

} // namespace

BOOST_DATA_TEST_CASE(SeedsOfPromptCrashesThatFailed, SeedCases, Case) {
  Schedule Run(Case.Seed_);
  runWithCrashingPart(Run, Case.Seed_);
}
