#include "Process/MetricSet.h"
#include "StandIns/Site/FakeStoreHandler.h"
#include "platform/PlatformStore.h"
#include "platform/WireNames.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <ostream>
#include <vector>

using namespace rattancart;
using namespace rattancart::platform;
using namespace std::chrono_literals;

namespace {

/// Many gateways that claim turns at one simulated store.
struct Claimants {
  explicit Claimants(std::size_t Count) {
    BOOST_REQUIRE(!Server_.listen(NetAddress("127.0.0.1:0")));
    for (std::size_t I = 0; I < Count; ++I) {
      Clients_.push_back(std::make_unique<HttpClient>(Loop_));
      Stores_.push_back(std::make_unique<PlatformStore>(
          Loop_, Time_, Log_, Metrics_, *Clients_.back(), Server_.address(), FreshnessBounds{}));
    }
  }
  ~Claimants() { Server_.stop(); }

  /// All of them claim the turn after After at once.
  std::vector<TurnClaim> claim(const std::string &Key, TurnNumber After) {
    std::vector<TurnClaim> Claims;
    for (const auto &Store : Stores_)
      Store->claimTurn(Key, After, [&](const TurnClaim &Claim) {
        Claims.push_back(Claim);
        if (Claims.size() == Stores_.size())
          Loop_.stop();
      });
    Loop_.restart();
    Loop_.run_for(20s);
    return Claims;
  }

  boost::asio::io_context Loop_;
  const SystemClock Time_;
  NullLogger Log_;
  MetricSet Metrics_;
  FakeStoreHandler Store_{Loop_, Time_};
  HttpServer Server_{Loop_, {}, Store_, Log_};
  std::vector<std::unique_ptr<HttpClient>> Clients_;
  std::vector<std::unique_ptr<PlatformStore>> Stores_;
};

std::size_t count(const std::vector<TurnClaim> &Claims, TurnOutcome Outcome) {
  return static_cast<std::size_t>(
      std::count_if(Claims.begin(), Claims.end(),
                    [=](const TurnClaim &Each) { return Each.Outcome_ == Outcome; }));
}

struct ClaimCase {
  const char *Name_;
  std::string Key_;
  StoreFault Fault_;
  /// Claims that are granted while the fault lasts.
  std::size_t Granted_;
  /// Whether the turn is taken although no claim was granted.
  bool TakenAfterwards_;
};

std::ostream &operator<<(std::ostream &Out, const ClaimCase &Case) { return Out << Case.Name_; }

const ClaimCase ClaimCases[] = {
    {"calm", "part", StoreFault::None, 1, true},
    {"a key of any bytes", "p\r\n&a=%\xff", StoreFault::None, 1, true},
    {"answers to appends are lost", "part", StoreFault::LosesAnswers, 0, true},
    {"the store refuses", "part", StoreFault::Unavailable, 0, false},
};

} // namespace

BOOST_DATA_TEST_CASE(TwoGatewaysGetTheSameTurn, ClaimCases, Case) {
  Claimants Gateways(9);
  // Turns of other keys, on more than one page of the store.
  for (int I = 0; I < 12; ++I)
    BOOST_TEST(count(Gateways.claim("other-" + std::to_string(I), TurnNumber(0)),
                     TurnOutcome::Granted) == 1U);
  Gateways.Store_.setFault(Case.Fault_);
  const auto First = Gateways.claim(Case.Key_, TurnNumber(0));
  BOOST_TEST(First.size() == 9U);
  BOOST_TEST(count(First, TurnOutcome::Granted) == Case.Granted_);
  Gateways.Store_.setFault(StoreFault::None);
  const auto Late = Gateways.claim(Case.Key_, TurnNumber(0));
  BOOST_TEST(count(Late, TurnOutcome::Granted) == (Case.TakenAfterwards_ ? 0U : 1U));
  if (Case.TakenAfterwards_) {
    BOOST_TEST(count(Late, TurnOutcome::Taken) == 9U);
    BOOST_TEST(Late.front().Turn_.value() == 1U);
  }
  const auto Next = Gateways.claim(Case.Key_, TurnNumber(1));
  BOOST_TEST(count(Next, TurnOutcome::Granted) == 1U);
}
