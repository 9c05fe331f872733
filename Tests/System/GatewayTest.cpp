#include "Tests/System/GatewayDeployment.h"

#include "Core/Common/ErrorCode.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>
#include <thread>

using namespace rattancart;
using RunState = FakeLayerEngine::RunState;

namespace {

constexpr int Events = 150;

std::uint32_t statusOrZero(const HttpResult &Result) {
  return Result.Error_ ? 0 : Result.Response_.Status_;
}

void checkNoFaults(const Site &Platform) {
  const ActivityLog Ledger = Platform.activity();
  for (const std::string &Fault : Ledger.ProtocolErrors_)
    BOOST_ERROR(Fault);
}

/// What fails while a stream runs.
struct LossCase {
  const char *Name_;
  /// First is the engine to which the gateway sent the request.
  void (*Lose_)(GatewayDeployment &, const std::string &First);
};

std::ostream &operator<<(std::ostream &Out, const LossCase &Case) { return Out << Case.Name_; }

const LossCase LossCases[] = {
    {"the first engine crashes",
     [](GatewayDeployment &Gateways, const std::string &First) {
       Gateways.site().setEngineRunState(First, RunState::Stopped);
     }},
    {"the first engine falls silent",
     [](GatewayDeployment &Gateways, const std::string &First) {
       Gateways.site().setEngineRunState(First, RunState::Unresponsive);
     }},
    {"another engine of the path crashes",
     [](GatewayDeployment &Gateways, const std::string &First) {
       Gateways.site().setEngineRunState(Gateways.soleHolder("east", First), RunState::Stopped);
     }},
    {"another engine of the path falls silent",
     [](GatewayDeployment &Gateways, const std::string &First) {
       Gateways.site().setEngineRunState(Gateways.soleHolder("east", First),
                                         RunState::Unresponsive);
     }},
    {"an engine crashes while the store is away",
     [](GatewayDeployment &Gateways, const std::string &First) {
       Gateways.site().setStoreFault(StoreFault::Silent);
       Gateways.site().setEngineRunState(Gateways.soleHolder("east", First), RunState::Stopped);
     }},
};

/// When and how an engine fails at the start of a stream.
struct EarlyLossCase {
  const char *Name_;
  /// How many events were sent before.
  std::uint64_t Events_;
  RunState Life_;
  bool LosesFirst_;
};

std::ostream &operator<<(std::ostream &Out, const EarlyLossCase &Case) { return Out << Case.Name_; }

const EarlyLossCase EarlyLossCases[] = {
    {"first engine crashes while it reads the prompt", 0, RunState::Stopped, true},
    {"first engine falls silent while it reads the prompt", 0, RunState::Unresponsive, true},
    {"another engine crashes while the prompt is read", 0, RunState::Stopped, false},
    {"another engine falls silent while the prompt is read", 0, RunState::Unresponsive, false},
    {"first engine crashes after the first event", 1, RunState::Stopped, true},
    {"another engine falls silent after the first event", 1, RunState::Unresponsive, false},
};

/// How the owner of a placement fails. A frozen owner continues later and must give the placement
/// up to its successor.
struct OwnerCase {
  const char *Name_;
  bool Frozen_;
  StoreFault Store_;
};

std::ostream &operator<<(std::ostream &Out, const OwnerCase &Case) { return Out << Case.Name_; }

const OwnerCase OwnerCases[] = {
    {"frozen", true, StoreFault::None},
    {"killed", false, StoreFault::None},
    {"frozen while the store is away", true, StoreFault::Silent},
    {"killed while the store is away", false, StoreFault::Silent},
};

/// How a desk (the service of bookings) fails a booking or lookup, and the statuses that the caller
/// may get.
struct DeskCase {
  const char *Name_;
  DeskFault Fault_;
  const char *Method_;
  const char *Path_;
  std::set<std::uint32_t> Statuses_;
  /// How often the desks run the request, at least and at most.
  std::size_t LeastRuns_;
  std::size_t MostRuns_;
};

std::ostream &operator<<(std::ostream &Out, const DeskCase &Case) { return Out << Case.Name_; }

const DeskCase DeskCases[] = {
    {"booking", DeskFault::None, "POST", site::BookPath, {200}, 1, 1},
    {"booking is shed", DeskFault::Refuses, "POST", site::BookPath, {503}, 0, 0},
    {"booking fails", DeskFault::Fails, "POST", site::BookPath, {500}, 1, 1},
    {"booking's answer is lost", DeskFault::LosesAnswer, "POST", site::BookPath, {502}, 1, 1},
    {"booking is never answered", DeskFault::Hangs, "POST", site::BookPath, {504}, 1, 1},
    {"booking's answer bears no signature",
     DeskFault::OmitsStamp,
     "POST",
     site::BookPath,
     {502},
     1,
     1},
    {"lookup", DeskFault::None, "GET", site::LookupPath, {200}, 1, 1},
    {"lookup is shed", DeskFault::Refuses, "GET", site::LookupPath, {503}, 0, 0},
    {"lookup fails at each desk", DeskFault::Fails, "GET", site::LookupPath, {500}, 2, 2},
    {"lookup's answers are lost", DeskFault::LosesAnswer, "GET", site::LookupPath, {502}, 2, 2},
    {"booking's answer ends with its connection",
     DeskFault::UntilClose,
     "POST",
     site::BookPath,
     {200},
     1,
     1},
    {"lookup's answer ends with its connection",
     DeskFault::UntilClose,
     "GET",
     site::LookupPath,
     {200},
     1,
     1},
    {"booking's answer without a length is reset",
     DeskFault::ResetsBody,
     "POST",
     site::BookPath,
     {502},
     1,
     1},
    {"lookup's answers without a length are reset",
     DeskFault::ResetsBody,
     "GET",
     site::LookupPath,
     {502},
     2,
     2},
    {"booking's answer is cut in its chunks",
     DeskFault::CutsChunks,
     "POST",
     site::BookPath,
     {502},
     1,
     1},
    {"lookup's answers are cut in their chunks",
     DeskFault::CutsChunks,
     "GET",
     site::LookupPath,
     {502},
     2,
     2},
    {"booking's answer has no end", DeskFault::EndlessBody, "POST", site::BookPath, {502}, 1, 1},
    {"lookup's answers have no end", DeskFault::EndlessBody, "GET", site::LookupPath, {502}, 2, 2},
};

/// A request that a gateway receives after a shutdown has closed its listening socket.
struct LateCase {
  const char *Name_;
  const char *Method_;
  const char *Path_;
  const char *TimeBudget_;
  std::uint32_t Status_;
};

std::ostream &operator<<(std::ostream &Out, const LateCase &Case) { return Out << Case.Name_; }

const LateCase LateCases[] = {
    {"may outlast the shutdown", "POST", site::BriefPath, "20000", 503},
    {"ends before the shutdown", "GET", site::LookupPath, "500", 200},
};

} // namespace

