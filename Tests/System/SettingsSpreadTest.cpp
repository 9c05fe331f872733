#include "Tests/System/CallerPool.h"
#include "Tests/System/Deployment.h"

#include <boost/test/unit_test.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

using namespace rattancart;

namespace {

/// Samples the settings offsets of all routers, on a thread of its own.
class OffsetSampler {
public:
  explicit OffsetSampler(Deployment &TestDeployment) {
    for (const RouterControlPair &Pair : TestDeployment.pairs())
      Addresses_.push_back(Pair.StateAddress_);
    Thread_ = std::thread([this] { run(); });
  }
  ~OffsetSampler() { stop(); }
  OffsetSampler(const OffsetSampler &) = delete;
  OffsetSampler &operator=(const OffsetSampler &) = delete;

  /// Ends the sampling and returns the samples as lines for the history checker.
  std::string stop() {
    Stopping_ = true;
    if (Thread_.joinable())
      Thread_.join();
    return Lines_;
  }

private:
  void run() {
    BlockingHttpClient Http(std::chrono::milliseconds(500));
    while (!Stopping_) {
      for (const NetAddress &Address : Addresses_)
        sample(Http, Address);
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  void sample(BlockingHttpClient &Http, const NetAddress &Address) {
    const boost::json::value Dump = Http.getJson(Address, "/v1/state");
    if (!Dump.is_object())
      return;
    const auto &View = Dump.at("view").as_object();
    boost::json::object Line;
    Line["kind"] = "applied";
    Line["process"] = Dump.at("instance");
    Line["incarnation"] = Dump.at("incarnation");
    Line["offset"] = View.at("settings_offset");
    Line["digest"] = View.at("settings_digest");
    std::string Text = boost::json::serialize(Line) + "\n";
    if (std::exchange(LastLines_[Address], Text) != Text)
      Lines_ += Text;
  }

  std::vector<NetAddress> Addresses_;
  std::atomic<bool> Stopping_ = false;
  /// The last line of each router; an unchanged one is not written again.
  std::map<NetAddress, std::string> LastLines_;
  std::string Lines_;
  std::thread Thread_;
};

DeploymentSpec threeDataCenters(std::vector<std::string> PlatformArguments = {}) {
  DeploymentSpec Spec;
  Spec.DataCenters_ = {"dc-1", "dc-2", "dc-3"};
  Spec.Endpoints_ = {serviceSpec("desk-1", "lift-desk")};
  Spec.PlatformArguments_ = std::move(PlatformArguments);
  Spec.Settings_ = testSettings();
  return Spec;
}

std::string limitSettings(int Value) {
  std::string Text = testSettings();
  const std::string Old = "concurrent: 10000";
  Text.replace(Text.find(Old), Old.size(), fmt::format("concurrent: {}", Value));
  return Text;
}

std::int64_t settingsOffset(Deployment &TestDeployment, const RouterControlPair &Pair) {
  const boost::json::value Dump = TestDeployment.state(Pair.StateAddress_);
  return Dump.is_object() ? Dump.at("view").at("settings_offset").as_int64() : -1;
}

/// Waits until all routers have applied the settings up to MinOffset or further.
void awaitOffset(Deployment &TestDeployment, std::int64_t MinOffset) {
  TestDeployment.await(fmt::format("offset {}", MinOffset), [&] {
    for (const RouterControlPair &Pair : TestDeployment.pairs())
      if (settingsOffset(TestDeployment, Pair) < MinOffset)
        return false;
    return true;
  });
}

} // namespace

BOOST_AUTO_TEST_CASE(AcceptedChangesSpreadAndNeverRevert) {
  Deployment TestDeployment(threeDataCenters());
  OffsetSampler Sampler(TestDeployment);
  std::int64_t Applied = 0;
  const auto Apply = [&](int Value) {
    const std::string File =
        TestDeployment.writeFile(fmt::format("limit-{}.yaml", Value), limitSettings(Value));
    const ProgramResult Result = TestDeployment.ctl({"apply", File});
    BOOST_TEST(Result.ExitCode_ == 0, Result.Output_);
    ++Applied;
  };

  Apply(1);
  awaitOffset(TestDeployment, Applied);

  // First the answer of an append is lost after the change took effect, then a record comes twice.
  TestDeployment.cluster().setFaults("platform",
                                     R"({"lose_append_answers":1,"streams":["settings"]})");
  Apply(2);
  awaitOffset(TestDeployment, Applied);
  TestDeployment.cluster().setFaults("platform",
                                     R"({"duplicate_appends":1,"streams":["settings"]})");
  Apply(3);
  ++Applied;
  awaitOffset(TestDeployment, Applied);

  // A router whose control is killed must connect to another one.
  TestDeployment.pair(0).Control_->kill();
  Apply(4);
  awaitOffset(TestDeployment, Applied);
  // A control that starts during an outage of the platform must get the settings from its peers.
  TestDeployment.cluster().setFaults("platform", R"({"down":true})");
  TestDeployment.startControl(TestDeployment.pair(0));
  TestDeployment.await("settings from a peer", [&] {
    const boost::json::value Dump = TestDeployment.state(TestDeployment.pair(0).AdminAddress_);
    return Dump.is_object() && Dump.at("not_ready").as_string().empty();
  });
  TestDeployment.cluster().setFaults("platform", R"({"down":false})");

  // A router that is paused during a change must catch up once it is resumed.
  TestDeployment.pair(1).Router_->pause();
  Apply(5);
  TestDeployment.pair(1).Router_->resume();
  awaitOffset(TestDeployment, Applied);

  // All instances are replaced one by one.
  for (RouterControlPair &Pair : TestDeployment.pairs()) {
    TestDeployment.startControl(Pair);
    TestDeployment.startRouter(Pair);
    TestDeployment.awaitEndpoints(1);
  }
  awaitOffset(TestDeployment, Applied);
  const std::string Violations = checkHistory({}, Sampler.stop());
  BOOST_TEST(Violations.empty(), Violations);
}

// Guards against processes that decide concurrent changes of one path differently. Only a change
// that is based on the current value is accepted, so at least one of each round is, and the others
// are rejected.
BOOST_AUTO_TEST_CASE(ConcurrentOperatorChangesAreDecidedAlike) {
  Deployment TestDeployment(threeDataCenters());
  OffsetSampler Sampler(TestDeployment);
  std::vector<std::string> Files;
  Files.reserve(4);
  for (int Operator = 0; Operator < 4; ++Operator)
    Files.push_back(TestDeployment.writeFile(fmt::format("race-{}.yaml", Operator),
                                             limitSettings(100 + Operator)));
  std::atomic<int> Accepted = 0;
  std::mutex Mutex;
  std::string Refused;
  for (int Round = 0; Round < 5; ++Round) {
    std::vector<std::thread> Operators;
    Operators.reserve(Files.size());
    for (const std::string &File : Files)
      Operators.emplace_back([&, File] {
        const ProgramResult Result = TestDeployment.ctl({"apply", File});
        if (Result.ExitCode_ == 0)
          ++Accepted;
        const std::lock_guard Lock(Mutex);
        if (Result.ExitCode_ != 0)
          Refused += Result.Output_;
      });
    for (std::thread &Operator : Operators)
      Operator.join();
  }
  BOOST_TEST(Accepted >= 5);
  awaitOffset(TestDeployment, 1);
  const std::string Violations = checkHistory({}, Sampler.stop());
  BOOST_TEST(Violations.empty(), Violations);
  TestDeployment.await("one digest", [&] {
    std::vector<std::string> Digests;
    Digests.reserve(TestDeployment.pairs().size());
    for (const RouterControlPair &Pair : TestDeployment.pairs())
      Digests.emplace_back(
          TestDeployment.state(Pair.StateAddress_).at("view").at("settings_digest").as_string());
    return Digests[0] == Digests[1] && Digests[1] == Digests[2];
  });
}

// Guards against a process that can't start once the log has trimmed its oldest records: it must
// begin at a snapshot.
BOOST_AUTO_TEST_CASE(TrimmedLogIsCoveredBySnapshots) {
  Deployment TestDeployment(threeDataCenters({"--retain", "400"}));
  OffsetSampler Sampler(TestDeployment);
  for (int Change = 1; Change <= 8; ++Change) {
    const std::string File = TestDeployment.writeFile("trim.yaml", limitSettings(Change));
    BOOST_TEST(TestDeployment.ctl({"apply", File}).ExitCode_ == 0);
  }
  awaitOffset(TestDeployment, 8);
  TestDeployment.startControl(TestDeployment.pair(2));
  TestDeployment.startRouter(TestDeployment.pair(2));
  awaitOffset(TestDeployment, 8);
  const std::string Violations = checkHistory({}, Sampler.stop());
  BOOST_TEST(Violations.empty(), Violations);
}
