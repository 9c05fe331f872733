#include "Core/Admission/EngineMemoryQueue.h"

#include <boost/test/unit_test.hpp>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

bool enqueue(EngineMemoryQueue &Queue, std::uint64_t Ticket, const char *Customer, int Priority,
             TimePoint Now) {
  return Queue.tryEnqueue(AdmissionTicket(Ticket), CustomerId(Customer),
                          PriorityClass(static_cast<std::uint8_t>(Priority)), 800, Now);
}

} // namespace

BOOST_AUTO_TEST_CASE(NoRequestWaitsWhileNoStreamEnds) {
  EngineMemoryQueue Queue;
  BOOST_TEST(!enqueue(Queue, 1, "a", 1, Start));
}

BOOST_AUTO_TEST_CASE(OnlyAsManyWaitAsStreamsEndInTime) {
  // 25 streams end each second, and a burst of 40 requests finds no free memory.
  EngineMemoryQueue Queue;
  for (int I = 0; I < 25; ++I)
    Queue.onMemoryFreed(Start + I * 40ms);
  int Waiting = 0;
  for (std::uint64_t Ticket = 1; Ticket <= 40; ++Ticket)
    Waiting += enqueue(Queue, Ticket, "a", 1, Start + 1s) ? 1 : 0;
  BOOST_TEST(Waiting == 10);
  BOOST_TEST(Queue.size() == 10U);
  // Once no more streams end, the next request is refused at once.
  for (std::uint64_t Ticket = 1; Ticket <= 10; ++Ticket)
    Queue.remove(AdmissionTicket(Ticket));
  BOOST_TEST(!enqueue(Queue, 50, "a", 1, Start + 4s));
}

BOOST_AUTO_TEST_CASE(HigherPriorityGoesFirstThenCustomersAlternate) {
  EngineMemoryQueue Queue;
  for (int I = 0; I < 30; ++I)
    Queue.onMemoryFreed(Start);
  BOOST_TEST(enqueue(Queue, 1, "a", 2, Start));
  BOOST_TEST(enqueue(Queue, 2, "a", 2, Start));
  BOOST_TEST(enqueue(Queue, 3, "b", 2, Start));
  BOOST_TEST(enqueue(Queue, 4, "c", 1, Start));
  std::string Order;
  for (int Served = 0; Served < 4; ++Served)
    for (std::uint64_t Ticket = 1; Ticket <= 4; ++Ticket)
      if (Queue.isNext(AdmissionTicket(Ticket), Start)) {
        Order += std::to_string(Ticket);
        Queue.remove(AdmissionTicket(Ticket));
        break;
      }
  BOOST_TEST(Order == "4132");
}

BOOST_AUTO_TEST_CASE(RemovedRequestLetsTheNextOneRun) {
  EngineMemoryQueue Queue;
  for (int I = 0; I < 30; ++I)
    Queue.onMemoryFreed(Start);
  enqueue(Queue, 1, "a", 1, Start);
  enqueue(Queue, 2, "a", 1, Start);
  BOOST_TEST(Queue.isNext(AdmissionTicket(1), Start));
  BOOST_TEST(!Queue.isNext(AdmissionTicket(2), Start));
  Queue.remove(AdmissionTicket(1));
  BOOST_TEST(Queue.isNext(AdmissionTicket(2), Start));
  Queue.remove(AdmissionTicket(2));
  Queue.remove(AdmissionTicket(2));
  BOOST_TEST(Queue.size() == 0U);
}