BOOST_DATA_TEST_CASE(StreamResumesAfterLossOfAnEngine, LossCases, Case) {
  GatewayDeployment Deployment({"east", "west"});
  auto Answer = Deployment.callAsync(0, "brief-1", "POST", site::BriefPath, Events);
  const std::string First = Deployment.awaitStream();
  Case.Lose_(Deployment, First);
  const HttpResult Result = Answer.get();
  BOOST_TEST(statusOrZero(Result) == 200U);
  BOOST_TEST(consistsOfEvents(Result.Response_.Body_, 1, Events));
  // The response headers are those of the engine that began the stream.
  BOOST_TEST(Result.Response_.Headers_.get("X-Response-Stamp") == First);
  BOOST_TEST(Deployment.site().activity().Executions_["brief-1"].size() == 2U);
  Deployment.site().setStoreFault(StoreFault::None);
  // The remaining engines load the missing layers, and the next request is served.
  GatewayDeployment::await([&] { return Deployment.site().holdsAllLayers("east"); },
                           "the model to be whole again");
  BOOST_TEST(consistsOfEvents(
      Deployment.call(0, "brief-2", "POST", site::BriefPath, 5).Response_.Body_, 1, 5));
  const std::string Metrics = Deployment.metrics(0);
  for (const char *Line : {"rattancart_gateway_resume_seconds_count{kind=\"engines\"} 1",
                           "rattancart_gateway_store_calls_total{kind=\"join ok\"}",
                           "rattancart_gateway_loop_delay_seconds_count"})
    BOOST_TEST(Metrics.find(Line) != std::string::npos, Line << " in " << Metrics);
  checkNoFaults(Deployment.site());
}

