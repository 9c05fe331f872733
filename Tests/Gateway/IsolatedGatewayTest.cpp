#include "SiteModel/SimulatedSite.h"
#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <ostream>
#include <set>
#include <vector>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

// Bounds of the platform.
constexpr Duration StableWindow = 3s;
constexpr double MinServiceRatio = 2.0 / 3;

constexpr Duration SendInterval = 30ms;
constexpr Duration CutTime = 12s;

const std::vector<SimulatedSite::DataCenterSetup> NineGateways = {
    {"a", {{"h100", 4}, {"l4", 16}}, 3},
    {"b", {{"h100", 4}, {"l4", 16}}, 3},
    {"c", {{"h100", 4}, {"l4", 16}}, 3},
};

struct CutCase {
  const char *Name_;
  unsigned Seed_;
  LinkFault Fault_;
  std::set<std::size_t> CutOff_;
};

std::ostream &operator<<(std::ostream &Out, const CutCase &Case) { return Out << Case.Name_; }

const CutCase CutCases[] = {
    {"one gateway, connections hang", 1, LinkFault::Hangs, {4}},
    {"one gateway, connections are reset", 2, LinkFault::Resets, {4}},
    {"one gateway, new connections are refused", 3, LinkFault::RefusesNew, {4}},
    {"two of three in each data centre, connections hang", 4, LinkFault::Hangs, {1, 2, 4, 5, 7, 8}},
    {"two of three in each data centre, resets", 5, LinkFault::Resets, {1, 2, 4, 5, 7, 8}},
    {"a whole data centre but the owner", 6, LinkFault::Hangs, {4, 5}},
};

struct Sent {
  std::size_t Gateway_ = 0;
  std::shared_ptr<CallerView> View_;
};

/// Requests of callers that come to all gateways in turn.
struct CallerLoad {
  explicit CallerLoad(SimulatedSite &Site) {
    Site.queue().every(SendInterval, [this, &Site] {
      const std::size_t Gateway = Sent_.size() % Site.gatewayCount();
      Sent_.push_back({Gateway, Site.sendRequest(Gateway, 200, 20)});
    });
  }
  std::vector<Sent> Sent_;
};

struct Service {
  std::size_t Sent_ = 0;
  std::size_t Served_ = 0;
  double share() const { return Sent_ == 0 ? 0 : double(Served_) / double(Sent_); }
};

Service count(const CallerLoad &Load, const std::set<std::size_t> &Gateways, bool Among,
              TimePoint From, TimePoint To) {
  Service Counted;
  for (const Sent &Each : Load.Sent_) {
    if (Gateways.contains(Each.Gateway_) != Among || Each.View_->SentAt_ < From ||
        Each.View_->SentAt_ >= To)
      continue;
    ++Counted.Sent_;
    Counted.Served_ += Each.View_->Status_ == 200 && Each.View_->Complete_ ? 1 : 0;
  }
  return Counted;
}

} // namespace

BOOST_DATA_TEST_CASE(CallersOfGatewaysThatReachNoEngineAreRefused, CutCases, Case) {
  SimulatedSite Site(Case.Seed_, makeModel(80), NineGateways);
  Site.runUntilLoaded();
  CallerLoad Load(Site);
  Site.queue().run(5s);
  const TimePoint Cut = Site.queue().now();
  for (const std::size_t Gateway : Case.CutOff_)
    Site.setLinkFault(Gateway, Case.Fault_);
  Site.queue().run(CutTime);
  const TimePoint Healed = Site.queue().now();
  for (const std::size_t Gateway : Case.CutOff_)
    Site.setLinkFault(Gateway, LinkFault::None);
  Site.queue().run(20s);

  const Service CutOff = count(Load, Case.CutOff_, true, Cut + StableWindow, Healed);
  const Service Others = count(Load, Case.CutOff_, false, Cut + StableWindow, Healed);
  BOOST_TEST_MESSAGE(Case.Name_ << ": cut off " << CutOff.Served_ << " of " << CutOff.Sent_
                                << ", others " << Others.Served_ << " of " << Others.Sent_);
  BOOST_TEST(CutOff.Sent_ > 0U);
  BOOST_TEST(CutOff.share() >= MinServiceRatio * Others.share());
  BOOST_TEST(Others.share() > 0.9);
  const Service After = count(Load, {}, false, Healed + 2s, Healed + 10s);
  BOOST_TEST(After.share() > 0.95);
  // No event is lost, doubled or joined from two answers, and no request is left behind.
  for (const Sent &Each : Load.Sent_)
    for (std::size_t I = 0; I < Each.View_->EventIds_.size(); ++I)
      BOOST_TEST_REQUIRE(Each.View_->EventIds_[I] == I + 1);
}
