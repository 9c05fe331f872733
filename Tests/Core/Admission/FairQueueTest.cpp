#include "Core/Admission/FairQueue.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <ostream>
#include <random>
#include <string>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

QueuedRequest request(std::uint64_t Ticket, const char *Customer, int Priority, double Cost = 1,
                      TimePoint At = Start) {
  return {AdmissionTicket(Ticket),
          CustomerId(Customer),
          PriorityClass(static_cast<std::uint8_t>(Priority)),
          Cost,
          At + 1h,
          At};
}

struct WeightCase {
  const char *Name_;
  QueueOrder Order_;
  double HeavyWeight_;
  double HeavyCost_;
  /// Bounds of the light customer's part of the first 40 units of cost that are served.
  int LightMin_;
  int LightMax_;
};

std::ostream &operator<<(std::ostream &Out, const WeightCase &Case) { return Out << Case.Name_; }

const WeightCase WeightCases[] = {
    {"equal", QueueOrder::Fair, 1, 1, 19, 21},
    {"heavy weighs three", QueueOrder::Fair, 3, 1, 9, 11},
    {"heavy asks for long answers", QueueOrder::Fair, 1, 4, 18, 22},
    {"arrival order is not fair", QueueOrder::Arrival, 1, 1, 0, 0},
};

} // namespace

BOOST_DATA_TEST_CASE(ServesCustomersByWeight, WeightCases, Case) {
  FairQueue Queue(Case.Order_, 10s);
  std::uint64_t Ticket = 0;
  for (int I = 0; I < 200; ++I)
    Queue.push(request(++Ticket, "heavy", 1, Case.HeavyCost_), Case.HeavyWeight_);
  for (int I = 0; I < 50; ++I)
    Queue.push(request(++Ticket, "light", 1), 1);
  std::map<std::string, double> Served;
  for (double Total = 0; Total < 40;) {
    const auto Next = Queue.pop(Start);
    Served[Next->Customer_.str()] += Next->Cost_;
    Total += Next->Cost_;
  }
  BOOST_TEST(Served["light"] >= Case.LightMin_);
  BOOST_TEST(Served["light"] <= Case.LightMax_);
}

BOOST_AUTO_TEST_CASE(RequestsRemovedUnservedCostTheirCustomerNothing) {
  FairQueue Queue(QueueOrder::Fair, 10s);
  for (std::uint64_t I = 1; I <= 100; ++I)
    Queue.push(request(I, "heavy", 1), 1);
  for (std::uint64_t I = 101; I <= 120; ++I)
    Queue.push(request(I, "light", 1), 1);
  // All but the customer's last ten expire.
  BOOST_TEST(Queue.removeIf([](const auto &Each) { return Each.Ticket_.value() <= 90; }).size() ==
             90U);
  int Heavy = 0;
  for (int I = 0; I < 20; ++I)
    Heavy += Queue.pop(Start)->Customer_.str() == "heavy" ? 1 : 0;
  BOOST_TEST(Heavy == 10);
}

BOOST_AUTO_TEST_CASE(HighClassGoesFirstUntilLowClassHasAged) {
  FairQueue Queue(QueueOrder::Fair, 10s);
  Queue.push(request(1, "a", 2), 1);
  Queue.push(request(2, "b", 0, 1, Start + 5s), 1);
  BOOST_TEST(Queue.pop(Start + 5s)->Ticket_.value() == 2U);
  Queue.push(request(3, "b", 0, 1, Start + 21s), 1);
  BOOST_TEST(Queue.pop(Start + 21s)->Ticket_.value() == 1U);
}

BOOST_AUTO_TEST_CASE(FullQueueDisplacesTheLastRequestOfTheLowestClass) {
  FairQueue Queue(QueueOrder::Fair, 10s);
  for (std::uint64_t I = 1; I <= 5; ++I)
    Queue.push(request(I, "heavy", 2), 1);
  Queue.push(request(6, "light", 2), 1);
  BOOST_TEST(Queue.displace(CustomerId("other"), PriorityClass(2), 1, 1)->Ticket_.value() == 5U);
  BOOST_TEST(!Queue.displace(CustomerId("heavy"), PriorityClass(2), 1, 1).has_value());
  BOOST_TEST(!Queue.displace(CustomerId("other"), PriorityClass(3), 1, 1).has_value());
}

BOOST_AUTO_TEST_CASE(CostAheadMatchesTheServingOrder) {
  std::mt19937_64 Random(7);
  const char *Names[] = {"a", "b", "c"};
  for (int Round = 0; Round < 200; ++Round) {
    FairQueue Queue(QueueOrder::Fair, 10s);
    std::uint64_t Ticket = 0;
    for (int I = 0; I < 30; ++I)
      Queue.push(request(++Ticket, Names[Random() % 3], static_cast<int>(Random() % 3),
                         static_cast<double>(1 + Random() % 9)),
                 1);
    for (int I = 0; I < 5; ++I)
      Queue.pop(Start);
    const QueuedRequest Last =
        request(1000, Names[Random() % 3], static_cast<int>(Random() % 3), 4);
    const double Expected = Queue.costAhead(Last.Customer_, Last.Priority_, 4, 1, Start);
    Queue.push(Last, 1);
    double Ahead = 0;
    for (auto Next = Queue.pop(Start); Next->Ticket_ != Last.Ticket_; Next = Queue.pop(Start))
      Ahead += Next->Cost_;
    BOOST_TEST(Ahead == Expected);
  }
}
