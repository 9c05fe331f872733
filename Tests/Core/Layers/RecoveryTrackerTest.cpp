#include "Core/Layers/RecoveryTracker.h"
#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

const ServiceId Service("model");
const DataCenterId Home("home");
const TimePoint Start{1h};

using Kind = RecoveryEvent::Kind;

/// Engines that each have memory for the whole model and more; three hold the first half of its
/// layers, three the second.
class Site {
public:
  Site() {
    for (int I = 0; I < 6; ++I) {
      EndpointListing Listing;
      Listing.Id_ = EndpointId("e" + std::to_string(I));
      Listing.Service_ = Service;
      Listing.DataCenter_ = Home;
      Listing.Address_ = NetAddress(Listing.Id_.str());
      Listing.Run_ = Incarnation(1);
      Listing.Kind_ = "huge";
      Listing.Layers_ = I < 3 ? LayerRange{0, 40} : LayerRange{40, 80};
      Roster_.updateListing(Listing, Start);
    }
    BOOST_TEST(update(0ms).empty());
  }

  std::vector<RecoveryEvent> update(Duration Time) {
    return Tracker_.update(Model_, Service, Home, Roster_, Start + Time);
  }
  void remove(const std::string &Id) {
    Removed_.push_back(Roster_.find(EndpointId(Id))->Listing_);
    Roster_.removeListing(EndpointId(Id), std::nullopt, Start);
  }
  void relist(EndpointListing Listing, LayerRange Layers) {
    Listing.Run_ = Incarnation(Listing.Run_.value() + 1);
    Listing.Layers_ = Layers;
    Roster_.updateListing(Listing, Start);
  }

  EndpointRoster Roster_;
  RecoveryTracker Tracker_;
  std::vector<EndpointListing> Removed_;

private:
  LayeredModel Model_ = makeModel(80);
};

struct LossCase {
  const char *Name_;
  std::function<void(Site &)> Lose_;
  bool IsLoss_;
};

std::ostream &operator<<(std::ostream &Out, const LossCase &Case) { return Out << Case.Name_; }

const EndpointId First("e0");

EndpointListing changed(const Site &At, std::uint64_t Run, LayerRange Layers, EndpointState State) {
  EndpointListing Listing = At.Roster_.find(First)->Listing_;
  Listing.Run_ = Incarnation(Run);
  Listing.Layers_ = Layers;
  Listing.State_ = State;
  return Listing;
}

const LossCase LossCases[] = {
    {"an engine ends", [](Site &At) { At.remove("e0"); }, true},
    {"an engine falls silent", [](Site &At) { At.Roster_.markSilent(First, Start, Start + 10s); },
     true},
    {"an engine restarts without layers",
     [](Site &At) { At.Roster_.updateListing(changed(At, 2, {}, EndpointState::Live), Start); },
     true},
    {"an engine leaves",
     [](Site &At) {
       At.Roster_.updateListing(changed(At, 1, {0, 40}, EndpointState::Leaving), Start);
     },
     true},
    {"the address of an engine is taken",
     [](Site &At) { At.Roster_.noteAddressTaken(First, NetAddress("e0"), Incarnation(1), Start); },
     true},
    {"an engine changes its layers",
     [](Site &At) {
       At.Roster_.updateListing(changed(At, 1, {40, 80}, EndpointState::Live), Start);
     },
     false},
    {"nothing changes", [](Site &) {}, false},
};

} // namespace

BOOST_DATA_TEST_CASE(ALossBeginsARecovery, LossCases, Case) {
  Site At;
  Case.Lose_(At);
  const auto Events = At.update(100ms);
  BOOST_REQUIRE(Events.size() == (Case.IsLoss_ ? 1U : 0U));
  if (!Case.IsLoss_)
    return;
  BOOST_TEST((Events[0].Kind_ == Kind::Lost));
  BOOST_TEST(Events[0].Engines_ == 1U);
  BOOST_TEST(Events[0].Tokens_ < Events[0].TokensBefore_);
  BOOST_TEST((Events[0].WholeAfter_ == Duration{}));
  BOOST_TEST(At.update(200ms).empty());
}

BOOST_AUTO_TEST_CASE(TheTimesToAWholeModelAndToTheCapacityAreMeasuredFromTheFirstLoss) {
  Site At;
  At.remove("e0");
  At.remove("e1");
  BOOST_TEST(At.update(100ms).size() == 1U);
  At.remove("e2");
  BOOST_TEST(At.update(600ms).empty());
  At.relist(At.Removed_[0], {0, 40});
  auto Events = At.update(2100ms);
  BOOST_REQUIRE(Events.size() == 1U);
  BOOST_TEST((Events[0].Kind_ == Kind::Whole));
  BOOST_TEST((Events[0].Since_ == 2s));
  BOOST_TEST(Events[0].Engines_ == 3U);
  At.relist(At.Removed_[1], {});
  BOOST_TEST(At.update(2200ms).empty());
  At.relist(At.Removed_[1], {0, 40});
  At.relist(At.Removed_[2], {0, 40});
  Events = At.update(5100ms);
  BOOST_REQUIRE(Events.size() == 1U);
  BOOST_TEST((Events[0].Kind_ == Kind::Restored));
  BOOST_TEST((Events[0].Since_ == 5s));
  BOOST_TEST((Events[0].WholeAfter_ == 2s));
  // The next loss is another recovery.
  At.remove("e3");
  BOOST_TEST(At.update(6s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ARecoveryThatTakesTooLongIsGivenUp) {
  Site At;
  At.remove("e0");
  At.update(100ms);
  BOOST_TEST(At.update(60s).empty());
  const auto Events = At.update(61s);
  BOOST_REQUIRE(Events.size() == 1U);
  BOOST_TEST((Events[0].Kind_ == Kind::GivenUp));
  BOOST_TEST(At.update(62s).empty());
}

// A new owner must not take the engines that it has not heard of yet for lost ones.
BOOST_AUTO_TEST_CASE(ANewOwnerStartsWithoutARecovery) {
  Site At;
  At.remove("e0");
  BOOST_TEST(At.update(100ms).size() == 1U);
  At.Tracker_.reset();
  BOOST_TEST(At.update(200ms).empty());
  At.relist(At.Removed_[0], {0, 40});
  BOOST_TEST(At.update(1s).empty());
}
