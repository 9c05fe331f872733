#include "StandIns/EngineModel.h"

#include "StandIns/FakeInstanceList.h"
#include "StandIns/LinkModel.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct StepSpec {
  std::uint32_t Count_;
  std::uint32_t Priority_;
  std::string Prefix_;
};

struct BatchCase {
  std::string Name_;
  std::vector<StepSpec> Steps_;
  /// For each batch, the indexes of its requests in Steps_.
  std::vector<std::vector<std::size_t>> Batches_;
  std::vector<Duration> Times_;
};
std::ostream &operator<<(std::ostream &Out, const BatchCase &Case) { return Out << Case.Name_; }

// Two slots; 1 ms for each step and 10 us for each prefilled token.
const BatchCase BatchCases[] = {
    {"steps share a batch", {{1, 1, ""}, {1, 1, ""}}, {{0, 1}}, {1ms}},
    {"further steps wait", {{1, 1, ""}, {1, 1, ""}, {1, 1, ""}}, {{0, 1}, {2}}, {1ms, 1ms}},
    {"priority 0 goes first", {{1, 2, ""}, {1, 1, ""}, {1, 0, ""}}, {{2, 1}, {0}}, {1ms, 1ms}},
    {"prefill costs each token", {{100, 1, ""}, {1, 1, ""}}, {{0, 1}}, {2ms}},
    {"a cached prefix is not prefilled again",
     {{101, 1, "p"}, {1, 1, ""}, {101, 1, "p"}},
     {{0, 1}, {2}},
     {2010us, 1010us}},
};

EngineConfig config() {
  EngineConfig Config;
  Config.Model_ = ModelId("brief");
  Config.Version_ = ModelVersion("1");
  Config.Layers_ = {0, 8};
  Config.LayerCount_ = 8;
  Config.StepTime_ = 1ms;
  Config.PrefillTime_ = 10us;
  Config.Slots_ = 2;
  Config.CacheTokens_ = 200;
  return Config;
}

StepRequest request(std::size_t Index, const StepSpec &Spec) {
  StepRequest Request;
  Request.Request_ = RequestId(std::to_string(Index));
  Request.Attempt_ = AttemptNumber(1);
  Request.Model_ = ModelId("brief");
  Request.Version_ = ModelVersion("1");
  Request.Count_ = Spec.Count_;
  Request.Layers_ = {0, 8};
  Request.LayerCount_ = 8;
  Request.Priority_ = Spec.Priority_;
  Request.Prefix_ = Spec.Prefix_;
  Request.PrefixTokens_ = Spec.Count_;
  return Request;
}

} // namespace

BOOST_DATA_TEST_CASE(StepsAreBatched, data::make(BatchCases), Case) {
  ManualClock Time;
  EngineModel Engine(config());
  for (std::size_t Index = 0; Index < Case.Steps_.size(); ++Index) {
    const StepAdmission Admission = Engine.admit(request(Index, Case.Steps_[Index]), Time.now());
    BOOST_REQUIRE((Admission.Kind_ == StepAdmission::Kind::Run));
    const std::vector<std::string> Tokens(Case.Steps_[Index].Count_, "t");
    BOOST_TEST(Engine.supply(Admission.Id_, {Tokens, 0}));
  }
  for (std::size_t Round = 0; Round < Case.Batches_.size(); ++Round) {
    const std::optional<Duration> Took = Engine.startBatch();
    BOOST_REQUIRE(Took.has_value());
    BOOST_TEST(Took->count() == Case.Times_[Round].count());
    BOOST_TEST(!Engine.startBatch());
    std::vector<std::size_t> Ran;
    for (const FinishedStep &Step : Engine.finishBatch(Time.now()))
      Ran.push_back(std::stoul(Step.Result_.Step_.Request_.str()));
    BOOST_TEST(Ran == Case.Batches_[Round], boost::test_tools::per_element());
  }
  BOOST_TEST(!Engine.startBatch());
}

BOOST_AUTO_TEST_CASE(StepCancelledInItsBatchDoesNotRun) {
  ManualClock Time;
  EngineModel Engine(config());
  const StepAdmission Admission = Engine.admit(request(0, {1, 1, ""}), Time.now());
  Engine.supply(Admission.Id_, {{"t"}, 0});
  Engine.startBatch();
  Engine.cancel(RequestId("0"), AttemptNumber(1));
  BOOST_TEST(Engine.takeDropped().size() == 1U);
  BOOST_TEST(Engine.finishBatch(Time.now()).empty());
}

BOOST_AUTO_TEST_CASE(IdleSequencesExpire) {
  ManualClock Time;
  EngineModel Engine(config());
  const StepAdmission Admission = Engine.admit(request(0, {1, 1, ""}), Time.now());
  Engine.supply(Admission.Id_, {{"t"}, 0});
  Engine.startBatch();
  Engine.finishBatch(Time.now());
  Time.advance(31s);
  Engine.expire(Time.now());
  BOOST_TEST(Engine.occupancy().Sequences_ == 0U);
}

BOOST_AUTO_TEST_CASE(ListIsDelayedByItsLag) {
  ManualClock Time;
  FakeInstanceList List;
  ListedInstance Entry;
  Entry.Id_ = EndpointId("eng-1");
  List.put(Entry, Time.now());
  Time.advance(2s);
  Entry.Leaving_ = true;
  List.put(Entry, Time.now());
  BOOST_TEST(!List.view(Time.now(), 1s, false).Instances_[0].Leaving_);
  BOOST_TEST(List.view(Time.now(), 0s, false).Instances_[0].Leaving_);
  BOOST_TEST(List.view(Time.now(), 3s, false).Instances_.empty());
}

BOOST_AUTO_TEST_CASE(TransfersOnALinkAreSequential) {
  ManualClock Time;
  LinkModel Link(1000.0, 5ms);
  BOOST_TEST((Link.transfer(100, Time.now()) == 105ms));
  BOOST_TEST((Link.transfer(100, Time.now()) == 205ms));
  Time.advance(1s);
  BOOST_TEST((Link.transfer(0, Time.now()) == 5ms));
}
