#include "History/HistoryCheck.h"

#include "History/HistoryReader.h"
#include "StandIns/AnswerModel.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <ostream>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

/// A range of tokens that request r1 ran on one of two stages of four layers each.
struct Run {
  int Attempt_ = 1;
  int Position_ = 0;
  int Count_ = 1;
  int Stage_ = 0;
  int Sequence_ = 1;
  std::string Version_ = "3";
  std::string Kind_ = "layers";
};

std::string line(const Run &Of) {
  return fmt::format(
      R"({{"kind":"{}","request":"r1","attempt":{},"position":{},"count":{},"layer_begin":{},)"
      R"("layer_end":{},"layer_count":8,"version":"{}","engine":"eng-{}","sequence":{},"at":1}})"
      "\n",
      Of.Kind_, Of.Attempt_, Of.Position_, Of.Count_, 4 * Of.Stage_, 4 * Of.Stage_ + 4, Of.Version_,
      Of.Stage_, Of.Sequence_);
}

/// The two prompt tokens and the first two of three answer tokens, run through both stages.
std::string attempt(int Number, int FirstSequence) {
  std::string Lines;
  for (const int Stage : {0, 1}) {
    Lines += line({Number, 0, 2, Stage, FirstSequence});
    Lines += line({Number, 2, 1, Stage, FirstSequence + 1});
    Lines += line({Number, 3, 1, Stage, FirstSequence + 2});
  }
  return Lines;
}

std::string modelRequest(const std::string &Text, const std::string &More = {}) {
  return fmt::format(R"({{"kind":"call","request":"r1","prompt":"guy #3","version":"3",)"
                     R"("outcome":"done","status":200,"text":"{}"{},"at":9}})"
                     "\n",
                     Text, More);
}

const std::string Whole = wholeAnswer("3", "guy #3");
const std::string Part = Whole.substr(0, 15);

std::string call(const std::string &Id, const std::string &Outcome, const std::string &More = {}) {
  return fmt::format(R"({{"kind":"call","request":"{}","outcome":"{}"{}}})"
                     "\n",
                     Id, Outcome, More);
}
std::string execution(const std::string &Call, const std::string &Key, int At = 0) {
  return fmt::format(R"({{"kind":"execution","call":"{}","key":"{}","service":"svc-1",)"
                     R"("incarnation":1,"method":"POST","at":{}}})"
                     "\n",
                     Call, Key, At);
}
std::string leaving(const std::string &Kind, int At, int Incarnation = 1) {
  return fmt::format(R"({{"kind":"{}","endpoint":"svc-1","incarnation":{},"at":{}}})"
                     "\n",
                     Kind, Incarnation, At);
}
std::string shutdown(const std::string &Phase, int At) {
  return fmt::format(R"({{"kind":"shutdown","process":"router-1","phase":"{}","at":{}}})"
                     "\n",
                     Phase, At);
}
std::string applied(const std::string &Process, int Incarnation, int Offset,
                    const std::string &Digest) {
  return fmt::format(R"({{"kind":"applied","process":"{}","incarnation":{},"offset":{},)"
                     R"("digest":"{}"}})"
                     "\n",
                     Process, Incarnation, Offset, Digest);
}
std::string decision(const std::string &Process, const std::string &Accepted) {
  return fmt::format(R"({{"kind":"decision","process":"{}","change":"c1","accepted":{}}})"
                     "\n",
                     Process, Accepted);
}

struct HistoryCase {
  std::string Name_;
  std::string Lines_;
  /// The check that fails; empty if all hold.
  std::string Check_;
  /// A part of the violation's text.
  std::string Text_;
};
std::ostream &operator<<(std::ostream &Out, const HistoryCase &Case) { return Out << Case.Name_; }

const HistoryCase ModelRequestCases[] = {
    {"a whole answer in one attempt", attempt(1, 1) + modelRequest(Whole), "", ""},
    {"a second attempt that prefills anew",
     line({1, 0, 2, 0, 1}) + attempt(2, 5) + modelRequest(Whole), "", ""},
    {"an imported KV cache",
     attempt(1, 1) + line({2, 0, 3, 0, 7, "3", "import"}) + line({2, 3, 1, 0, 8}) +
         line({2, 0, 4, 1, 9}) + modelRequest(Whole),
     "", ""},
    {"an imported KV cache that nobody computed",
     line({2, 0, 4, 0, 1, "3", "import"}) + line({2, 0, 4, 1, 1}) + modelRequest(Whole), "layers",
     "imported"},
    {"a layer twice for a token", attempt(1, 1) + line({1, 3, 1, 1, 9}) + modelRequest(Whole),
     "layers", "twice"},
    {"a token that skipped a stage",
     line({1, 0, 4, 0, 1}) + line({1, 0, 3, 1, 1}) + modelRequest(Whole), "layers", "delivered"},
    {"layers missing from the chain", line({1, 0, 4, 1, 1}) + modelRequest(Whole), "layers",
     "delivered"},
    {"a token that no attempt ran",
     line({1, 0, 2, 0, 1}) + line({1, 0, 2, 1, 1}) + modelRequest(Whole), "layers", "delivered"},
    {"tokens whose layers ran in two attempts",
     line({1, 0, 3, 0, 1}) + line({1, 0, 3, 1, 1}) + line({2, 3, 1, 0, 2}) + line({2, 3, 1, 1, 2}) +
         modelRequest(Whole),
     "layers", "delivered"},
    {"positions out of order on an engine",
     line({1, 0, 2, 0, 2}) + line({1, 2, 2, 0, 1}) + line({1, 0, 4, 1, 1}) + modelRequest(Whole),
     "layers", "out of order"},
    {"two versions", attempt(1, 1) + line({2, 0, 2, 0, 9, "4"}) + modelRequest(Whole), "layers",
     "two versions"},
    {"the answer to another prompt", attempt(1, 1) + modelRequest(wholeAnswer("3", "lamp #3")),
     "answers", "not the answer"},
    {"an incomplete answer that is ended as a complete one", attempt(1, 1) + modelRequest(Part),
     "answers", "ended as a complete"},
    {"an incomplete answer that the caller sees to be cut",
     attempt(1, 1) + modelRequest(Part, R"(,"truncated":true)"), "", ""},
    {"a cut answer with a token of another answer",
     attempt(1, 1) + modelRequest("w000000 w1", R"(,"truncated":true)"), "answers",
     "not in the expected"},
    {"a repeated token", attempt(1, 1) + modelRequest(Part + Part.substr(7)), "answers",
     "not the answer"},
};