BOOST_DATA_TEST_CASE(StreamIsServedOverLossOfAnEngineAtItsStart, EarlyLossCases, Case) {
  SiteOptions Options;
  Options.PrefillTime_ = std::chrono::milliseconds(500);
  GatewayDeployment Deployment({"east", "west"}, Options);
  auto Answer = Deployment.callAsync(0, "brief-1", "POST", site::BriefPath, Events);
  const std::string First = Deployment.awaitStream(Case.Events_);
  Deployment.site().setEngineRunState(
      Case.LosesFirst_ ? First : Deployment.soleHolder("east", First), Case.Life_);
  const HttpResult Result = Answer.get();
  BOOST_TEST(statusOrZero(Result) == 200U);
  BOOST_TEST(consistsOfEvents(Result.Response_.Body_, 1, Events));
  BOOST_TEST(Deployment.site().activity().Executions_["brief-1"].size() ==
             (Case.Events_ > 0 ? 2U : 1U));
  checkNoFaults(Deployment.site());
}

BOOST_AUTO_TEST_CASE(EndlessEventIsReadOnlyUntilItsTimeout) {
  GatewayDeployment Deployment({"east", "west"});
  auto Answer = Deployment.callAsync(0, "brief-1", "POST", site::BriefPath, Events);
  Deployment.site().setEngineSendsEndlessEvent(Deployment.awaitStream());
  const HttpResult Result = Answer.get();
  BOOST_TEST(consistsOfEvents(Result.Response_.Body_, 1, Events));
  BOOST_TEST(Deployment.site().activity().EndlessBytesSent_ < MaxEndlessBytes / 4);
  checkNoFaults(Deployment.site());
}

BOOST_AUTO_TEST_CASE(RequestsBeyondTheEnginesMemoryAreRefusedAndDontRun) {
  const int Callers = 24;
  const int Prompt = 9000;
  GatewayDeployment Deployment({"east"}, {{{"east", {{"h100", 1}, {"l4", 8}}}}});
  std::vector<std::future<HttpResult>> Answers;
  Answers.reserve(Callers);
  for (int I = 0; I < Callers; ++I)
    Answers.push_back(Deployment.callAsync(0, "brief-" + std::to_string(I), "POST", site::BriefPath,
                                           3 * Events, Prompt));
  std::size_t Served = 0;
  for (int I = 0; I < Callers; ++I) {
    const HttpResult Result = Answers[static_cast<std::size_t>(I)].get();
    const auto Runs = Deployment.site().activity().Executions_["brief-" + std::to_string(I)];
    BOOST_TEST_CONTEXT("caller " << I) {
      if (statusOrZero(Result) == 200U) {
        ++Served;
        BOOST_TEST(consistsOfEvents(Result.Response_.Body_, 1, 3 * Events));
        continue;
      }
      BOOST_TEST(statusOrZero(Result) == 503U);
      BOOST_TEST(!Result.Response_.Headers_.get("Retry-After").empty());
      BOOST_TEST(Runs.empty());
    }
  }
  BOOST_TEST(Served > 0U);
  BOOST_TEST(Served < static_cast<std::size_t>(Callers));
  checkNoFaults(Deployment.site());
}

