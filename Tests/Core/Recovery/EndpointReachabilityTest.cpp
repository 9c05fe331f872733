#include "Core/Recovery/EndpointReachability.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const ServiceId Model("model");
const ServiceId Desk("desk");
constexpr Duration ConnectTime = 100ms;

/// A connect that ends At after the start.
struct Connect {
  Duration At_;
  int Endpoint_;
  bool Accepted_;
};

struct ReachCase {
  const char *Name_;
  std::size_t Endpoints_;
  std::vector<Connect> Connects_;
  Reachability Expected_;
};

std::ostream &operator<<(std::ostream &Out, const ReachCase &Case) { return Out << Case.Name_; }

/// Connects to different endpoints that fail one after the other, 40 ms apart.
std::vector<Connect> failures(int Count, Duration From = 0ms) {
  std::vector<Connect> All;
  All.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    All.push_back({From + I * 40ms, I, false});
  return All;
}

std::vector<Connect> joined(std::vector<Connect> A, const std::vector<Connect> &B) {
  A.insert(A.end(), B.begin(), B.end());
  return A;
}

const ReachCase ReachCases[] = {
    {"no connect", 40, {}, Reachability::Connected},
    {"two endpoints fail", 40, failures(2), Reachability::Connected},
    {"three endpoints fail", 40, failures(3), Reachability::Doubtful},
    {"six endpoints fail", 40, failures(6), Reachability::Isolated},
    {"one endpoint fails again and again",
     40,
     {{0ms, 1, false}, {100ms, 1, false}, {200ms, 1, false}, {300ms, 1, false}},
     Reachability::Connected},
    {"one endpoint accepts in between", 40,
     joined(joined(failures(4), {{170ms, 9, true}}), failures(5, 300ms)), Reachability::Doubtful},
    {"ten endpoints end together",
     40,
     {{0ms, 0, false},
      {1ms, 1, false},
      {1ms, 2, false},
      {2ms, 3, false},
      {2ms, 4, false},
      {3ms, 5, false},
      {3ms, 6, false},
      {4ms, 7, false}},
     Reachability::Doubtful},
    {"failures long apart",
     40,
     {{0s, 0, false},
      {2s, 1, false},
      {4s, 2, false},
      {6s, 3, false},
      {8s, 4, false},
      {10s, 5, false}},
     Reachability::Connected},
    {"all three of a small service fail", 3, joined(failures(3), {{200ms, 0, false}}),
     Reachability::Isolated},
    {"two of three of a small service fail", 3, joined(failures(2), {{200ms, 0, false}}),
     Reachability::Connected},
    {"one accepts after the isolation", 40, joined(failures(6), {{1s, 1, true}}),
     Reachability::Isolated},
    {"two accept after the isolation", 40, joined(failures(6), {{1s, 1, true}, {1010ms, 2, true}}),
     Reachability::Connected},
    {"one accepts and fails again", 40,
     joined(failures(6), {{1s, 1, true}, {1200ms, 1, false}, {1300ms, 2, true}}),
     Reachability::Isolated},
    {"a connect that began before the return fails", 40,
     joined(failures(6), {{1s, 1, true},
                          {1010ms, 2, true},
                          {1050ms, 3, false},
                          {1060ms, 4, false},
                          {1070ms, 5, false}}),
     Reachability::Connected},
};

} // namespace

BOOST_DATA_TEST_CASE(LostLinksAreTakenForLostEndpointsOrTheReverse, ReachCases, Case) {
  EndpointReachability Reach;
  Reach.setEndpointCount(Model, Case.Endpoints_);
  TimePoint Now = Start;
  for (const Connect &Each : Case.Connects_) {
    Now = Start + Each.At_;
    const EndpointId Id("e" + std::to_string(Each.Endpoint_));
    if (Each.Accepted_)
      Reach.onAccepted(Model, Id, Now);
    else
      Reach.onFailed(Model, Id, Now - ConnectTime, Now);
  }
  BOOST_TEST((Reach.state(Model, Now) == Case.Expected_));
  BOOST_TEST(Reach.isIsolated(Model) == (Case.Expected_ == Reachability::Isolated));
  // Another service is reached over other links.
  BOOST_TEST((Reach.state(Desk, Now) == Reachability::Connected));
}

BOOST_AUTO_TEST_CASE(EachChangeIsReportedOnce) {
  EndpointReachability Reach;
  for (int I = 0; I < 9; ++I)
    Reach.onFailed(Model, EndpointId("e" + std::to_string(I)), Start, Start + I * 50ms);
  auto Changes = Reach.takeChanges();
  BOOST_TEST_REQUIRE(Changes.size() == 1U);
  BOOST_TEST(Changes[0].Isolated_);
  BOOST_TEST(Reach.takeChanges().empty());
  Reach.onAccepted(Model, EndpointId("e0"), Start + 5s);
  Reach.onAccepted(Model, EndpointId("e1"), Start + 5250ms);
  Changes = Reach.takeChanges();
  BOOST_TEST_REQUIRE(Changes.size() == 1U);
  BOOST_TEST(!Changes[0].Isolated_);
  BOOST_TEST((Changes[0].Lasted_ == 5s));
}
