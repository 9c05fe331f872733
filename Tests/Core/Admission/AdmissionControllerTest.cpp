#include "Core/Admission/AdmissionController.h"
#include "Core/Common/ErrorCode.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <ostream>
#include <random>
#include <set>
#include <string>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

constexpr double Slots = 10;
constexpr Duration ServiceTime = 100ms;

AdmissionOptions optionsOf(QueueOrder Order, bool RefuseEarly) {
  AdmissionOptions Options;
  Options.Order_ = Order;
  Options.RefuseEarly_ = RefuseEarly;
  Options.MakeLimit_ = [](const PoolId &) { return makeFixedConcurrency(Slots); };
  return Options;
}

/// A pool of ten servers that need 100 ms for a request each, which receives Load times the
/// requests that it can serve.
struct OverloadRun {
  explicit OverloadRun(AdmissionOptions Options) : Controller_(std::move(Options)) {}

  void run(double Load, int Steps) {
    for (int I = 0; I < Steps; ++I, Time_.advance(1ms)) {
      end();
      for (DueRequests_ += Load * 0.1; DueRequests_ >= 1; DueRequests_ -= 1)
        offer();
      const QueueUpdate Update = Controller_.processQueues(Time_.now());
      for (const AdmissionTicket Ticket : Update.Admitted_)
        Running_.emplace(Time_.now() + ServiceTime, Ticket);
      for (const DroppedRequest &Dropped : Update.Dropped_)
        Waiting_.erase(Dropped.Ticket_);
    }
  }

  void offer() {
    const auto Class = static_cast<std::uint8_t>(Random_() % 10 == 0 ? 0 : 2);
    const AdmissionRequest Request{CustomerId(Random_() % 4 != 0 ? "heavy" : "light"),
                                   PoolId("m"),
                                   PriorityClass(Class),
                                   1,
                                   0,
                                   Time_.now() + 1s};
    const AdmissionDecision Decision = Controller_.submit(Request, Time_.now());
    if (Decision.State_ == AdmissionState::Refused)
      return;
    Waiting_.emplace(Decision.Ticket_, std::pair(Request, Time_.now()));
    if (Decision.State_ == AdmissionState::Admitted)
      Running_.emplace(Time_.now() + ServiceTime, Decision.Ticket_);
  }

  void end() {
    while (!Running_.empty() && Running_.begin()->first <= Time_.now()) {
      const AdmissionTicket Ticket = Running_.begin()->second;
      const auto &[Request, ArrivedAt] = Waiting_.at(Ticket);
      const bool InTime = Time_.now() <= Request.Deadline_;
      AnsweredInTime_ += InTime ? 1 : 0;
      if (Request.Priority_ != PriorityClass(0))
        InTimeByCustomer_[Request.Customer_.str()] += InTime ? 1 : 0;
      else
        SlowestHighClass_ = std::max(SlowestHighClass_, Time_.now() - ArrivedAt);
      Controller_.finish(Ticket, {}, Time_.now());
      Waiting_.erase(Ticket);
      Running_.erase(Running_.begin());
    }
  }

  AdmissionController Controller_;
  ManualClock Time_;
  std::mt19937_64 Random_{3};
  std::multimap<TimePoint, AdmissionTicket> Running_;
  std::map<AdmissionTicket, std::pair<AdmissionRequest, TimePoint>> Waiting_;
  double DueRequests_ = 0;
  int AnsweredInTime_ = 0;
  /// Requests of the low class that were answered in time.
  std::map<std::string, int> InTimeByCustomer_;
  Duration SlowestHighClass_{};
};

struct OverloadCase {
  const char *Name_;
  QueueOrder Order_;
  bool RefuseEarly_;
  double Load_;
  bool MeetsGoals_;
};

std::ostream &operator<<(std::ostream &Out, const OverloadCase &Case) { return Out << Case.Name_; }

const OverloadCase OverloadCases[] = {
    {"twice the capacity", QueueOrder::Fair, true, 2, true},
    {"five times the capacity", QueueOrder::Fair, true, 5, true},
    {"arrival order, no early refusal: late answers", QueueOrder::Arrival, false, 5, false},
};

} // namespace

BOOST_DATA_TEST_CASE(GoodputUnderOverload, OverloadCases, Case) {
  OverloadRun Run(optionsOf(Case.Order_, Case.RefuseEarly_));
  Run.run(Case.Load_, 20000);
  // Ten servers that need 100 ms each can serve 2000 requests in 20 s.
  BOOST_TEST((Run.AnsweredInTime_ >= 1800) == Case.MeetsGoals_);
  BOOST_TEST((Run.SlowestHighClass_ <= 400ms) == Case.MeetsGoals_);
  if (!Case.MeetsGoals_)
    return;
  // Both customers ask for more than half of what the high class leaves, and each gets half of it.
  BOOST_TEST(Run.InTimeByCustomer_["light"] >= 0.9 * Run.InTimeByCustomer_["heavy"]);
  BOOST_TEST(Run.InTimeByCustomer_["light"] <= 1.1 * Run.InTimeByCustomer_["heavy"]);
}