BOOST_AUTO_TEST_CASE(AStreamThatLosesItsPathTwiceIsSentToNoMoreEnginesThanItsRouteAllows) {
  GatewayDeployment Deployment({"east", "west"});
  auto Answer = Deployment.callAsync(0, "brief-1", "POST", site::BriefPath, 3 * Events);
  const std::string First = Deployment.awaitStream();
  // The engines to which the request is sent keep running; one other engine of each path is lost.
  Deployment.site().setEngineRunState(Deployment.soleHolder("east", First), RunState::Stopped);
  std::string Second;
  GatewayDeployment::await(
      [&] {
        const auto Runs = Deployment.site().activity().Executions_["brief-1"];
        Second = Runs.back();
        return Runs.size() == 2;
      },
      "the stream to resume");
  GatewayDeployment::await([&] { return Deployment.site().holdsAllLayers("east"); },
                           "the model to be whole again");
  Deployment.site().setEngineRunState(Deployment.soleHolder("west", Second), RunState::Stopped);
  const HttpResult Result = Answer.get();
  const auto Runs = Deployment.site().activity().Executions_["brief-1"];
  BOOST_TEST(std::set<std::string>(Runs.begin(), Runs.end()).size() <= 2U);
  // Its first engine still runs, so the stream can be sent to it again.
  BOOST_TEST(consistsOfEvents(Result.Response_.Body_, 1, 3 * Events));
  checkNoFaults(Deployment.site());
}

BOOST_AUTO_TEST_CASE(AnEngineThatLeftAsPlannedCountsForTheRoutesLimit) {
  GatewayDeployment Deployment({"east", "west", "south"}, {{{"east", {{"h100", 1}, {"l4", 8}}},
                                                            {"west", {{"h100", 1}, {"l4", 8}}},
                                                            {"south", {{"h100", 1}, {"l4", 8}}}}});
  auto Answer = Deployment.callAsync(0, "brief-1", "POST", site::BriefPath, 3 * Events);
  const std::string First = Deployment.awaitStream();
  Deployment.site().drainEngine(First);
  GatewayDeployment::await([&] { return Deployment.seesEndpointLeaving(0, First); },
                           "the gateway to know that the engine leaves");
  Deployment.site().setEngineRunState(First, RunState::Stopped);
  std::string Second;
  GatewayDeployment::await(
      [&] {
        const auto Runs = Deployment.site().activity().Executions_["brief-1"];
        Second = Runs.back();
        return Runs.size() == 2;
      },
      "the stream to resume");
  // Of the data centre of the second engine only this engine keeps running.
  const std::string DataCenter = Second.substr(0, Second.find('-'));
  const auto Held = Deployment.site().layers();
  for (const auto &[Id, Range] : Held)
    if (Id.starts_with(DataCenter) && Id != Second)
      Deployment.site().setEngineRunState(Id, RunState::Stopped);
  Answer.get();
  const auto Runs = Deployment.site().activity().Executions_["brief-1"];
  BOOST_TEST(std::set<std::string>(Runs.begin(), Runs.end()).size() == 2U);
}

BOOST_DATA_TEST_CASE(ADeskRunsABookingAtMostOnce, DeskCases, Case) {
  GatewayDeployment Deployment({"east"}, {{{"east", {}}, {"west", {}}}});
  Deployment.site().setDeskFault(Case.Fault_);
  const HttpResult Result = Deployment.call(0, "call-1", Case.Method_, Case.Path_);
  BOOST_TEST(Case.Statuses_.contains(statusOrZero(Result)), "status " << statusOrZero(Result));
  // A success is passed on whole.
  if (statusOrZero(Result) == 200U)
    BOOST_TEST(Result.Response_.Body_.ends_with("}"));
  const ActivityLog Ledger = Deployment.site().activity();
  const auto Runs = Ledger.Executions_.find("call-1");
  const std::size_t Count = Runs == Ledger.Executions_.end() ? 0 : Runs->second.size();
  BOOST_TEST(Count >= Case.LeastRuns_);
  BOOST_TEST(Count <= Case.MostRuns_);
  BOOST_TEST(Ledger.EndlessBytesSent_ < MaxEndlessBytes);
  // Status 503 guarantees that the booking did not run and will not run.
  if (statusOrZero(Result) == 503)
    BOOST_TEST(Ledger.Bookings_.empty());
}

