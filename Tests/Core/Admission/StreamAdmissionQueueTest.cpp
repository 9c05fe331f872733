#include "Core/Admission/StreamAdmissionQueue.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const ServiceId Service("model");
constexpr double Tokens = 800;

StreamAdmissionRequest request(std::uint64_t Ticket, const char *Customer, int Priority,
                               TimePoint Now, bool OrderByClass) {
  return {AdmissionTicket(Ticket),
          Service,
          CustomerId(Customer),
          PriorityClass(static_cast<std::uint8_t>(Priority)),
          Tokens,
          Now,
          500ms,
          Now + 2s,
          OrderByClass};
}

bool enqueue(StreamAdmissionQueue &Queue, std::uint64_t Ticket, const char *Customer, int Priority,
             TimePoint Now, bool OrderByClass = false) {
  return Queue.tryEnqueue(request(Ticket, Customer, Priority, Now, OrderByClass), Now);
}

/// Placements of one class at a steady rate over the three seconds before Now.
void place(StreamAdmissionQueue &Queue, double PerSecond, TimePoint Now, int Priority = 0) {
  const int Count = static_cast<int>(3 * PerSecond);
  for (int I = 0; I < Count; ++I)
    Queue.onPlaced(Service, PriorityClass(static_cast<std::uint8_t>(Priority)), Tokens,
                   Now - 3s * (Count - I) / (Count + 1));
}

/// The tickets in the order in which they would be placed now.
std::string order(StreamAdmissionQueue &Queue, std::uint64_t Last, TimePoint Now) {
  std::string Order;
  for (bool Served = true; Served;) {
    Served = false;
    for (std::uint64_t Ticket = 1; Ticket <= Last && !Served; ++Ticket)
      if (Queue.isNext(AdmissionTicket(Ticket), Now)) {
        Order += std::to_string(Ticket);
        Queue.take(AdmissionTicket(Ticket));
        Served = true;
      }
  }
  return Order;
}

/// How many of a burst of 40 equal requests wait.
struct BurstCase {
  const char *Name_;
  double PlacedPerSecond_;
  bool OrderByClass_;
  /// The class of the requests that were placed; those of the burst are of class 1.
  int PlacedClass_;
  int Waiting_;
};

std::ostream &operator<<(std::ostream &Out, const BurstCase &Case) { return Out << Case.Name_; }

const BurstCase BurstCases[] = {
    {"nothing placed lately", 0, true, 1, 0},
    {"one priority, longest wait 400 ms", 25, false, 0, 10},
    {"one priority, few placed", 4, false, 0, 2},
    {"by class, until the caller gives up", 4, true, 1, 1},
    {"by class, many placed", 25, true, 1, 27},
    {"by class, a more urgent one obtained the memory", 4, true, 0, 0},
};

} // namespace

BOOST_DATA_TEST_CASE(OnlyAsManyWaitAsObtainMemoryInTime, BurstCases, Case) {
  StreamAdmissionQueue Queue;
  place(Queue, Case.PlacedPerSecond_, Start, Case.PlacedClass_);
  int Waiting = 0;
  for (std::uint64_t Ticket = 1; Ticket <= 40; ++Ticket)
    Waiting += enqueue(Queue, Ticket, "a", 1, Start, Case.OrderByClass_) ? 1 : 0;
  BOOST_TEST(Waiting == Case.Waiting_);
  BOOST_TEST(Queue.size() == static_cast<std::size_t>(Waiting));
  for (std::uint64_t Ticket = 1; Ticket <= 40; ++Ticket)
    Queue.remove(AdmissionTicket(Ticket));
  // Once no more is placed, the next request is refused at once.
  BOOST_TEST(!enqueue(Queue, 50, "a", 1, Start + 4s, Case.OrderByClass_));
}

BOOST_AUTO_TEST_CASE(RejectedPlacementsDoNotCount) {
  StreamAdmissionQueue Queue;
  for (int I = 0; I < 10; ++I) {
    Queue.onPlaced(Service, PriorityClass(0), Tokens, Start);
    Queue.onRejected(Service, PriorityClass(0), Tokens, Start);
  }
  BOOST_TEST(!enqueue(Queue, 1, "a", 0, Start, true));
}

