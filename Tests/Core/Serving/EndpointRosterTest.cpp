#include "Core/Serving/EndpointRoster.h"
#include "Core/Serving/EventSplitter.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const EndpointId Id("e");

EndpointListing listing(std::uint64_t Run, EndpointState State = EndpointState::Live) {
  EndpointListing Listing;
  Listing.Id_ = Id;
  Listing.Service_ = ServiceId("s");
  Listing.Address_ = NetAddress("10.0.0.1:80");
  Listing.DataCenter_ = DataCenterId("d");
  Listing.State_ = State;
  Listing.Run_ = Incarnation(Run);
  return Listing;
}

EngineReport report(std::uint64_t Run, LayerRange Layers) {
  EngineReport Report;
  Report.Run_ = Incarnation(Run);
  Report.Layers_ = Layers;
  return Report;
}

bool takesWork(const EndpointRoster &Roster, TimePoint Now) {
  const EndpointRecord *Record = Roster.find(Id);
  return Record && Roster.takesWork(*Record, Now);
}

struct EventCase {
  const char *Name_;
  const char *Bytes_;
  std::vector<std::string> Texts_;
  std::size_t Pending_;
};

std::ostream &operator<<(std::ostream &Out, const EventCase &Case) { return Out << Case.Name_; }

const EventCase EventCases[] = {
    {"two events",
     "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
     {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"},
     0},
    {"cut in the middle", "id: 1\ndata: a\n\nid: 2\nda", {"id: 1\ndata: a\n\n"}, 8},
    {"lines that end with two characters",
     "id: 1\r\ndata: a\r\n\r\n",
     {"id: 1\r\ndata: a\r\n\r\n"},
     0},
    {"nothing", "", {}, 0},
};

} // namespace

BOOST_AUTO_TEST_CASE(LeavingEndsOnlyWithARestart) {
  EndpointRoster Roster;
  BOOST_TEST((Roster.updateListing(listing(1), Start) == EndpointRoster::Change::Added));
  BOOST_TEST(takesWork(Roster, Start));
  BOOST_TEST((Roster.updateListing(listing(1, EndpointState::Leaving), Start) ==
              EndpointRoster::Change::Leaving));
  Roster.updateListing(listing(1), Start);
  BOOST_TEST(!takesWork(Roster, Start));
  BOOST_TEST((Roster.updateListing(listing(2), Start) == EndpointRoster::Change::Restarted));
  BOOST_TEST(takesWork(Roster, Start));
  BOOST_TEST((Roster.updateListing(listing(1), Start) == EndpointRoster::Change::None));
  BOOST_TEST(Roster.find(Id)->Listing_.Run_.value() == 2U);
}

BOOST_AUTO_TEST_CASE(EntriesThatExpiredInAnOutageMayReappear) {
  EndpointRoster Roster;
  Roster.updateListing(listing(1), Start);
  BOOST_TEST((Roster.removeListing(Id, Start + 2s, Start) == EndpointRoster::Change::Missing));
  BOOST_TEST(takesWork(Roster, Start + 1s));
  BOOST_TEST(Roster.prune(Start + 1s).empty());
  Roster.updateListing(listing(1), Start + 1s);
  BOOST_TEST(Roster.prune(Start + 5s).empty());
  Roster.removeListing(Id, Start + 7s, Start + 5s);
  // A second removal doesn't prolong the time.
  Roster.removeListing(Id, Start + 9s, Start + 6s);
  BOOST_TEST(Roster.prune(Start + 7s).size() == 1U);
  BOOST_TEST(!Roster.find(Id));
  Roster.updateListing(listing(1, EndpointState::Leaving), Start);
  BOOST_TEST((Roster.removeListing(Id, Start + 2s, Start) == EndpointRoster::Change::Removed));
}

// Guards against requests to an endpoint that has left, between the end of its time and the next
// call of prune (review/1).
BOOST_AUTO_TEST_CASE(AMissingEndpointTakesNoWorkOnceItsTimeIsOver) {
  EndpointRoster Roster;
  Roster.updateListing(listing(1), Start);
  Roster.removeListing(Id, Start + 2s, Start + 1900ms);
  BOOST_TEST(takesWork(Roster, Start + 1999ms));
  BOOST_TEST(!takesWork(Roster, Start + 2s));
  BOOST_TEST((Roster.removeListing(Id, Start + 2s, Start + 2s) == EndpointRoster::Change::Removed));
}