BOOST_AUTO_TEST_CASE(KeysFollowTheNewestConfigurationAlsoAfterLostHistory) {
  GatewayDeployment Deployment({"east"}, {{{"east", {}}}});
  const auto Status = [&](const char *Key) {
    return statusOrZero(Deployment.call(0, "k", "GET", site::LookupPath, 0, Key));
  };
  BOOST_TEST(Status("key-1") == 200U);
  BOOST_TEST(Status("key-2") == 401U);
  Deployment.site().writeConfig({"key-2"});
  GatewayDeployment::await([&] { return Status("key-2") == 200; }, "the new key");
  BOOST_TEST(Status("key-1") == 401U);
  Deployment.site().setStoreFault(StoreFault::Unavailable);
  Deployment.site().writeConfig({"key-3"});
  Deployment.site().truncateLogs();
  BOOST_TEST(Status("key-2") == 200U);
  Deployment.site().setStoreFault(StoreFault::None);
  GatewayDeployment::await([&] { return Status("key-3") == 200; }, "the newest key");
  BOOST_TEST(Status("key-2") == 401U);
  BOOST_TEST(statusOrZero(Deployment.call(0, "n", "GET", "/nowhere/1")) == 404U);
}

// Guards against a gateway that serves requests with any key, or with none, once the last customer
// is removed (review/2).
BOOST_AUTO_TEST_CASE(NoRequestIsServedOnceTheLastCustomerIsRemoved) {
  GatewayDeployment Deployment({"east"}, {{{"east", {}}}});
  const auto Status = [&](const char *Id, const char *Key) {
    return statusOrZero(Deployment.call(0, Id, "POST", site::BookPath, 0, Key));
  };
  BOOST_TEST(Status("before", "key-1") == 200U);
  Deployment.site().writeConfigWithoutCustomers();
  GatewayDeployment::await(
      [&] {
        return Deployment.metrics(0).find("rattancart_gateway_config_revision 6") !=
               std::string::npos;
      },
      "the configuration without customers");
  for (const char *Key : {"key-1", "key-never-held", ""})
    BOOST_TEST(Status("after", Key) == 401U, "key '" << Key << "'");
  BOOST_TEST(!Deployment.site().activity().Executions_.contains("after"));
  Deployment.site().writeConfig({"key-2"});
  GatewayDeployment::await([&] { return Status("again", "key-2") == 200; }, "a customer again");
}

BOOST_AUTO_TEST_CASE(LeavingEngineGetsNoNewRequests) {
  GatewayDeployment Deployment({"east", "west"});
  BOOST_TEST(statusOrZero(Deployment.call(0, "a", "POST", site::BriefPath, 3)) == 200U);
  const std::string First = Deployment.site().activity().Executions_["a"].front();
  Deployment.site().drainEngine(First);
  GatewayDeployment::await(
      [&] {
        const std::string Id = "b" + std::to_string(std::rand());
        Deployment.call(0, Id, "POST", site::BriefPath, 3);
        const auto Runs = Deployment.site().activity().Executions_[Id];
        return !Runs.empty() && Runs.front() != First;
      },
      "requests to go elsewhere");
  for (int I = 0; I < 10; ++I) {
    const std::string Id = "c" + std::to_string(I);
    const HttpResult Result = Deployment.call(0, Id, "POST", site::BriefPath, 3);
    BOOST_TEST(consistsOfEvents(Result.Response_.Body_, 1, 3));
    const auto Runs = Deployment.site().activity().Executions_[Id];
    for (const std::string &Engine : Runs)
      BOOST_TEST(Engine != First);
  }
}

