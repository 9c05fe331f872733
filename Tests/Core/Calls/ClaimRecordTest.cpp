#include "Core/Calls/ClaimRecord.h"
#include "Core/Common/ErrorCode.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>
#include <string>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

ClaimItem doneItem(std::string Body) {
  ClaimItem Item;
  Item.Kind_ = ClaimItem::Kind::Done;
  Item.Call_ = RequestId("c1");
  Item.Key_ = IdempotencyKey("k1");
  Item.Status_ = 201;
  Item.Body_ = std::move(Body);
  return Item;
}

/// A record with each of its parts.
ClaimRecord fullRecord() {
  ClaimRecord Record;
  ClaimItem Claim;
  Claim.Call_ = RequestId("c1");
  Claim.Key_ = IdempotencyKey("lift \"7\"");
  Claim.Position_ = LogOffset(17);
  ClaimItem Released = Claim;
  Released.Kind_ = ClaimItem::Kind::Released;
  Released.Position_ = LogOffset(0);
  Record.Items_ = {Claim, doneItem("{\"b\":1}"), Released};
  Record.Forget_ = ClaimForget{LogOffset(3), LogOffset(9)};
  ClaimSnapshotPart Part{"w-1", 1, 2, {}};
  Part.Image_.Tail_ = LogOffset(12);
  Part.Image_.Floor_ = LogOffset(4);
  Part.Image_.TailObservations_ = {{LogOffset(2), std::chrono::milliseconds(1500)}};
  Part.Image_.Entries_ = {{IdempotencyKey("k"), RequestId("c"), LogOffset(5), true, 201, "body",
                           LogOffset(2), LogOffset(6)}};
  Record.Snapshot_ = Part;
  return Record;
}

struct Malformed {
  const char *Text_;
  ErrorCode Code_;
};
std::ostream &operator<<(std::ostream &Out, const Malformed &Case) { return Out << Case.Text_; }

const Malformed MalformedRecords[] = {
    {"", ErrorCode::MalformedRecord},
    {"[]", ErrorCode::MalformedRecord},
    {"{}", ErrorCode::MalformedRecord},
    {R"({"schema":2})", ErrorCode::UnknownSchema},
    {R"({"schema":1,"items":[["claim","c"]]})", ErrorCode::MalformedRecord},
    {R"({"schema":1,"items":[["claim","","k",1]]})", ErrorCode::MalformedRecord},
    {R"({"schema":1,"items":[["stolen","c","k",1]]})", ErrorCode::MalformedRecord},
    {R"({"schema":1,"items":[["done","c","k",-1,""]]})", ErrorCode::MalformedRecord},
    {R"({"schema":1,"forget":{"before":1}})", ErrorCode::MalformedRecord},
    {R"({"schema":1,"snapshot":{"id":"s"}})", ErrorCode::MalformedRecord},
    {R"({"schema":1,"snapshot":{"id":"s","part":0,"parts":0,"tail":0,"floor":0,"marks":[],)"
     R"("entries":[]}})",
     ErrorCode::MalformedRecord},
    {"{\"schema\":1,\"items\":[[\"done\",\"c\",\"k\",200,\"\xff\"]]}", ErrorCode::MalformedRecord},
};

struct Body {
  std::string Text_;
  bool Kept_;
};
std::ostream &operator<<(std::ostream &Out, const Body &Case) { return Out << Case.Text_.size(); }

const Body Bodies[] = {
    {"", true},
    {"{\"booking\":\"b1\"}", true},
    {"\xc3\xa9\xe2\x82\xac\xf0\x9f\x8e\xaa", true},
    {std::string("a\0b", 3), true},
    {std::string(MaxClaimBodyBytes, 'x'), true},
    {std::string(MaxClaimBodyBytes + 1, 'x'), false},
    {"\xff", false},
    {"\xc3", false},
    {"\xc0\xaf", false},
    {"\xed\xa0\x80", false},
    {"\xf4\x90\x80\x80", false},
};

} // namespace

BOOST_AUTO_TEST_CASE(DecodingReturnsTheEncodedRecord) {
  const ClaimRecord Record = fullRecord();
  const Result<ClaimRecord> Read = decodeClaimRecord(encodeClaimRecord(Record));
  BOOST_REQUIRE(static_cast<bool>(Read));
  BOOST_TEST((*Read == Record));
}

// Decoding a record with damaged bytes must fail or return a record that can be encoded again.
BOOST_AUTO_TEST_CASE(DamagedRecordIsRejectedOrValid) {
  const std::string Text = encodeClaimRecord(fullRecord());
  std::mt19937_64 Random(7);
  int Readable = 0;
  for (int Round = 0; Round < 50'000; ++Round) {
    std::string Damaged = Text;
    for (std::size_t Count = 1 + Random() % 3; Count > 0; --Count)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random() % 256);
    if (Random() % 4 == 0)
      Damaged.resize(Random() % Damaged.size());
    const Result<ClaimRecord> Read = decodeClaimRecord(Damaged);
    if (!Read)
      continue;
    ++Readable;
    const Result<ClaimRecord> Again = decodeClaimRecord(encodeClaimRecord(*Read));
    BOOST_REQUIRE(static_cast<bool>(Again));
    BOOST_REQUIRE((*Again == *Read));
  }
  BOOST_TEST(Readable > 0);
}

BOOST_DATA_TEST_CASE(MalformedRecordIsRejected, data::make(MalformedRecords), Case) {
  const Result<ClaimRecord> Read = decodeClaimRecord(Case.Text_);
  BOOST_REQUIRE(!Read);
  BOOST_TEST(Read.error().Code_ == Case.Code_);
}

// If one body made its record undecodable, all claims in the batch would be lost.
BOOST_DATA_TEST_CASE(RecordWithAnyBodyCanBeDecoded, data::make(Bodies), Case) {
  ClaimRecord Record;
  Record.Items_ = {doneItem(Case.Text_)};
  const Result<ClaimRecord> Read = decodeClaimRecord(encodeClaimRecord(Record));
  BOOST_REQUIRE(static_cast<bool>(Read));
  BOOST_TEST((Read->Items_[0].Body_ == (Case.Kept_ ? Case.Text_ : std::string())));
}