BOOST_AUTO_TEST_CASE(ReportsOfAnEarlierRunAreIgnored) {
  EndpointRoster Roster;
  Roster.updateListing(listing(2), Start);
  BOOST_TEST(!Roster.updateReport(Id, report(1, {0, 8}), Start + 1s));
  BOOST_TEST(Roster.updateReport(Id, report(2, {0, 8}), Start + 2s));
  BOOST_TEST(Roster.updateReport(Id, report(2, {8, 16}), Start + 1s));
  BOOST_TEST((Roster.find(Id)->layers() == LayerRange{0, 8}));
  Roster.updateListing(listing(3), Start + 3s);
  BOOST_TEST((Roster.find(Id)->layers() == LayerRange{}));
  BOOST_TEST(!Roster.updateReport(EndpointId("unknown"), report(1, {}), Start));
}

namespace {

/// What happens to an endpoint that did not answer at the start, and whether it counts as lost two
/// seconds later.
struct LostCase {
  const char *Name_;
  void (*Then_)(EndpointRoster &);
  bool Lost_;
};

std::ostream &operator<<(std::ostream &Out, const LostCase &Case) { return Out << Case.Name_; }

const LostCase LostCases[] = {
    {"answered late", [](EndpointRoster &Roster) { Roster.markHeard(Id, Start + 50ms); }, false},
    {"answered late twice",
     [](EndpointRoster &Roster) {
       Roster.markHeard(Id, Start + 50ms);
       Roster.markSilent(Id, Start + 1s, Start + 9s);
     },
     false},
    {"has not answered since",
     [](EndpointRoster &Roster) { Roster.markSilent(Id, Start + 500ms, Start + 9s); }, true},
    {"answered another process",
     [](EndpointRoster &Roster) {
       Roster.markSilent(Id, Start + 500ms, Start + 9s);
       Roster.updateReport(Id, report(1, {}), Start + 1s);
     },
     false},
    {"started again",
     [](EndpointRoster &Roster) {
       Roster.markSilent(Id, Start + 500ms, Start + 9s);
       Roster.updateListing(listing(2), Start + 1s);
     },
     false},
};

} // namespace

BOOST_DATA_TEST_CASE(LateAnswersAreNotALoss, LostCases, Case) {
  EndpointRoster Roster;
  Roster.updateListing(listing(1), Start);
  Roster.markSilent(Id, Start, Start + 1500ms);
  BOOST_TEST(!Roster.find(Id)->lost(Start + 1s));
  Case.Then_(Roster);
  BOOST_TEST(Roster.find(Id)->lost(Start + 2s) == Case.Lost_);
}

BOOST_AUTO_TEST_CASE(SilenceEndsWithTimeOrAnAnswer) {
  EndpointRoster Roster;
  Roster.updateListing(listing(1), Start);
  Roster.markSilent(Id, Start, Start + 1s);
  BOOST_TEST(!takesWork(Roster, Start));
  Roster.updateReport(Id, report(1, {}), Start + 100ms);
  BOOST_TEST(!takesWork(Roster, Start + 200ms));
  BOOST_TEST(takesWork(Roster, Start + 1s));
  Roster.markSilent(Id, Start, Start + 9s);
  Roster.noteActivity(Id, Start + 1900ms);
  BOOST_TEST(!takesWork(Roster, Start + 2s));
  Roster.markHeard(Id, Start + 2s);
  BOOST_TEST(takesWork(Roster, Start + 2s));
  BOOST_TEST((Roster.find(Id)->LastActivityAt_ == Start + 2s));
  Roster.updateListing(listing(2), Start + 3s);
  BOOST_TEST((Roster.find(Id)->LastActivityAt_ == TimePoint{}));
}

/// Guards against an engine that works again but stays idle for the rest of a long back-off, where
/// slow start tries it with few requests.
BOOST_AUTO_TEST_CASE(TheBackOffOfAnEndpointThatDeclinesWorkCanBeLimited) {
  for (const bool Limited : {false, true}) {
    EndpointRoster Roster;
    Roster.updateListing(listing(1), Start);
    if (Limited)
      Roster.setMaxDeclineBackoff(400ms);
    TimePoint Now = Start;
    for (int Decline = 0; Decline < 4; ++Decline) {
      Roster.noteRefusal(Id, Now);
      EngineReport Report = report(1, {0, 8});
      Report.TotalTokenLayers_ = 100;
      Roster.updateReport(Id, Report, Now + 350ms);
      Now += 360ms;
      BOOST_TEST(Roster.noteRefusal(Id, Now));
      Now = Roster.find(Id)->DeclinesUntil_;
    }
    const Duration Held = Roster.find(Id)->DeclineBackoff_;
    BOOST_TEST((Held == 3200ms));
    BOOST_TEST(Roster.find(Id)->declinesForLong(Now));
    BOOST_TEST(takesWork(Roster, Now));
    BOOST_TEST((Roster.find(Id)->DeclinesUntil_ - Start < 4s) == Limited);
  }
}

