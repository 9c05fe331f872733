#include "Core/Admission/StartupQueue.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

struct WaitCase {
  const char *Name_;
  /// Time from the start of the process to the arrival of the request.
  Duration Arrival_;
  Duration TimeBudget_;
  /// How long it waits at most; zero if it is refused at once.
  Duration Wait_;
};

std::ostream &operator<<(std::ostream &Out, const WaitCase &Case) { return Out << Case.Name_; }

const WaitCase WaitCases[] = {
    {"a stream at the start", 0ms, 20s, 800ms},
    {"a stream that arrives later", 300ms, 20s, 500ms},
    {"a call with little time keeps half of it", 0ms, 600ms, 300ms},
    {"a caller without time left", 0ms, 0ms, 0ms},
    {"a process that is not ready for long", 800ms, 20s, 0ms},
    {"a process that is not ready for very long", 1h, 20s, 0ms},
};

} // namespace

BOOST_DATA_TEST_CASE(ARequestWaitsOnlyInTheFirstMomentsOfTheProcess, WaitCases, Case) {
  StartupQueue Queue({.MaxWait_ = 800ms}, Start);
  const TimePoint Arrival = Start + Case.Arrival_;
  BOOST_TEST(Queue.tryEnqueue(AdmissionTicket(1), 100, Case.TimeBudget_, Arrival) ==
             (Case.Wait_ > 0ms));
  if (Case.Wait_ == 0ms)
    return;
  BOOST_TEST(Queue.takeExpired(Arrival + Case.Wait_ - 1ms).empty());
  BOOST_TEST(Queue.takeExpired(Arrival + Case.Wait_).size() == 1U);
  BOOST_TEST(Queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(WithoutAWaitEveryRequestIsRefusedAtOnce) {
  StartupQueue Queue({}, Start);
  BOOST_TEST(!Queue.tryEnqueue(AdmissionTicket(1), 100, 20s, Start));
}

BOOST_AUTO_TEST_CASE(WaitingRequestsAreBoundedInNumberAndBytes) {
  StartupQueue Queue({800ms, 3, 1000}, Start);
  BOOST_TEST(Queue.tryEnqueue(AdmissionTicket(1), 600, 20s, Start));
  BOOST_TEST(!Queue.tryEnqueue(AdmissionTicket(2), 600, 20s, Start));
  BOOST_TEST(Queue.tryEnqueue(AdmissionTicket(3), 100, 20s, Start));
  BOOST_TEST(Queue.tryEnqueue(AdmissionTicket(4), 100, 20s, Start));
  BOOST_TEST(!Queue.tryEnqueue(AdmissionTicket(5), 100, 20s, Start));
  // A caller that leaves makes room.
  Queue.remove(AdmissionTicket(1));
  BOOST_TEST(Queue.tryEnqueue(AdmissionTicket(6), 600, 20s, Start));
}

BOOST_AUTO_TEST_CASE(OnceTheProcessIsReadyAllGoInOrderOfArrival) {
  StartupQueue Queue({.MaxWait_ = 800ms}, Start);
  for (std::uint64_t Ticket = 1; Ticket <= 3; ++Ticket)
    BOOST_TEST(Queue.tryEnqueue(AdmissionTicket(Ticket), 100, 20s, Start));
  const std::vector<AdmissionTicket> Expected{AdmissionTicket(1), AdmissionTicket(2),
                                              AdmissionTicket(3)};
  BOOST_TEST((Queue.close() == Expected));
  BOOST_TEST(!Queue.tryEnqueue(AdmissionTicket(4), 100, 20s, Start));
}