const HistoryCase CallCases[] = {
    {"calls that ran once or not at all",
     call("r1", "done") + call("r2", "not-run") + execution("r1", "k1"), "", ""},
    {"not-run, and executed", execution("r1", "") + call("r1", "not-run"), "not-run", "executed"},
    {"not-run, and a copy sent before ran",
     call("r1", "not-run", R"(,"key":"k1","at":10)") + call("r2", "done", R"(,"started":5)") +
         execution("r2", "k1"),
     "not-run", "executed"},
    {"not-run, and a copy that no caller recorded ran",
     call("r1", "not-run", R"(,"key":"k1","at":10)") + execution("r2", "k1"), "not-run",
     "executed"},
    {"not-run, and a repeat sent after it ran",
     call("r1", "not-run", R"(,"key":"k1","at":10)") + call("r2", "done", R"(,"started":15)") +
         execution("r2", "k1"),
     "", ""},
    {"a key twice", execution("r1", "k1") + execution("r2", "k1"), "at-most-once", "key"},
    {"a call twice", execution("r1", "") + execution("r1", ""), "at-most-once", "call"},
    {"an idempotent call twice",
     call("r1", "done", R"(,"idempotent":true)") + execution("r1", "") + execution("r1", ""), "",
     ""},
    {"new work within the grace period", leaving("leaving", 1000) + execution("r1", "", 5001000),
     "", ""},
    {"new work after the grace period", leaving("leaving", 1000) + execution("r1", "", 5001001),
     "leaving", "leaving endpoint"},
    {"refused work after the grace period", leaving("leaving", 1000) + leaving("work", 6000000),
     "leaving", "leaving endpoint"},
    {"work after the endpoint was live again",
     leaving("leaving", 1000) + leaving("live", 2000000) + execution("r1", "", 9000000), "", ""},
    {"work at a later run of the endpoint",
     leaving("leaving", 1000, 0) + execution("r1", "", 9000000), "", ""},
    {"a call cut during a graceful shutdown",
     shutdown("begin", 10) + call("r1", "cut", R"(,"at":11)") + shutdown("end", 12), "shutdown",
     "cut off"},
    {"a call cut by something else",
     shutdown("begin", 10) + call("r1", "cut", R"(,"at":13)") + shutdown("end", 12), "", ""},
    {"a call cut at another process",
     shutdown("begin", 10) + call("r1", "cut", R"(,"at":11,"process":"router-2")"), "", ""},
};

const HistoryCase SettingsCases[] = {
    {"settings go forward everywhere, in each run of a process",
     applied("p1", 1, 3, "a") + applied("p1", 1, 5, "b") + applied("p2", 1, 5, "b") +
         applied("p1", 2, 3, "a") + decision("p1", "true") + decision("p2", "true"),
     "", ""},
    {"settings go back", applied("p1", 1, 5, "b") + applied("p1", 1, 3, "a"), "settings", "back"},
    {"settings differ at one offset", applied("p1", 1, 5, "a") + applied("p2", 1, 5, "b"),
     "settings", "differ"},
    {"decisions differ", decision("p1", "true") + decision("p2", "false"), "settings",
     "accepted and rejected"},
};

void checkCase(const HistoryCase &Case) {
  history::History Events;
  std::string Detail;
  BOOST_REQUIRE(!history::readLines(Case.Lines_, Events, Detail));
  const std::vector<history::Violation> Found = history::findViolations(Events);
  if (Case.Check_.empty()) {
    BOOST_TEST(Found.empty(), (Found.empty() ? "" : history::describe(Found[0], Events)));
    return;
  }
  BOOST_REQUIRE(Found.size() == 1U);
  BOOST_TEST(Found[0].Check_ == Case.Check_);
  BOOST_TEST(Found[0].Text_.find(Case.Text_) != std::string::npos, Found[0].Text_);
  BOOST_TEST(!Found[0].Lines_.empty());
}

} // namespace

BOOST_DATA_TEST_CASE(ViolationsOfModelRequestsAreFound, data::make(ModelRequestCases), Case) {
  checkCase(Case);
}
BOOST_DATA_TEST_CASE(ViolationsOfCallsAreFound, data::make(CallCases), Case) { checkCase(Case); }
BOOST_DATA_TEST_CASE(ViolationsOfSettingsAreFound, data::make(SettingsCases), Case) {
  checkCase(Case);
}