BOOST_AUTO_TEST_CASE(AnEndpointThatDeclinesWorkDespiteFreeMemoryIsRetriedLessAndLessOften) {
  EndpointRoster Roster;
  Roster.updateListing(listing(1), Start);
  const auto ReportFreeMemory = [&](TimePoint At) {
    EngineReport Report = report(1, {0, 8});
    Report.TotalTokenLayers_ = 100;
    Roster.updateReport(Id, Report, At);
  };
  ReportFreeMemory(Start);
  BOOST_TEST(!Roster.noteRefusal(Id, Start));
  BOOST_TEST(!Roster.noteRefusal(Id, Start + 200ms));
  ReportFreeMemory(Start + 350ms);
  BOOST_TEST(Roster.noteRefusal(Id, Start + 360ms));
  BOOST_TEST(!takesWork(Roster, Start + 700ms));
  // Further refusals in the meantime don't prolong the backoff.
  BOOST_TEST(!Roster.noteRefusal(Id, Start + 700ms));
  BOOST_TEST(takesWork(Roster, Start + 760ms));
  BOOST_TEST(!Roster.find(Id)->declinesForLong(Start + 760ms));
  Roster.noteRefusal(Id, Start + 800ms);
  ReportFreeMemory(Start + 1200ms);
  BOOST_TEST(Roster.noteRefusal(Id, Start + 1200ms));
  BOOST_TEST(!takesWork(Roster, Start + 1900ms));
  BOOST_TEST(Roster.find(Id)->declinesForLong(Start + 1900ms));
  BOOST_TEST(!Roster.find(Id)->declinesForLong(Start + 3600ms));
  // A restart ends the backoff.
  Roster.updateListing(listing(2), Start + 1900ms);
  BOOST_TEST(takesWork(Roster, Start + 1900ms));
}

BOOST_AUTO_TEST_CASE(ASurgeThatFillsAnEngineDoesNotStopNewWork) {
  // All callers come back at once after a failure: an engine that was nearly empty in its last
  // report refuses them, and is full in the next report.
  EndpointRoster Roster;
  Roster.updateListing(listing(1), Start);
  const auto Report = [&](double Used, TimePoint At) {
    EngineReport Answer = report(1, {0, 8});
    Answer.UsedTokenLayers_ = Used;
    Answer.TotalTokenLayers_ = 100;
    Roster.updateReport(Id, Answer, At);
  };
  Report(10, Start);
  for (int I = 0; I < 6; ++I)
    BOOST_TEST(!Roster.noteRefusal(Id, Start + I * 50ms));
  Report(95, Start + 350ms);
  BOOST_TEST(!Roster.noteRefusal(Id, Start + 360ms));
  BOOST_TEST(takesWork(Roster, Start + 370ms));
  // A refusal long after the surge counts as the first one again.
  Report(10, Start + 5s);
  BOOST_TEST(!Roster.noteRefusal(Id, Start + 5s));
  BOOST_TEST(takesWork(Roster, Start + 5s));
}

// Guards against orders and requests that go, one after the other, to an endpoint whose address now
// belongs to another endpoint.
BOOST_AUTO_TEST_CASE(AnEndpointWhoseAddressIsTakenIsRetriedLessAndLessOften) {
  EndpointRoster Roster;
  Roster.updateListing(listing(1), Start);
  const NetAddress Address("10.0.0.1:80");
  const auto Note = [&](TimePoint At) {
    return Roster.noteAddressTaken(Id, Address, Incarnation(1), At);
  };
  BOOST_TEST(!Roster.noteAddressTaken(EndpointId("unknown"), Address, Incarnation(1), Start));
  BOOST_TEST(Note(Start));
  // Answers to messages that were under way change nothing.
  BOOST_TEST(!Note(Start + 10ms));
  BOOST_TEST(!takesWork(Roster, Start + 1999ms));
  // A renewed entry with the same run and address changes nothing.
  Roster.updateListing(listing(1), Start + 1s);
  BOOST_TEST(!takesWork(Roster, Start + 1999ms));
  BOOST_TEST(takesWork(Roster, Start + 2s));
  BOOST_TEST(Note(Start + 2s));
  BOOST_TEST(!takesWork(Roster, Start + 5999ms));
  BOOST_TEST(takesWork(Roster, Start + 6s));
  TimePoint At = Start + 6s;
  for (int Time = 0; Time < 10; ++Time, At = Roster.find(Id)->AddressTakenUntil_)
    BOOST_TEST(Note(At));
  BOOST_TEST((Roster.find(Id)->AddressTakenBackoff_ == 32s));
}