// Guards against a placement owner that sends one order after the other to an engine whose address
// another one has now, so that the layers that are lost are loaded nowhere.
BOOST_AUTO_TEST_CASE(LayersOfAnEngineWhoseAddressIsTakenAreLoadedElsewhere) {
  GatewayDeployment Deployment({"east", "west"});
  BOOST_TEST(statusOrZero(Deployment.call(0, "a", "POST", site::BriefPath, 3)) == 200U);
  const std::size_t Owner = Deployment.placementOwner("east");
  const std::string Replaced = Deployment.soleHolder("east", "");
  Deployment.site().replaceEngine(Replaced);
  GatewayDeployment::await([&] { return Deployment.site().holdsAllLayers("east"); },
                           "the model to be whole again");
  for (int I = 0; I < 5; ++I) {
    const HttpResult Result =
        Deployment.call(0, "b" + std::to_string(I), "POST", site::BriefPath, 3);
    BOOST_TEST(consistsOfEvents(Result.Response_.Body_, 1, 3));
  }
  BOOST_TEST(Deployment.site().activity().MisdirectedOrders_[Replaced] <= 1U);
  const std::string Metrics = Deployment.metrics(Owner);
  for (const char *Line : {"rattancart_gateway_addresses_taken_total",
                           "rattancart_gateway_placement_losses_total", "state=\"address_taken\""})
    BOOST_TEST(Metrics.find(Line) != std::string::npos, Line << " in " << Metrics);
  checkNoFaults(Deployment.site());
}

BOOST_AUTO_TEST_CASE(EngineLeavingDuringStoreOutageIsNotTriedByEachRequest) {
  GatewayDeployment Deployment({"east", "west"});
  BOOST_TEST(statusOrZero(Deployment.call(0, "a", "POST", site::BriefPath, 3)) == 200U);
  Deployment.site().setStoreFault(StoreFault::Silent);
  const std::string Leaving = Deployment.soleHolder("east", "");
  Deployment.site().drainEngine(Leaving);
  // After some requests, four in a row must be served without one try at the leaving engine.
  int Untouched = 0;
  for (int Call = 0; Call < 300 && Untouched < 4; ++Call) {
    const std::size_t Before = Deployment.site().activity().Refusals_[Leaving];
    const std::string Id = "b" + std::to_string(Call);
    const HttpResult Result = Deployment.call(0, Id, "POST", site::BriefPath, 3);
    BOOST_TEST(consistsOfEvents(Result.Response_.Body_, 1, 3));
    Untouched = Deployment.site().activity().Refusals_[Leaving] == Before ? Untouched + 1 : 0;
  }
  BOOST_TEST(Untouched == 4);
  Deployment.site().setStoreFault(StoreFault::None);
}

BOOST_DATA_TEST_CASE(AnotherGatewayTakesOverThePlacement, OwnerCases, Case) {
  GatewayDeployment Deployment({"east", "east"}, {{{"east", {{"h100", 1}, {"l4", 8}}}}});
  const std::size_t Owner = Deployment.placementOwner("east");
  Deployment.site().setStoreFault(Case.Store_);
  if (Case.Frozen_)
    Deployment.gateway(Owner).pause();
  else
    Deployment.gateway(Owner).kill();
  Deployment.site().setLoseOrderAnswers(true);
  Deployment.site().setEngineRunState(Deployment.soleHolder("east", ""), RunState::Stopped);
  GatewayDeployment::await([&] { return Deployment.site().holdsAllLayers("east"); },
                           "the other gateway to close the gap");
  Deployment.gateway(Owner).resume();
  Deployment.site().setLoseOrderAnswers(false);
  int Tries = 0;
  GatewayDeployment::await(
      [&] {
        const std::string Id = "a" + std::to_string(++Tries);
        return consistsOfEvents(
            Deployment.call(1 - Owner, Id, "POST", site::BriefPath, 5).Response_.Body_, 1, 5);
      },
      "a request to be served");
  checkNoFaults(Deployment.site());
}

BOOST_AUTO_TEST_CASE(GatewaysOutsideTheOwnersListTakeOverThePlacement) {
  // An owner lists eight gateways as possible successors, in order of their addresses and including
  // itself.
  constexpr std::size_t ListedCount = 8;
  const std::vector<std::string> DataCenters(12, "east");
  GatewayDeployment Deployment(DataCenters, {{{"east", {{"h100", 3}}}}});
  const std::size_t Owner = Deployment.placementOwner("east");
  Deployment.site().setStoreFault(StoreFault::Silent);
  for (std::size_t I = 0; I < ListedCount; ++I)
    Deployment.gateway(I).pause();
  Deployment.gateway(Owner).pause();
  // The last one on the list would have taken over after 8 s without a message of the owner.
  std::this_thread::sleep_for(std::chrono::seconds(11));
  for (std::size_t I = ListedCount; I < DataCenters.size(); ++I)
    if (I != Owner)
      BOOST_TEST(!Deployment.ownsPlacement(I));
}