BOOST_AUTO_TEST_CASE(HigherPriorityGoesFirstThenCustomersAlternate) {
  for (const bool OrderByClass : {false, true}) {
    StreamAdmissionQueue Queue;
    place(Queue, 30, Start);
    BOOST_TEST(enqueue(Queue, 1, "a", 2, Start, OrderByClass));
    BOOST_TEST(enqueue(Queue, 2, "a", 2, Start, OrderByClass));
    BOOST_TEST(enqueue(Queue, 3, "b", 2, Start, OrderByClass));
    BOOST_TEST(enqueue(Queue, 4, "c", 1, Start, OrderByClass));
    BOOST_TEST(order(Queue, 4, Start) == "4132");
  }
}

BOOST_AUTO_TEST_CASE(ALateRequestGetsOnePlacementInFour) {
  StreamAdmissionQueue Queue;
  place(Queue, 100, Start, 1);
  for (std::uint64_t Ticket = 1; Ticket <= 2; ++Ticket)
    BOOST_TEST(enqueue(Queue, Ticket, "a", 0, Start - 800ms, true));
  for (std::uint64_t Ticket = 3; Ticket <= 9; ++Ticket)
    BOOST_TEST(enqueue(Queue, Ticket, "a", 1, Start, true));
  BOOST_TEST(order(Queue, 9, Start) == "345167829");
}

BOOST_AUTO_TEST_CASE(WaitingRaisesTheClass) {
  StreamAdmissionQueue Queue;
  place(Queue, 30, Start);
  auto Old = request(1, "a", 2, Start, true);
  Old.Objective_ = 3s;
  Old.GivesUpAt_ = Start + 12s;
  BOOST_TEST(Queue.tryEnqueue(Old, Start));
  BOOST_TEST(enqueue(Queue, 2, "a", 0, Start + 1900ms, true));
  BOOST_TEST(Queue.isNext(AdmissionTicket(2), Start + 1900ms));
  Queue.take(AdmissionTicket(2));
  BOOST_TEST(enqueue(Queue, 3, "a", 0, Start + 2100ms, true));
  BOOST_TEST(Queue.isNext(AdmissionTicket(1), Start + 2100ms));
}

// A request that can't be placed for a reason of its own must not hold up the others.
BOOST_AUTO_TEST_CASE(ADeferredRequestLetsOthersGoFirst) {
  StreamAdmissionQueue Queue;
  place(Queue, 30, Start);
  enqueue(Queue, 1, "a", 0, Start, true);
  enqueue(Queue, 2, "a", 0, Start + 1ms, true);
  Queue.defer(AdmissionTicket(1), Start + 2ms);
  BOOST_TEST(!Queue.isNext(AdmissionTicket(1), Start + 2ms));
  BOOST_TEST(Queue.isNext(AdmissionTicket(2), Start + 2ms));
  // Its turn comes again.
  BOOST_TEST(Queue.isNext(AdmissionTicket(1), Start + 100ms));
  Queue.defer(AdmissionTicket(1), Start + 100ms);
  Queue.remove(AdmissionTicket(2));
  BOOST_TEST(!Queue.isContended(Service, Start + 100ms));
  BOOST_TEST(Queue.size() == 1U);
  Queue.remove(AdmissionTicket(1));
  Queue.remove(AdmissionTicket(1));
  BOOST_TEST(Queue.size() == 0U);
}

// A large request must not hold up small ones for which there is memory.
BOOST_AUTO_TEST_CASE(ATurnEndsIfNoMemoryIsFound) {
  StreamAdmissionQueue Queue;
  place(Queue, 30, Start);
  enqueue(Queue, 1, "a", 0, Start, true);
  enqueue(Queue, 2, "a", 0, Start + 1ms, true);
  for (Duration Passed = 1ms; Passed < 150ms; Passed += 10ms) {
    BOOST_TEST(Queue.isNext(AdmissionTicket(1), Start + Passed));
    Queue.onNotPlaced(AdmissionTicket(1), Start + Passed);
  }
  Queue.onNotPlaced(AdmissionTicket(1), Start + 160ms);
  BOOST_TEST(Queue.isNext(AdmissionTicket(2), Start + 160ms));
  // It has a turn again before it would be late.
  BOOST_TEST(Queue.isNext(AdmissionTicket(1), Start + 220ms));
}

