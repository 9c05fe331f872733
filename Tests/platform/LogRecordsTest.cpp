#include "platform/LogRecords.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

using namespace rattancart;
using namespace rattancart::platform;

namespace {

std::string number(std::uint64_t Value, int Bytes) {
  std::string Text;
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Text += static_cast<char>(Value >> Shift);
  return Text;
}

std::string record(const std::string &Key, const std::string &Value) {
  const std::string Content = std::string(1, static_cast<char>(Key.size())) + Key + Value;
  return number(Content.size(), 4) + Content;
}

const std::string Head = number(842, 8) + number(7, 8);

struct PageCase {
  const char *Name_;
  std::string Bytes_;
  bool Readable_;
  std::size_t Records_;
};

std::ostream &operator<<(std::ostream &Out, const PageCase &Case) { return Out << Case.Name_; }

const PageCase PageCases[] = {
    {"no records", Head, true, 0},
    {"two records", Head + record("a", "1") + record("bc", ""), true, 2},
    {"a record without a key", Head + number(0, 4), true, 1},
    {"a key longer than its record", Head + number(2, 4) + "\x09x", true, 1},
    {"no head", "abc", false, 0},
    {"cut in a length", Head + "\x01\x02", false, 0},
    {"cut in a record", Head + number(9, 4) + "abc", false, 0},
};

} // namespace

BOOST_DATA_TEST_CASE(DecodesPagesOfTheLog, PageCases, Case) {
  const auto Page = decodeLogPage(Case.Bytes_);
  BOOST_TEST(static_cast<bool>(Page) == Case.Readable_);
  if (!Page)
    return;
  BOOST_TEST(Page->EndOffset_ == 842U);
  BOOST_TEST(Page->FirstOffset_ == 7U);
  BOOST_TEST(Page->Records_.size() == Case.Records_);
}

BOOST_AUTO_TEST_CASE(ARecordWithoutAValueRemovesItsKey) {
  const auto Page = decodeLogPage(Head + record("a", "1") + record("b", ""));
  BOOST_REQUIRE(Page);
  BOOST_TEST(Page->Records_[0].Key_ == "a");
  BOOST_TEST(Page->Records_[0].Value_.value_or("") == "1");
  BOOST_TEST(Page->Records_[1].Key_ == "b");
  BOOST_TEST(!Page->Records_[1].Value_.has_value());
}

BOOST_AUTO_TEST_CASE(DecodesTheNewestRecords) {
  const auto Page = decodeNewestPage(
      R"({"items":[{"key":"a","value":"eyJ4IjoxfQ==","offset":4},{"key":"b","value":"%%%"},
          {"value":"eA=="},3],"has_more":true,"end":6})");
  BOOST_REQUIRE(Page);
  BOOST_TEST(Page->EndOffset_ == 6U);
  BOOST_TEST(Page->HasMore_);
  BOOST_REQUIRE(Page->Records_.size() == 2U);
  BOOST_TEST(Page->Records_[0].Value_.value_or("") == R"({"x":1})");
  BOOST_TEST(!Page->Records_[1].Value_.has_value());
  BOOST_TEST(!decodeNewestPage("[]"));
  BOOST_TEST(!decodeNewestPage(R"({"items":[]})"));
}

BOOST_AUTO_TEST_CASE(ArbitraryBytesNeverCrashTheDecoder) {
  const std::string Good = Head + record("key", "value") + record("k", "");
  for (unsigned Seed = 1; Seed <= 20'000; ++Seed) {
    std::mt19937 Random(Seed);
    std::string Bytes = Good;
    for (unsigned I = 0; I < 1 + Random() % 6; ++I)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    Bytes.resize(Random() % (Bytes.size() + 1));
    if (const auto Page = decodeLogPage(Bytes))
      BOOST_TEST(Page->Records_.size() <= Bytes.size());
  }
}
