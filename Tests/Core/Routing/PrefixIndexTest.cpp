#include "Core/Routing/PrefixIndex.h"
#include "Core/Routing/AffinityPolicy.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>

using namespace rattancart;

namespace {

constexpr auto Stored = PrefixEvent::Kind::Stored;
constexpr auto Evicted = PrefixEvent::Kind::Evicted;
const EndpointId A("a");
const EndpointId B("b");

} // namespace

BOOST_AUTO_TEST_CASE(EventsAndOwnRequestsAreRecorded) {
  PrefixIndex Index(10);
  Index.apply(A, {1, Stored, "p"});
  Index.recordUse(B, "p");
  BOOST_TEST(Index.holders("p").size() == 2U);
  Index.apply(A, {2, Evicted, "p"});
  BOOST_TEST(Index.confidence(A, "p") == 0);
  BOOST_TEST(Index.confidence(B, "p") == 1);
  // This event is older than the eviction.
  Index.apply(A, {1, Stored, "p"});
  BOOST_TEST(Index.confidence(A, "p") == 0);
}

BOOST_AUTO_TEST_CASE(GapsLowerTheConfidenceInEarlierPrefixes) {
  PrefixIndex Index(100);
  for (std::uint64_t Number = 1; Number <= 10; ++Number)
    Index.apply(A, {Number, Stored, "p" + std::to_string(Number)});
  Index.apply(A, {15, Stored, "new"});
  BOOST_TEST(Index.confidence(A, "new") == 1);
  BOOST_TEST(Index.confidence(A, "p1") == 0.8, boost::test_tools::tolerance(1e-9));
  Index.apply(A, {1000, Stored, "newer"});
  BOOST_TEST(Index.confidence(A, "p1") == 0);
  BOOST_TEST(Index.confidence(A, "newer") == 1);
}

BOOST_AUTO_TEST_CASE(SizeIsBoundedAndEnginesCanBeForgotten) {
  PrefixIndex Index(50);
  for (std::uint64_t Number = 1; Number <= 1000; ++Number)
    Index.apply(Number % 2 == 0 ? A : B, {Number, Stored, "p" + std::to_string(Number)});
  BOOST_TEST(Index.size() == 50U);
  Index.forget(A);
  BOOST_TEST(Index.confidence(A, "p1000") == 0);
  BOOST_TEST(Index.confidence(B, "p999") == 1);
}

namespace {

/// The number of requests of one prefix that each engine gets if one of four engines holds it.
std::map<std::string, int> countRequestsByEngine(double Bound, int Requests) {
  const ModelSpec Spec{ModelId("m"), ModelVersion("1"), 8, 64, 16};
  std::vector<Endpoint> Engines(4);
  std::vector<const Endpoint *> Pointers;
  for (std::size_t Number = 0; Number < Engines.size(); ++Number) {
    Engines[Number].Id_ = EndpointId("e" + std::to_string(Number));
    Engines[Number].Layers_ = {0, 8};
    Engines[Number].Load_.StepTime_ = std::chrono::milliseconds(1);
    Engines[Number].Load_.BatchSlots_ = 8;
    Pointers.push_back(&Engines[Number]);
  }
  const ChainGraph Graph(Spec, Pointers, [](const Endpoint &) { return false; });
  PrefixIndex Index(10);
  Index.recordUse(Engines[2].Id_, "hot");
  AffinityPolicyOptions Options;
  Options.MaxUtilizationRatio_ = Bound;
  AffinityPolicy Policy(Options, Index);
  EngineLoadEstimator Load;
  std::mt19937_64 Random(5);
  std::map<std::string, int> Counts;
  for (int Request = 0; Request < Requests; ++Request) {
    const Endpoint *Engine = Policy.choose({Graph, Load, {100, 16}, "hot"}, Random).front();
    Load.onSequenceStarted(*Engine);
    ++Counts[Engine->Id_.str()];
  }
  return Counts;
}

} // namespace

BOOST_AUTO_TEST_CASE(AffinityPrefersTheHolderUntilItsLimit) {
  BOOST_TEST(countRequestsByEngine(1.25, 3)["e2"] == 3);
  const auto Bounded = countRequestsByEngine(1.25, 100);
  BOOST_TEST(Bounded.size() == 4U);
  BOOST_TEST(Bounded.at("e2") < 40);
  // Without a limit all requests go to the holder, so the check above would fail.
  BOOST_TEST(countRequestsByEngine(1e9, 100)["e2"] == 100);
}
