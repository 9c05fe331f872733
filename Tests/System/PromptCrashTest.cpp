#include "Tests/System/GatewayDeployment.h"

#include "Net/HttpClient.h"
#include "Net/Timer.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <ostream>
#include <set>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

constexpr const char *CrashingPart = "bad0";
constexpr const char *CommonPart = "5a40";
constexpr int Events = 30;
constexpr Duration SoundInterval = 40ms;
constexpr Duration CrashingInterval = 150ms;
/// Time with sound streams alone, before the first crash.
constexpr Duration QuietTime = 1500ms;
/// Streams sent this long before the first crash have ended before it.
constexpr Duration MaxStreamTime = 800ms;
/// Time from the first stream with the crashing part to the change of a case.
constexpr Duration ChangeDelay = 4500ms;
constexpr Duration TimeAfterChange = 4500ms;
/// Time to wait for the last responses.
constexpr Duration LastResponseTimeout = 2s;

// Bounds of the platform.
constexpr std::size_t CrashesUntilKnown = 5;
constexpr Duration StableWindow = 3s;
constexpr std::size_t MaxFurtherRequests = 3;
constexpr Duration RecoveryTime = 6s;
/// Time in which the streams after RecoveryTime are counted.
constexpr Duration RecoveredTime = 2s;

/// How the streams with the crashing part come, and what else happens.
struct PromptCrashCase {
  const char *Name_;
  /// Number of gateways to which these streams are sent until the change, and then to all.
  std::size_t FirstGateways_;
  /// Until the change.
  StoreFault Store_;
  /// The gateway that the change kills and restarts.
  std::optional<std::size_t> Restarted_;
};

std::ostream &operator<<(std::ostream &Out, const PromptCrashCase &Case) {
  return Out << Case.Name_;
}

const PromptCrashCase PromptCrashCases[] = {
    {"at all gateways", 4, StoreFault::None, {}},
    {"first at one gateway only", 1, StoreFault::None, {}},
    {"a gateway is killed and restarted", 4, StoreFault::None, 1},
    {"the store is away", 4, StoreFault::Silent, {}},
};

TimePoint now() { return SystemClock().now(); }

struct SentStream {
  std::string Id_;
  std::size_t Gateway_ = 0;
  /// Whether its prompt has the crashing part.
  bool Crashing_ = false;
  TimePoint SentAt_;
  std::optional<HttpResult> Result_;
  /// Its gateway was killed before it responded.
  bool GatewayKilled_ = false;

  std::uint32_t status() const {
    return Result_ && !Result_->Error_ ? Result_->Response_.Status_ : 0;
  }
  bool isServed() const {
    return status() == 200 && consistsOfEvents(Result_->Response_.Body_, 1, Events);
  }
  /// Whether it was refused for a part of its prompt.
  bool isQuarantined() const {
    return status() != 0 && status() != 200 &&
           Result_->Response_.Body_.find("prompt") != std::string::npos;
  }
};

/// Sends sound streams and streams with the crashing part to all gateways in turn.
class PromptLoad {
public:
  explicit PromptLoad(GatewayDeployment &Deployment, std::size_t Gateways)
      : Deployment_(Deployment), Gateways_(Gateways), Client_(Loop_), SoundTimer_(Loop_),
        CrashingTimer_(Loop_) {
    SoundTimer_.every(SoundInterval, [this] { send(false, Gateways_); });
  }

  /// Sends streams with the crashing part to the first gateways from now on.
  void sendCrashing(std::size_t Gateways) {
    CrashingTimer_.every(CrashingInterval, [this, Gateways] { send(true, Gateways); });
  }
  void run(Duration Time) { Loop_.run_for(Time); }
  /// Sends nothing more and waits for the responses.
  void finish(Duration Timeout) {
    SoundTimer_.cancel();
    CrashingTimer_.cancel();
    const TimePoint Deadline = now() + Timeout;
    while (Pending_ > 0 && now() < Deadline)
      Loop_.run_one_until(Deadline);
  }
  void markKilled(std::size_t Gateway) {
    for (SentStream &Each : Sent_)
      if (Each.Gateway_ == Gateway && !Each.Result_)
        Each.GatewayKilled_ = true;
  }
  const std::deque<SentStream> &sent() const { return Sent_; }

private:
  void send(bool Crashing, std::size_t Gateways) {
    const std::size_t Number = Sent_.size();
    const std::size_t Gateway = Turn_[Crashing ? 1 : 0]++ % Gateways;
    // References to elements stay valid when others are added.
    SentStream &Stream = Sent_.emplace_back();
    Stream.Id_ = fmt::format("{}-{}", Crashing ? "crashing" : "sound", Number);
    Stream.Gateway_ = Gateway;
    Stream.Crashing_ = Crashing;
    Stream.SentAt_ = now();
    const PromptPart Own{fmt::format("e{:x}", Number), Crashing ? 600 : 660};
    std::vector<PromptPart> Prompt{{CommonPart, 40}};
    if (Crashing)
      Prompt.push_back({CrashingPart, 60});
    Prompt.push_back(Own);
    ++Pending_;
    Deployment_.sendStream(Client_, Gateway, Stream.Id_, Prompt, Events,
                           [this, &Stream](HttpResult Result) {
                             Stream.Result_ = std::move(Result);
                             --Pending_;
                           });
  }