BOOST_AUTO_TEST_CASE(RequestsAreServedDuringStoreOutage) {
  for (const StoreFault Fault :
       {StoreFault::Unavailable, StoreFault::Silent, StoreFault::LosesAnswers}) {
    GatewayDeployment Deployment({"east"}, {{{"east", {{"h100", 3}}}}});
    Deployment.site().setStoreFault(Fault);
    for (int I = 0; I < 5; ++I) {
      const std::string Id = std::to_string(I);
      BOOST_TEST(consistsOfEvents(
          Deployment.call(0, "s" + Id, "POST", site::BriefPath, 5).Response_.Body_, 1, 5));
      BOOST_TEST(statusOrZero(Deployment.call(0, "b" + Id, "POST", site::BookPath)) == 200U);
    }
  }
}

BOOST_AUTO_TEST_CASE(ShutdownFinishesRunningStreams) {
  GatewayDeployment Deployment({"east"}, {{{"east", {{"h100", 3}}}}});
  auto Answer = Deployment.callAsync(0, "brief-1", "POST", site::BriefPath, Events);
  Deployment.awaitStream();
  Deployment.gateway(0).terminate();
  GatewayDeployment::await([&] { return !Deployment.isReady(0); },
                           "the gateway to report that it is not ready");
  BOOST_TEST(consistsOfEvents(Answer.get().Response_.Body_, 1, Events));
  BOOST_TEST(Deployment.gateway(0).wait() == 0);
}

BOOST_AUTO_TEST_CASE(RepeatedShutdownSignalCutsNoStream) {
  GatewayDeployment Deployment({"east"}, {{{"east", {{"h100", 3}}}}});
  auto Answer = Deployment.callAsync(0, "brief-1", "POST", site::BriefPath, Events);
  Deployment.awaitStream();
  Deployment.gateway(0).terminate();
  GatewayDeployment::await([&] { return !Deployment.isReady(0); },
                           "the gateway to report that it is not ready");
  Deployment.gateway(0).terminate();
  BOOST_TEST(consistsOfEvents(Answer.get().Response_.Body_, 1, Events));
  BOOST_TEST(Deployment.gateway(0).wait() == 0);
}

BOOST_DATA_TEST_CASE(RequestOnAKeptConnectionLateInAShutdownIsAnsweredOrRefused, LateCases, Case) {
  GatewayDeployment Deployment({"east"}, {{{"east", {{"h100", 3}}}}});
  boost::asio::io_context Loop;
  HttpClient Client(Loop);
  const auto Call = [&](const char *Id, const char *Method, const char *Path, int EventCount,
                        const char *TimeBudget) {
    HttpRequest Request;
    Request.Method_ = Method;
    Request.Target_ = Path;
    Request.Headers_.add("Host", site::Host);
    Request.Headers_.add("X-Attempt-Id", Id);
    Request.Headers_.add("Authorization", "Token key-1");
    Request.Headers_.add("X-Token-Counts", "700," + std::to_string(EventCount));
    Request.Headers_.add("X-Deadline-Ms", TimeBudget);
    HttpSendOptions Options;
    Options.KeepHost_ = true;
    Options.ResponseTimeout_ = std::chrono::seconds(30);
    std::optional<HttpResult> Received;
    Client.send(Deployment.address(0), std::move(Request), Options,
                [&](HttpResult Result) { Received = std::move(Result); });
    while (!Received)
      Loop.run_one();
    return *Received;
  };
  auto First = std::async(std::launch::async, [&] {
    return Call("brief-1", "POST", site::BriefPath, 3 * Events, "20000");
  });
  Deployment.awaitStream();
  Deployment.gateway(0).terminate();
  GatewayDeployment::await(
      [&] {
        return Deployment.call(0, "probe", "GET", site::LookupPath).Error_ ==
               ErrorCode::ConnectFailed;
      },
      "the gateway to accept no more connections");
  BOOST_TEST(consistsOfEvents(First.get().Response_.Body_, 1, 3 * Events));
  const HttpResult Second = Call("late", Case.Method_, Case.Path_, 100 * Events, Case.TimeBudget_);
  BOOST_TEST(Second.Reused_);
  BOOST_TEST(statusOrZero(Second) == Case.Status_);
  BOOST_TEST(Deployment.site().activity().Executions_.contains("late") == (Case.Status_ == 200));
  BOOST_TEST(Deployment.gateway(0).wait() == 0);
}

