#include "Gateway/StateSubscriptions.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

constexpr Duration RenewInterval = 1s;
constexpr Duration UpdateInterval = 600ms;
/// An owner sends states this long after a subscription has reached it.
constexpr Duration Step = 100ms;
const std::vector<std::string> StandIns = {"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"};
const std::string FormerOwner = "10.1.0.8:1";
const std::string NewOwner = "10.1.0.9:1";

/// Names one owner, or does not answer.
class OwnerStore final : public MetadataStore {
public:
  void shareReads(ListRelay &, ConfigHistory &) override {}
  bool applyConfig(std::string, ListPosition) override { return false; }
  SpanOutcome applySpan(const ListSpan &, TimePoint) override { return SpanOutcome::Elsewhere; }
  void reconsiderReads() override {}
  void follow(StoreObserver &) override {}
  void join(const std::string &, const std::string &, Duration, FencingNumber, JoinDone) override {}
  void leave(const std::string &, const std::string &) override {}
  void claimTurn(const std::string &, TurnNumber, TurnDone) override {}
  void findOwner(const std::string &, OwnerDone Done) override {
    ++Lookups_;
    Done(Named_);
  }

  std::optional<std::string> Named_;
  int Lookups_ = 0;
};

struct HandoverCase {
  const char *Name_;
  /// The data centre whose owner changes is the home one.
  bool AtHome_;
  /// Requests are sent to other data centres.
  bool RemoteInUse_;
  /// What the store names after the change; nothing if it does not answer.
  std::optional<std::string> Named_;
  std::string Owner_;
  /// The longest time without states.
  Duration Limit_;
};

std::ostream &operator<<(std::ostream &Out, const HandoverCase &Case) { return Out << Case.Name_; }

/// The silence that is allowed, a renewal, a lookup, and a gateway that is tried in vain.
constexpr Duration OneCandidate = 2500ms + RenewInterval + 2 * Step;
constexpr Duration TwoCandidates = OneCandidate + 2 * RenewInterval;

const HandoverCase HandoverCases[] = {
    {"owner at home", true, false, NewOwner, NewOwner, OneCandidate},
    {"owner of a data centre in use", false, true, NewOwner, NewOwner, OneCandidate},
    {"owner of a data centre not in use", false, false, NewOwner, NewOwner,
     8s + RenewInterval + 2 * Step},
    {"the store names the lost owner, a stand-in took over", true, false, FormerOwner, StandIns[0],
     TwoCandidates},
    {"no store, the second stand-in took over", true, false, std::nullopt, StandIns[1],
     TwoCandidates},
};

} // namespace

// A gateway that loses its owner must subscribe at the one that the store names. It tried only the
// stand-ins that the former owner had named, so for up to 13 s it chose paths by old reports.
BOOST_DATA_TEST_CASE(StatesArriveSoonAfterTheOwnerChanged, HandoverCases, Case) {
  ManualClock Time;
  NullLogger Log;
  OwnerStore Store;
  GatewayCountEstimator Counts({DataCenterId("home"), DataCenterId("far")}, DataCenterId("home"));
  StateSubscriptions Subscriptions(Time, Log, Store, Counts, DataCenterId("home"),
                                   {DataCenterId("home"), DataCenterId("far")});
  const DataCenterId Watched(Case.AtHome_ ? "home" : "far");
  std::string Owner = FormerOwner;
  std::optional<TimePoint> SubscribedAt;
  Subscriptions.onRenew([&](const DataCenterId &DataCenter, const std::string &To) {
    if (DataCenter == Watched && To == Owner)
      SubscribedAt = Time.now();
  });
  Store.Named_ = FormerOwner;
  TimePoint HeardAt = Time.now();
  Duration LongestSilence{};
  const TimePoint Start = Time.now();
  for (; Time.now() < Start + 30s; Time.advance(Step)) {
    const Duration Since = Time.now() - Start;
    if (Since == 5s) {
      Store.Named_ = Case.Named_;
      Owner = Case.Owner_;
      SubscribedAt.reset();
    }
    if (Since % RenewInterval == 0s)
      Subscriptions.renew(/*SubscribeHome=*/true, Case.RemoteInUse_);
    if (SubscribedAt && Since % UpdateInterval == 0s) {
      HeardAt = Time.now();
      Subscriptions.onStates(Watched, StandIns);
    }
    if (Since >= 1s)
      LongestSilence = std::max(LongestSilence, Time.now() - HeardAt);
  }
  BOOST_TEST((LongestSilence <= Case.Limit_ + UpdateInterval), LongestSilence / 1ms << " ms");
}