  GatewayDeployment &Deployment_;
  std::size_t Gateways_;
  std::deque<SentStream> Sent_;
  std::size_t Turn_[2] = {};
  std::size_t Pending_ = 0;
  boost::asio::io_context Loop_;
  HttpClient Client_;
  Timer SoundTimer_;
  Timer CrashingTimer_;
};

/// The crash from which recovery counts: the fifth, or the last if there were fewer.
TimePoint decisiveCrash(const std::vector<PromptCrash> &Crashes) {
  return Crashes[std::min(Crashes.size(), CrashesUntilKnown) - 1].At_;
}

std::vector<PromptCrash> crashesBefore(std::vector<PromptCrash> Crashes, TimePoint Time) {
  std::erase_if(Crashes, [Time](const PromptCrash &Each) { return Each.At_ >= Time; });
  return Crashes;
}

std::size_t countReceivedSince(const std::vector<ReceivedRequest> &Received, TimePoint Time) {
  return static_cast<std::size_t>(
      std::count_if(Received.begin(), Received.end(),
                    [Time](const ReceivedRequest &Each) { return Each.At_ > Time; }));
}

/// Sound streams sent in a time and those of them that were served.
struct Service {
  std::size_t Sent_ = 0;
  std::size_t Served_ = 0;

  double share() const {
    return Sent_ == 0 ? 0 : static_cast<double>(Served_) / static_cast<double>(Sent_);
  }
};

Service soundService(const std::deque<SentStream> &Sent, TimePoint Begin, TimePoint End) {
  Service Counted;
  for (const SentStream &Each : Sent)
    if (!Each.Crashing_ && !Each.GatewayKilled_ && Each.SentAt_ >= Begin && Each.SentAt_ < End) {
      ++Counted.Sent_;
      Counted.Served_ += Each.isServed() ? 1 : 0;
    }
  return Counted;
}

/// The times of a run.
struct RunTimes {
  TimePoint Begin_;
  TimePoint CrashingBegin_;
  TimePoint Changed_;
  TimePoint End_;
};

/// Checks that no engine gets more than MaxFurtherRequests with the crashing part once the part
/// must be known to each gateway, also to one that only gets them after the change.
void checkFurtherRequests(const ActivityLog &Activity, const RunTimes &Times) {
  const auto &Crashes = Activity.PromptCrashes_.at(CrashingPart);
  const auto &Received = Activity.CrashingRequests_.at(CrashingPart);
  if (Crashes.size() >= CrashesUntilKnown)
    BOOST_TEST(countReceivedSince(Received, decisiveCrash(Crashes) + StableWindow) <=
               MaxFurtherRequests);
  const auto Earlier = crashesBefore(Crashes, Times.Changed_);
  BOOST_TEST_REQUIRE(!Earlier.empty());
  BOOST_TEST(countReceivedSince(Received,
                                std::max(Times.Changed_, decisiveCrash(Earlier) + StableWindow)) <=
             MaxFurtherRequests);
}

/// Checks the responses to streams with the crashing part that were sent once the part must be
/// known and that no engine received.
void checkRefusals(const std::deque<SentStream> &Sent, const ActivityLog &Activity) {
  const TimePoint Known = decisiveCrash(Activity.PromptCrashes_.at(CrashingPart)) + StableWindow;
  std::set<std::string> Received;
  for (const ReceivedRequest &Each : Activity.CrashingRequests_.at(CrashingPart))
    Received.insert(Each.Id_);
  std::size_t Refused = 0;
  std::size_t Wrong = 0;
  for (const SentStream &Each : Sent) {
    if (!Each.Crashing_ || Each.GatewayKilled_ || Each.SentAt_ < Known ||
        Received.contains(Each.Id_))
      continue;
    const bool Expected = Each.status() == 503 && Each.isQuarantined() &&
                          Each.Result_->Response_.Headers_.has("Retry-After");
    ++(Expected ? Refused : Wrong);
  }
  BOOST_TEST_MESSAGE(Refused << " refused, " << Wrong << " with another response");
  BOOST_TEST(Refused > 0U);
  BOOST_TEST(Wrong == 0U);
}

