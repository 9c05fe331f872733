#include "SiteModel/SimulatedSite.h"
#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

using Views = std::vector<std::shared_ptr<CallerView>>;

const std::vector<SimulatedSite::DataCenterSetup> TwoDataCenters = {
    {"east", {{"h100", 1}, {"l4", 8}}}, {"west", {{"h100", 1}, {"l4", 8}}}};

Views sendRequests(SimulatedSite &Site, std::size_t Count, double Prompt, std::uint64_t Events) {
  Views Sent(Count);
  for (auto &View : Sent)
    View = Site.sendRequest(0, Prompt, Events);
  return Sent;
}

void checkServed(const Views &Sent) {
  for (const auto &View : Sent) {
    BOOST_TEST_CONTEXT(View->Id_) {
      BOOST_TEST(View->Status_ == 200U);
      BOOST_TEST(View->Complete_);
      BOOST_TEST(!View->Aborted_);
      BOOST_TEST(View->EventIds_.size() == View->ExpectedEvents_);
      for (std::size_t I = 0; I < View->EventIds_.size(); ++I)
        BOOST_TEST(View->EventIds_[I] == I + 1);
    }
  }
}

} // namespace

// An engine that only answers late still runs its streams, so a stream must not depend on the path
// that it tries instead.
BOOST_AUTO_TEST_CASE(StreamsOfRunningEnginesAreCutWhenTheNextPathFails) {
  struct Row {
    const char *Name_;
    /// Time from the requests to the false alarm.
    Duration RunsFor_;
    /// The engines of the next path crash; otherwise they refuse new requests.
    bool NextPathCrashes_;
  };
  for (const Row &Each : {Row{"a stream is refused", 1s, false},
                          Row{"a request without an event is refused", 5ms, false},
                          Row{"a stream loses the next path", 1s, true},
                          Row{"a request without an event loses the next path", 5ms, true}}) {
    for (const EndpointId &Late :
         SimulatedSite(1, makeModel(80), TwoDataCenters).engineIds("east")) {
      SimulatedSite Site(1, makeModel(80), TwoDataCenters);
      Site.runUntilLoaded();
      const Views Sent = sendRequests(Site, 4, 300, 80);
      Site.queue().run(Each.RunsFor_);
      for (const EndpointId &Id : Site.engineIds(Each.NextPathCrashes_ ? "east" : ""))
        Site.engines().setLeaving(Id, true);
      Site.simulateFalseSilence(Late);
      Site.queue().run(5ms);
      if (Each.NextPathCrashes_)
        for (const EndpointId &Id : Site.engineIds("west"))
          Site.engines().setCondition(Id, EngineCondition::Stopped);
      Site.queue().run(20s);
      BOOST_TEST_CONTEXT(Each.Name_ << ", " << Late.str() << " late") {
        checkServed(Sent);
        BOOST_TEST(Site.inFlight() == 0U);
        BOOST_TEST(Site.engines().running() == 0U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(EnginesWorkForACallerThatLeftWhileTwoPathsWereTried) {
  SimulatedSite Site(1, makeModel(80), TwoDataCenters);
  Site.runUntilLoaded();
  const Views Sent = sendRequests(Site, 4, 2000, 80);
  Site.queue().run(1s);
  const std::size_t Before = Site.engines().running();
  for (const EndpointId &Id : Site.engineIds("east"))
    Site.simulateFalseSilence(Id);
  Site.queue().run(1ms);
  BOOST_TEST(Site.engines().running() > Before);
  for (const auto &View : Sent)
    View->leave();
  Site.queue().run(100ms);
  BOOST_TEST(Site.engines().running() == 0U);
  BOOST_TEST(Site.inFlight() == 0U);
}

// An engine that leaves the list serves on for some seconds, and nothing tells that it is lost.
BOOST_AUTO_TEST_CASE(RequestsWithoutAnEventFailWhenTheirEngineLeavesTheList) {
  struct Row {
    const char *Name_;
    /// Prompts are read one after the other, at about 15 ms each.
    std::size_t Requests_;
    Duration RunsFor_;
  };
  for (const Row &Each : {Row{"soon after the send", 60, 5ms}, Row{"later", 60, 250ms},
                          Row{"a longer wait", 120, 100ms}}) {
    SimulatedSite Site(1, makeModel(80), {{"east", {{"huge", 1}}}});
    Site.runUntilLoaded();
    const Views Sent = sendRequests(Site, Each.Requests_, 3000, 10);
    Site.queue().run(Each.RunsFor_);
    Site.setListed(Site.engineIds().front(), false);
    Site.queue().run(20s);
    BOOST_TEST_CONTEXT(Each.Name_) {
      checkServed(Sent);
      // Guards against first events that come before the time limit.
      BOOST_TEST((Sent.back()->TimeToFirstEvent_ > 700ms || Sent.back()->Status_ != 200U));
      BOOST_TEST(Site.inFlight() == 0U);
    }
  }
}
