#include "Core/Calls/ClaimTable.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

using State = ClaimDecision::State;

/// One record: 'c' claim, 'd' done, 'r' released, each by Call_ for the one key; 'f' forget up to
/// Position_; 'x' a record that can't be decoded.
struct Step {
  char Kind_;
  const char *Call_;
  std::int64_t Position_;
};

struct Case {
  const char *Name_;
  std::vector<Step> Log_;
  /// The call whose claim is looked up at the end, its position and the expected decision.
  const char *Call_;
  std::int64_t Position_;
  State Decision_;
  std::int64_t Offset_;
};
std::ostream &operator<<(std::ostream &Out, const Case &C) { return Out << C.Name_; }

const Case Cases[] = {
    {"nothing read", {}, "a", 0, State::Open, -1},
    {"first wins", {{'c', "a", 0}, {'c', "b", 0}}, "a", 0, State::Won, 0},
    {"second loses", {{'c', "a", 0}, {'c', "b", 0}}, "b", 0, State::Lost, 0},
    {"holder's late copy", {{'c', "a", 0}, {'c', "a", 0}}, "a", 0, State::Won, 0},
    {"other calls get the recorded answer", {{'c', "a", 0}, {'d', "a", 0}}, "b", 1, State::Done, 0},
    {"done by another is ignored", {{'c', "a", 0}, {'d', "b", 0}}, "a", 0, State::Won, 0},
    {"release by another is ignored", {{'c', "a", 0}, {'r', "b", 0}}, "a", 0, State::Won, 0},
    {"release after done is ignored",
     {{'c', "a", 0}, {'d', "a", 0}, {'r', "a", 0}},
     "b",
     3,
     State::Done,
     0},
    {"waiting copy after release", {{'c', "a", 0}, {'r', "a", 0}}, "b", 1, State::NotEligible, -1},
    {"repeat after release", {{'c', "a", 0}, {'r', "a", 0}, {'c', "b", 2}}, "b", 2, State::Won, 2},
    {"late copy of a released claim",
     {{'c', "a", 0}, {'r', "a", 0}, {'c', "a", 0}},
     "a",
     0,
     State::NotEligible,
     -1},
    {"late copy of a release does not free the key again",
     {{'c', "a", 0}, {'r', "a", 0}, {'c', "b", 2}, {'r', "a", 0}},
     "b",
     2,
     State::Won,
     2},
    {"position from the future", {{'c', "a", 5}}, "b", 0, State::Open, -1},
    {"forgotten key, old copy",
     {{'c', "a", 0}, {'d', "a", 0}, {'f', "", 2}, {'c', "b", 1}},
     "b",
     1,
     State::NotEligible,
     -1},
    {"forgotten key, new call",
     {{'c', "a", 0}, {'d', "a", 0}, {'f', "", 2}, {'c', "b", 3}},
     "b",
     3,
     State::Won,
     3},
    {"a key changed later is kept",
     {{'c', "a", 0}, {'d', "a", 0}, {'f', "", 1}},
     "b",
     3,
     State::Done,
     0},
    {"unreadable record", {{'c', "a", 0}, {'x', "", 0}, {'c', "b", 0}}, "a", 0, State::Won, 0},
};

const IdempotencyKey Key("k");

ClaimRecord recordOf(const Step &Each) {
  ClaimRecord Record;
  if (Each.Kind_ == 'f') {
    Record.Forget_ = ClaimForget{LogOffset(Each.Position_), LogOffset(Each.Position_)};
    return Record;
  }
  ClaimItem Item;
  Item.Kind_ = Each.Kind_ == 'c'   ? ClaimItem::Kind::Claim
               : Each.Kind_ == 'd' ? ClaimItem::Kind::Done
                                   : ClaimItem::Kind::Released;
  Item.Call_ = RequestId(Each.Call_);
  Item.Key_ = Key;
  Item.Position_ = LogOffset(Each.Position_);
  Record.Items_ = {Item};
  return Record;
}

void applyTo(ClaimTable &Table, const std::vector<Step> &Log, std::size_t From) {
  for (std::size_t At = From; At < Log.size(); ++At) {
    const LogOffset Offset(static_cast<std::int64_t>(At));
    if (Log[At].Kind_ == 'x')
      Table.skip(Offset);
    else
      Table.apply(Offset, recordOf(Log[At]));
  }
}

} // namespace

BOOST_DATA_TEST_CASE(ClaimIsDecidedByTheRecords, data::make(Cases), C) {
  ClaimTable Table;
  applyTo(Table, C.Log_, 0);
  const ClaimDecision Decision = Table.decisionFor(RequestId(C.Call_), Key, LogOffset(C.Position_));
  BOOST_TEST((Decision.State_ == C.Decision_));
  BOOST_TEST(Decision.Offset_.value() == C.Offset_);
}

// A reader that starts from a snapshot taken at any offset must come to the same decision as one
// that read all records.
BOOST_DATA_TEST_CASE(TableFromAnImageDecidesTheSame, data::make(Cases), C) {
  for (std::size_t Cut = 0; Cut <= C.Log_.size(); ++Cut) {
    ClaimTable Early;
    const std::vector<Step> Head(C.Log_.begin(), C.Log_.begin() + static_cast<std::ptrdiff_t>(Cut));
    applyTo(Early, Head, 0);
    ClaimTable Table(Early.image());
    applyTo(Table, C.Log_, Cut);
    const ClaimDecision Decision =
        Table.decisionFor(RequestId(C.Call_), Key, LogOffset(C.Position_));
    BOOST_TEST((Decision.State_ == C.Decision_));
    BOOST_TEST(Decision.Offset_.value() == C.Offset_);
  }
}

BOOST_AUTO_TEST_CASE(FirstClaimInABatchWins) {
  ClaimTable Table;
  ClaimRecord Batch = recordOf({'c', "a", 0});
  Batch.Items_.push_back(recordOf({'c', "b", 0}).Items_[0]);
  Table.apply(LogOffset(0), Batch);
  BOOST_TEST((Table.decisionFor(RequestId("a"), Key, LogOffset(0)).State_ == State::Won));
  BOOST_TEST((Table.decisionFor(RequestId("b"), Key, LogOffset(0)).State_ == State::Lost));
}