BOOST_AUTO_TEST_CASE(RefusedAtOnceIfTheDeadlineCantBeMet) {
  AdmissionController Controller(optionsOf(QueueOrder::Fair, true));
  ManualClock Time;
  const AdmissionRequest Request{CustomerId("a"),   PoolId("m"), PriorityClass(1), 1, 0,
                                 Time.now() + 450ms};
  std::vector<AdmissionTicket> Running;
  Running.reserve(10);
  for (int I = 0; I < 10; ++I)
    Running.push_back(Controller.submit(Request, Time.now()).Ticket_);
  Time.advance(100ms);
  for (const AdmissionTicket Ticket : Running)
    Controller.finish(Ticket, {}, Time.now());
  int Accepted = 0;
  AdmissionDecision Decision;
  for (; (Decision = Controller.submit(Request, Time.now())).State_ != AdmissionState::Refused;)
    ++Accepted;
  // 350 ms are left until the deadline, of which 0.85 or 297 ms may be used: ten requests run, and
  // the others have to start within 197 ms.
  BOOST_TEST(Accepted == 30);
  BOOST_TEST((Decision.Refusal_ == ErrorCode::Overloaded));
}

BOOST_AUTO_TEST_CASE(FullQueueDisplacesALowerClass) {
  AdmissionOptions Options = optionsOf(QueueOrder::Fair, false);
  Options.MaxQueued_ = 2;
  AdmissionController Controller(Options);
  ManualClock Time;
  AdmissionRequest Request{CustomerId("a"), PoolId("m"), PriorityClass(2), 1, 0, Time.now() + 1h};
  for (int I = 0; I < 12; ++I)
    BOOST_TEST((Controller.submit(Request, Time.now()).State_ != AdmissionState::Refused));
  BOOST_TEST((Controller.submit(Request, Time.now()).Refusal_ == ErrorCode::QueueFull));
  Request.Priority_ = PriorityClass(0);
  BOOST_TEST((Controller.submit(Request, Time.now()).State_ == AdmissionState::Queued));
  const QueueUpdate Update = Controller.processQueues(Time.now());
  BOOST_REQUIRE(Update.Dropped_.size() == 1);
  BOOST_TEST((Update.Dropped_[0].Refusal_ == ErrorCode::QueueFull));
}

BOOST_AUTO_TEST_CASE(EveryTicketEndsOnceInAnySchedule) {
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    std::mt19937_64 Random(Seed);
    AdmissionOptions Options;
    Options.MaxQueued_ = 8;
    Options.MakeLimit_ = [](const PoolId &) { return makeAdaptiveConcurrency({4, 2, 8, 2, 0.9}); };
    AdmissionController Controller(Options);
    ManualClock Time;
    std::set<AdmissionTicket> Waiting;
    std::set<AdmissionTicket> Running;
    for (int I = 0; I < 300; ++I, Time.advance(std::chrono::milliseconds(Random() % 30))) {
      const AdmissionRequest Request{CustomerId(std::to_string(Random() % 3)),
                                     PoolId(std::to_string(Random() % 2)),
                                     PriorityClass(static_cast<std::uint8_t>(Random() % 3)),
                                     static_cast<double>(1 + Random() % 5),
                                     1,
                                     Time.now() + std::chrono::milliseconds(Random() % 2000)};
      if (Random() % 2 == 0) {
        const AdmissionDecision Decision = Controller.submit(Request, Time.now());
        if (Decision.State_ != AdmissionState::Refused)
          (Decision.State_ == AdmissionState::Queued ? Waiting : Running).insert(Decision.Ticket_);
      }
      auto &From = Random() % 4 == 0 ? Waiting : Running;
      if (!From.empty() && Random() % 2 == 0) {
        const AdmissionTicket Ticket = *From.begin();
        if (&From == &Waiting || Random() % 4 == 0)
          Controller.cancel(Ticket, Time.now());
        else
          Controller.finish(Ticket, {}, Time.now());
        From.erase(Ticket);
      }
      const QueueUpdate Update = Controller.processQueues(Time.now());
      for (const AdmissionTicket Ticket : Update.Admitted_) {
        BOOST_REQUIRE(Waiting.erase(Ticket) == 1);
        Running.insert(Ticket);
      }
      for (const DroppedRequest &Dropped : Update.Dropped_)
        BOOST_REQUIRE(Waiting.erase(Dropped.Ticket_) == 1);
      BOOST_REQUIRE(Controller.queued() == Waiting.size());
      BOOST_REQUIRE(Controller.inFlight() == Running.size());
      BOOST_REQUIRE(Controller.queued() <= 16U);
    }
  }
}

BOOST_AUTO_TEST_CASE(AdaptiveLimitSettlesNearTheCapacity) {
  // Ten servers share the work: with more than ten requests in flight each only takes longer.
  auto Limit = makeAdaptiveConcurrency({});
  for (int I = 0; I < 20000; ++I) {
    const double InFlight = Limit->limit();
    Limit->recordCompletion(AdmissionOutcome::Result::Succeeded, 0.1 * std::max(1.0, InFlight / 10),
                            InFlight);
  }
  BOOST_TEST(Limit->limit() > 10);
  BOOST_TEST(Limit->limit() < 40);
  for (int I = 0; I < 2000; ++I)
    Limit->recordCompletion(AdmissionOutcome::Result::Overloaded, 0.1, Limit->limit());
  BOOST_TEST(Limit->limit() < 4);
}