BOOST_AUTO_TEST_CASE(AServiceDoesNotWaitForAnother) {
  StreamAdmissionQueue Queue;
  place(Queue, 30, Start);
  enqueue(Queue, 1, "a", 0, Start, true);
  BOOST_TEST(Queue.isContended(Service, Start));
  BOOST_TEST(!Queue.isContended(ServiceId("other"), Start));
}

BOOST_AUTO_TEST_CASE(TheWaitCanEndWhileTheFirstEventCanBeInTime) {
  StreamAdmissionOptions Options;
  Options.WaitsBeyondObjective_ = false;
  StreamAdmissionQueue Queue(Options);
  place(Queue, 30, Start);
  enqueue(Queue, 1, "a", 0, Start, true);
  BOOST_TEST((Queue.waitEnd(AdmissionTicket(1)) == Start + 500ms - 150ms));
}

BOOST_AUTO_TEST_CASE(TheWaitEndsWhileTheFirstEventCanArrive) {
  StreamAdmissionQueue Queue;
  place(Queue, 30, Start);
  enqueue(Queue, 1, "a", 0, Start, true);
  BOOST_TEST((Queue.waitEnd(AdmissionTicket(1)) == Start + 2s - 150ms));
  for (int I = 0; I < 100; ++I)
    Queue.onFirstEvent(Service, 400ms);
  enqueue(Queue, 2, "a", 0, Start, true);
  BOOST_TEST((Queue.waitEnd(AdmissionTicket(2)) - Start) / 1ms == 1600,
             boost::test_tools::tolerance(0.01));
}

// Otherwise it would obtain the memory for which more urgent requests are refused.
BOOST_AUTO_TEST_CASE(ALessUrgentRequestWaitsNoLongerThanAMoreUrgentOneMay) {
  StreamAdmissionQueue Queue;
  place(Queue, 30, Start, 2);
  enqueue(Queue, 1, "a", 0, Start, true);
  auto Patient = request(2, "a", 2, Start, true);
  Patient.GivesUpAt_ = Start + 4s;
  BOOST_TEST(Queue.tryEnqueue(Patient, Start));
  BOOST_TEST((Queue.waitEnd(AdmissionTicket(2)) == Start + 2s - 150ms));
}

namespace {

struct RetryAfterCase {
  const char *Name_;
  double PlacedPerSecond_;
  int RefusedBefore_;
  double Draw_;
  Duration Expected_;
};

std::ostream &operator<<(std::ostream &Out, const RetryAfterCase &Case) {
  return Out << Case.Name_;
}

const RetryAfterCase RetryAfterCases[] = {
    {"no backlog", 10, 0, 0, 400ms},     {"others were told to come back", 10, 9, 0, 1000ms},
    {"with jitter", 10, 9, 0.5, 1250ms}, {"a long backlog", 10, 100, 0, 2000ms},
    {"at most", 10, 100, 1, 3000ms},     {"nothing placed", 0, 0, 0, 2000ms},
};

} // namespace

BOOST_DATA_TEST_CASE(RetryAfterFollowsTheRateAtWhichMemoryIsObtained, RetryAfterCases, Case) {
  StreamAdmissionQueue Queue;
  place(Queue, Case.PlacedPerSecond_, Start);
  for (int I = 0; I < Case.RefusedBefore_; ++I)
    Queue.retryAfter(Service, Tokens, 0, Start);
  const Duration After = Queue.retryAfter(Service, Tokens, Case.Draw_, Start);
  BOOST_TEST(After / 1ms == Case.Expected_ / 1ms);
}