namespace {

struct TakenEndCase {
  const char *Name_;
  std::uint64_t Run_;
  const char *Address_;
  bool Answers_;
  bool TakesWork_;
};

std::ostream &operator<<(std::ostream &Out, const TakenEndCase &Case) { return Out << Case.Name_; }

const TakenEndCase TakenEndCases[] = {
    {"nothing changes", 1, "10.0.0.1:80", false, false},
    {"another run", 2, "10.0.0.1:80", false, true},
    {"another address", 1, "10.0.0.2:80", false, true},
    {"the endpoint itself answers", 1, "10.0.0.1:80", true, true},
};

} // namespace

BOOST_DATA_TEST_CASE(AnAddressIsNoLongerTakenOnceTheEntryChangesOrTheEndpointAnswers, TakenEndCases,
                     Case) {
  EndpointRoster Roster;
  Roster.updateListing(listing(1), Start);
  const NetAddress Address("10.0.0.1:80");
  Roster.noteAddressTaken(Id, Address, Incarnation(1), Start);
  EndpointListing Listing = listing(Case.Run_);
  Listing.Address_ = NetAddress(Case.Address_);
  Roster.updateListing(Listing, Start + 500ms);
  if (Case.Answers_)
    Roster.markHeard(Id, Start + 500ms);
  BOOST_TEST(takesWork(Roster, Start + 500ms) == Case.TakesWork_);
  if (!Case.TakesWork_)
    return;
  // The answer to a message to the earlier run or address arrives late.
  if (!Case.Answers_) {
    BOOST_TEST(!Roster.noteAddressTaken(Id, Address, Incarnation(1), Start + 600ms));
    BOOST_TEST(takesWork(Roster, Start + 600ms));
  }
  BOOST_TEST(Roster.noteAddressTaken(Id, Listing.Address_, Incarnation(Case.Run_), Start + 700ms));
  BOOST_TEST((Roster.find(Id)->AddressTakenBackoff_ == 2s));
}

namespace {

struct ForeignReportCase {
  const char *Name_;
  /// Another endpoint is listed at the same address, with this run; 0 if there is none.
  std::uint64_t OtherRun_;
  /// Another endpoint answered at the address before.
  bool Taken_;
  std::uint64_t ReportedRun_;
  bool Accepted_;
};

std::ostream &operator<<(std::ostream &Out, const ForeignReportCase &Case) {
  return Out << Case.Name_;
}

const ForeignReportCase ForeignReportCases[] = {
    {"the listed run", 0, false, 5, true},
    {"an earlier run", 0, false, 4, false},
    {"a restart that is not listed yet", 0, false, 7, true},
    {"no run stated", 0, false, 0, true},
    {"the run of another endpoint with this address", 7, false, 7, false},
    {"a restart, another endpoint is listed with this address", 6, false, 7, true},
    {"the listed run, another endpoint is listed with this address", 7, false, 5, true},
    {"another run, another endpoint answered there", 0, true, 7, false},
    {"no run stated, another endpoint answered there", 0, true, 0, false},
    {"the listed run, another endpoint answered there", 0, true, 5, true},
};

} // namespace

// Guards against the report of a new, empty engine that is taken for the report of the engine that
// had its address before: its layers counted as lost and orders were sent to it.
BOOST_DATA_TEST_CASE(ReportsOfAnotherEndpointAtTheAddressAreRejected, ForeignReportCases, Case) {
  EndpointRoster Roster;
  Roster.updateListing(listing(5), Start);
  if (Case.OtherRun_ != 0) {
    EndpointListing Other = listing(Case.OtherRun_);
    Other.Id_ = EndpointId("other");
    Roster.updateListing(Other, Start);
  }
  Roster.updateReport(Id, report(5, {0, 8}), Start);
  if (Case.Taken_)
    Roster.noteAddressTaken(Id, NetAddress("10.0.0.1:80"), Incarnation(5), Start + 1s);
  BOOST_TEST(Roster.updateReport(Id, report(Case.ReportedRun_, {}), Start + 2s) == Case.Accepted_);
  BOOST_TEST((Roster.find(Id)->layers() == (Case.Accepted_ ? LayerRange{} : LayerRange{0, 8})));
}

