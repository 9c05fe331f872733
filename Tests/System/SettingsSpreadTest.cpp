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

/// Samples the settings offsets of all processes on a thread of its own.
class OffsetSampler {
public:
  explicit OffsetSampler(Deployment &Site) {
    for (const EntryInstance &Entry : Site.entries())
      Addresses_.push_back(Entry.StateAddress_);
    Thread_ = std::thread([this] { run(); });
  }
  ~OffsetSampler() { stop(); }
  OffsetSampler(const OffsetSampler &) = delete;
  OffsetSampler &operator=(const OffsetSampler &) = delete;

  /// The samples as lines for the history checker.
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
    if (std::exchange(Last_[Address], Text) != Text)
      Lines_ += Text;
  }

  std::vector<NetAddress> Addresses_;
  std::atomic<bool> Stopping_ = false;
  /// The last line of each process; one without change is not repeated.
  std::map<NetAddress, std::string> Last_;
  std::string Lines_;
  std::thread Thread_;
};

DeploymentSpec threeCentres(std::vector<std::string> PlatformArguments = {}) {
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

std::int64_t offsetOf(Deployment &Site, const EntryInstance &Entry) {
  const boost::json::value Dump = Site.state(Entry.StateAddress_);
  return Dump.is_object() ? Dump.at("view").at("settings_offset").as_int64() : -1;
}

/// Waits until all routers have one and the same offset, at least AtLeast.
void awaitOffset(Deployment &Site, std::int64_t AtLeast) {
  Site.await(fmt::format("offset {}", AtLeast), [&] {
    for (const EntryInstance &Entry : Site.entries())
      if (offsetOf(Site, Entry) < AtLeast)
        return false;
    return true;
  });
}

} // namespace

BOOST_AUTO_TEST_CASE(AcceptedChangesSpreadAndNeverRevert) {
  Deployment Site(threeCentres());
  OffsetSampler Sampler(Site);
  std::int64_t Applied = 0;
  const auto Apply = [&](int Value) {
    const std::string File =
        Site.writeFile(fmt::format("limit-{}.yaml", Value), limitSettings(Value));
    const ProgramResult Result = Site.ctl({"apply", File});
    BOOST_TEST(Result.ExitCode_ == 0, Result.Output_);
    ++Applied;
  };

  Apply(1);
  awaitOffset(Site, Applied);

  // Answers of appends are lost after the change took effect, and records come twice.
  Site.cluster().setFaults("platform", R"({"lose_append_answers":1,"streams":["settings"]})");
  Apply(2);
  awaitOffset(Site, Applied);
  Site.cluster().setFaults("platform", R"({"duplicate_appends":1,"streams":["settings"]})");
  Apply(3);
  ++Applied;
  awaitOffset(Site, Applied);

  // A router whose control dies moves to another one.
  Site.entry(0).Control_->kill();
  Apply(4);
  awaitOffset(Site, Applied);
  // A control that starts during an outage takes the state from its peers.
  Site.cluster().setFaults("platform", R"({"down":true})");
  Site.startControl(Site.entry(0));
  Site.await("settings from a peer", [&] {
    const boost::json::value Dump = Site.state(Site.entry(0).AdminAddress_);
    return Dump.is_object() && Dump.at("not_ready").as_string().empty();
  });
  Site.cluster().setFaults("platform", R"({"down":false})");

  // Frozen across a change, a router catches up when it goes on.
  Site.entry(1).Router_->pause();
  Apply(5);
  Site.entry(1).Router_->resume();
  awaitOffset(Site, Applied);

  // All instances are replaced one by one.
  for (EntryInstance &Entry : Site.entries()) {
    Site.startControl(Entry);
    Site.startRouter(Entry);
    Site.awaitEndpoints(1);
  }
  awaitOffset(Site, Applied);
  const std::string Violations = checkHistory({}, Sampler.stop());
  BOOST_TEST(Violations.empty(), Violations);
}

// Operators change one path at the same time: the changes that are accepted were based on what
// stood there, so at least one wins and each other learns that it lost.
BOOST_AUTO_TEST_CASE(RacingOperatorsAreDecidedAlike) {
  Deployment Site(threeCentres());
  OffsetSampler Sampler(Site);
  std::vector<std::string> Files;
  Files.reserve(4);
  for (int Operator = 0; Operator < 4; ++Operator)
    Files.push_back(
        Site.writeFile(fmt::format("race-{}.yaml", Operator), limitSettings(100 + Operator)));
  std::atomic<int> Accepted = 0;
  std::mutex Mutex;
  std::string Refused;
  for (int Round = 0; Round < 5; ++Round) {
    std::vector<std::thread> Operators;
    Operators.reserve(Files.size());
    for (const std::string &File : Files)
      Operators.emplace_back([&, File] {
        const ProgramResult Result = Site.ctl({"apply", File});
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
  awaitOffset(Site, 1);
  const std::string Violations = checkHistory({}, Sampler.stop());
  BOOST_TEST(Violations.empty(), Violations);
  Site.await("one digest", [&] {
    std::vector<std::string> Digests;
    Digests.reserve(Site.entries().size());
    for (const EntryInstance &Entry : Site.entries())
      Digests.emplace_back(
          Site.state(Entry.StateAddress_).at("view").at("settings_digest").as_string());
    return Digests[0] == Digests[1] && Digests[1] == Digests[2];
  });
}

// The log forgets its oldest records; a process that starts then begins at a snapshot.
BOOST_AUTO_TEST_CASE(TrimmedLogIsCoveredBySnapshots) {
  Deployment Site(threeCentres({"--retain", "400"}));
  OffsetSampler Sampler(Site);
  for (int Change = 1; Change <= 8; ++Change) {
    const std::string File = Site.writeFile("trim.yaml", limitSettings(Change));
    BOOST_TEST(Site.ctl({"apply", File}).ExitCode_ == 0);
  }
  awaitOffset(Site, 8);
  Site.startControl(Site.entry(2));
  Site.startRouter(Site.entry(2));
  awaitOffset(Site, 8);
  const std::string Violations = checkHistory({}, Sampler.stop());
  BOOST_TEST(Violations.empty(), Violations);
}