/// Checks that a stream which was answered 503 was not run, and that no sound one is refused for
/// its prompt.
void checkPromises(const std::deque<SentStream> &Sent, const ActivityLog &Activity) {
  std::size_t RefusedAndRun = 0;
  std::size_t SoundQuarantined = 0;
  for (const SentStream &Each : Sent) {
    RefusedAndRun += Each.status() == 503 && Activity.Executions_.contains(Each.Id_) ? 1 : 0;
    SoundQuarantined += !Each.Crashing_ && Each.isQuarantined() ? 1 : 0;
  }
  BOOST_TEST(RefusedAndRun == 0U);
  BOOST_TEST(SoundQuarantined == 0U);
}

void checkSoundStreams(const std::deque<SentStream> &Sent, const ActivityLog &Activity,
                       const RunTimes &Times) {
  const Service Before = soundService(Sent, Times.Begin_, Times.CrashingBegin_ - MaxStreamTime);
  const Service After = soundService(
      Sent, decisiveCrash(Activity.PromptCrashes_.at(CrashingPart)) + RecoveryTime, Times.End_);
  BOOST_TEST_MESSAGE("sound streams served: " << Before.Served_ << " of " << Before.Sent_
                                              << " before, " << After.Served_ << " of "
                                              << After.Sent_ << " after");
  BOOST_TEST(Before.Served_ > 0U);
  BOOST_TEST(After.Sent_ > 0U);
  BOOST_TEST(After.share() >= Before.share() / 2);
}

} // namespace

// Guards against the loss of one engine after the other when a part of a prompt crashes each engine
// that begins to answer a request with it, and requests with it come at all gateways.
BOOST_DATA_TEST_CASE(PromptPartThatCrashesEnginesIsRefused, PromptCrashCases, Case) {
  const std::vector<std::string> DataCenters{"east", "east", "west", "west"};
  SiteOptions Options;
  // Each data centre can lose a few engines.
  Options.Engines_ = {{"east", {{"h100", 4}, {"l4", 12}}}, {"west", {{"h100", 4}, {"l4", 12}}}};
  GatewayDeployment Deployment(DataCenters, Options);
  Deployment.site().setCrashingPromptPart(CrashingPart);
  PromptLoad Load(Deployment, DataCenters.size());
  RunTimes Times;
  Times.Begin_ = now();
  Load.run(QuietTime);

  Times.CrashingBegin_ = now();
  Deployment.site().setStoreFault(Case.Store_);
  Load.sendCrashing(Case.FirstGateways_);
  Load.run(ChangeDelay);

  Deployment.site().setStoreFault(StoreFault::None);
  if (Case.Restarted_) {
    Load.markKilled(*Case.Restarted_);
    Deployment.gateway(*Case.Restarted_).kill();
    Deployment.restart(*Case.Restarted_);
  }
  Times.Changed_ = now();
  Load.sendCrashing(DataCenters.size());
  Load.run(TimeAfterChange);
  const auto Crashes = Deployment.site().activity().PromptCrashes_[CrashingPart];
  BOOST_TEST_REQUIRE(!Crashes.empty());
  Load.run(std::max(Duration{}, decisiveCrash(Crashes) + RecoveryTime + RecoveredTime - now()));
  Times.End_ = now();
  Load.finish(LastResponseTimeout);

  const ActivityLog Activity = Deployment.site().activity();
  BOOST_TEST_MESSAGE(Case.Name_ << ": " << Activity.PromptCrashes_.at(CrashingPart).size()
                                << " crashes, "
                                << Activity.CrashingRequests_.at(CrashingPart).size()
                                << " requests with the part received by engines");
  checkFurtherRequests(Activity, Times);
  checkRefusals(Load.sent(), Activity);
  checkPromises(Load.sent(), Activity);
  checkSoundStreams(Load.sent(), Activity, Times);
  for (const std::string &Fault : Activity.ProtocolErrors_)
    BOOST_ERROR(Fault);
}