namespace {

/// A request that outlasts a shutdown.
struct OutlastingCase {
  const char *Name_;
  const char *Method_;
  const char *Path_;
  /// Whether it arrives after the signal, while requests are still taken.
  bool AfterSignal_;
};

std::ostream &operator<<(std::ostream &Out, const OutlastingCase &Case) {
  return Out << Case.Name_;
}

const OutlastingCase OutlastingCases[] = {
    {"a booking", "POST", site::BookPath, false},
    {"a booking after the signal", "POST", site::BookPath, true},
    {"a lookup", "GET", site::LookupPath, false},
    {"a stream without an event", "POST", site::BriefPath, false},
};

} // namespace

BOOST_DATA_TEST_CASE(ARequestThatOutlastsAShutdownIsCutWithoutAnAnswer, OutlastingCases, Case) {
  SiteOptions Options{{{"east", {{"h100", 3}}}}};
  // Long enough for a request on a busy machine, and shorter than the route's timeout.
  Options.ShutdownGrace_ = std::chrono::milliseconds(1500);
  Options.ShutdownLimit_ = std::chrono::seconds(2);
  GatewayDeployment Deployment({"east"}, Options);
  Deployment.site().setDeskFault(DeskFault::Hangs);
  Deployment.site().setEnginePrefillTime(std::chrono::seconds(20));
  const int EventCount = std::string(Case.Path_) == site::BriefPath ? 10 : 0;
  const auto Send = [&] {
    return Deployment.callAsync(0, "late", Case.Method_, Case.Path_, EventCount);
  };
  std::future<HttpResult> Answer;
  if (!Case.AfterSignal_)
    Answer = Send();
  const auto HasArrived = [&] {
    const auto Arrivals = Deployment.site().activity().Arrivals_;
    return std::any_of(Arrivals.begin(), Arrivals.end(),
                       [](const ReceivedRequest &Each) { return Each.Id_ == "late"; });
  };
  if (!Case.AfterSignal_)
    GatewayDeployment::await(HasArrived, "the request to arrive");
  Deployment.gateway(0).terminate();
  if (Case.AfterSignal_)
    Answer = Send();
  const HttpResult Result = Answer.get();
  BOOST_TEST(!Result.Error_);
  BOOST_TEST(Result.Response_.Status_ == 504U);
  BOOST_TEST(HasArrived());
  BOOST_TEST(Deployment.gateway(0).wait() == 0);
}

BOOST_AUTO_TEST_CASE(KilledGatewaysServeAgainAfterRestart) {
  GatewayDeployment Deployment({"east", "west"});
  const auto Before = Deployment.site().layers();
  Deployment.site().writeConfig({"key-1", "key-2"});
  for (std::size_t I = 0; I < 2; ++I)
    Deployment.gateway(I).kill();
  for (std::size_t I = 0; I < 2; ++I)
    Deployment.restart(I);
  GatewayDeployment::await(
      [&] {
        return statusOrZero(Deployment.call(0, "a", "POST", site::BriefPath, 5, "key-2")) == 200;
      },
      "a request to be served");
  // The new owners keep the layers that the engines already hold.
  for (const auto &[Id, Range] : Deployment.site().layers())
    BOOST_TEST((Before.at(Id) == Range), Id);
}