BOOST_AUTO_TEST_CASE(AForeignReportIsDroppedOnceTheAddressIsKnownToBeTaken) {
  EndpointRoster Roster;
  Roster.updateListing(listing(5), Start);
  Roster.updateReport(Id, report(7, {}), Start + 1s);
  BOOST_TEST(Roster.find(Id)->reported());
  Roster.noteAddressTaken(Id, NetAddress("10.0.0.1:80"), Incarnation(5), Start + 2s);
  BOOST_TEST(!Roster.find(Id)->reported());
  BOOST_TEST((Roster.find(Id)->run() == Incarnation(5)));
}

BOOST_AUTO_TEST_CASE(AnAddressLeadsToTheEndpointThatHasItNow) {
  EndpointRoster Roster;
  const NetAddress Address("10.0.0.1:80");
  Roster.updateListing(listing(1), Start);
  EndpointListing Other = listing(2);
  Other.Id_ = EndpointId("f");
  Roster.updateListing(Other, Start);
  Roster.noteAddressTaken(Id, Address, Incarnation(1), Start);
  BOOST_TEST(Roster.findByAddress(Address)->Listing_.Id_.str() == "f");
  Roster.noteAddressTaken(Other.Id_, Address, Incarnation(2), Start);
  BOOST_TEST(Roster.findByAddress(Address)->Listing_.Id_.str() == "e");
  BOOST_TEST(!Roster.findByAddress(NetAddress("10.0.0.9:80")));
}

BOOST_AUTO_TEST_CASE(AmpleMemoryNeedsAReportAndNoQueue) {
  EndpointRoster Roster;
  Roster.updateListing(listing(1), Start);
  const auto HasAmpleMemory = [&](double Used, std::uint32_t Waiting) {
    EngineReport Report = report(1, {0, 8});
    Report.UsedTokenLayers_ = Used;
    Report.TotalTokenLayers_ = 100;
    Report.Waiting_ = Waiting;
    Roster.updateReport(Id, Report, Start);
    return Roster.find(Id)->hasAmpleMemory();
  };
  BOOST_TEST(!Roster.find(Id)->hasAmpleMemory());
  BOOST_TEST(HasAmpleMemory(60, 0));
  BOOST_TEST(!HasAmpleMemory(61, 0));
  BOOST_TEST(!HasAmpleMemory(0, 1));
  Roster.addOwnLoad(Id, 1, 90);
  BOOST_TEST(!HasAmpleMemory(0, 0));
}

BOOST_AUTO_TEST_CASE(OwnLoadNeverDropsBelowZero) {
  EndpointRoster Roster;
  Roster.updateListing(listing(1), Start);
  Roster.addOwnLoad(Id, 2, 100);
  Roster.addOwnLoad(Id, -1, -40);
  BOOST_TEST(Roster.find(Id)->OwnRequests_ == 1U);
  BOOST_TEST(Roster.find(Id)->OwnTokenLayers_ == 60);
  Roster.addOwnLoad(Id, -5, -1000);
  BOOST_TEST(Roster.find(Id)->OwnRequests_ == 0U);
  BOOST_TEST(Roster.find(Id)->OwnTokenLayers_ == 0);
}

BOOST_DATA_TEST_CASE(SplitsWholeEvents, EventCases, Case) {
  const std::string Bytes = Case.Bytes_;
  for (std::size_t Step = 1; Step <= Bytes.size() + 1; ++Step) {
    EventSplitter Splitter;
    std::vector<std::string> Texts;
    for (std::size_t At = 0; At < Bytes.size(); At += Step) {
      Splitter.feed(std::string_view(Bytes).substr(At, Step));
      while (const auto Event = Splitter.next())
        Texts.emplace_back(Event->Text_);
    }
    BOOST_TEST(Texts == Case.Texts_, boost::test_tools::per_element());
    BOOST_TEST(Splitter.pendingBytes() == Case.Pending_);
  }
}

BOOST_AUTO_TEST_CASE(ReadsTheIdsOfEvents) {
  EventSplitter Splitter;
  Splitter.feed("data: x\nid: 17\n\ndata: id: 3\n\nid: no\n\n");
  BOOST_TEST(Splitter.next()->Id_.value_or(0) == 17U);
  BOOST_TEST(!Splitter.next()->Id_.has_value());
  BOOST_TEST(!Splitter.next()->Id_.has_value());
  BOOST_TEST(!Splitter.next().has_value());
}
