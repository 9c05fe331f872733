#include "Core/Settings/SettingsLog.h"
#include "Core/Settings/SettingsReplica.h"
#include "Tests/Core/Settings/Records.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace rattancart;

namespace {

using Kind = SettingsDecision::Kind;

std::string snapshotAt(std::int64_t Covered) {
  return fmt::format(R"({{"schema":1,"kind":"snapshot","covered":{},"image":{{}}}})", Covered);
}

std::string limit(std::string_view Customer, int Concurrent = 1) {
  return putEdit(fmt::format("/teams/a/limits/{}/concurrent", Customer),
                 fmt::format("{}", Concurrent));
}

/// A sequence of records, and the outcome of the last one.
struct LogCase {
  std::string Name_;
  std::vector<std::string> Records_;
  Kind Kind_;
  int Error_;
};

std::ostream &operator<<(std::ostream &Out, const LogCase &Case) { return Out << Case.Name_; }

const LogCase LogCases[] = {
    {"first change", {changeRecord("1", -1, limit("x"))}, Kind::Accepted, 0},
    {"same path, old base",
     {changeRecord("1", -1, limit("x")), changeRecord("2", -1, limit("x", 2))},
     Kind::Rejected,
     202},
    {"same path, new base",
     {changeRecord("1", -1, limit("x")), changeRecord("2", 0, limit("x", 2))},
     Kind::Accepted,
     0},
    {"other path, old base",
     {changeRecord("1", -1, limit("x")), changeRecord("2", -1, limit("y"))},
     Kind::Accepted,
     0},
    {"ancestor, old base",
     {changeRecord("1", -1, limit("x")), changeRecord("2", -1, deleteEdit("/teams/a"))},
     Kind::Rejected,
     202},
    {"root, old base",
     {changeRecord("1", -1, limit("x")), changeRecord("2", -1, deleteEdit("/"))},
     Kind::Rejected,
     202},
    {"descendant, old base",
     {changeRecord("1", -1, limit("x")), changeRecord("2", 0, deleteEdit("/teams/a")),
      changeRecord("3", 0, limit("x"))},
     Kind::Rejected,
     202},
    {"one edit of two conflicts",
     {changeRecord("1", -1, limit("x")), changeRecord("2", -1, limit("y") + "," + limit("x"))},
     Kind::Rejected,
     202},
    {"base after the record", {changeRecord("1", 0, limit("x"))}, Kind::Rejected, 211},
    {"base below the floor",
     {changeRecord("1", -1, limit("x")), snapshotAt(0), changeRecord("2", -1, limit("y"))},
     Kind::Rejected,
     203},
    {"base at the floor",
     {changeRecord("1", -1, limit("x")), snapshotAt(0), changeRecord("2", 0, limit("y"))},
     Kind::Accepted,
     0},
    {"a lagging snapshot does not lower the floor",
     {changeRecord("1", -1, limit("x")), changeRecord("2", 0, limit("y")), snapshotAt(1),
      snapshotAt(0), changeRecord("3", 0, limit("z"))},
     Kind::Rejected,
     203},
    {"second copy",
     {changeRecord("1", -1, limit("x")), changeRecord("1", -1, limit("x"))},
     Kind::Duplicate,
     204},
    {"second copy of a rejected change that would be valid now",
     {changeRecord("1", -1, putEdit("/teams/a/models/m/1/max-tokens", "5")),
      changeRecord("2", -1, putEdit("/teams/a/models/m/1/layer-count", "4")),
      changeRecord("1", -1, putEdit("/teams/a/models/m/1/max-tokens", "5"))},
     Kind::Duplicate,
     204},
    {"late copy after delete and snapshot",
     {changeRecord("1", -1, limit("x")), changeRecord("2", 0, deleteEdit("/teams/a/limits/x")),
      snapshotAt(1), changeRecord("1", -1, limit("x"))},
     Kind::Rejected,
     203},
    {"snapshot", {changeRecord("1", -1, limit("x")), snapshotAt(0)}, Kind::Snapshot, 0},
    {"snapshot of the future", {snapshotAt(0)}, Kind::Rejected, 205},
    {"unknown author", {changeRecord("1", -1, limit("x"), "nobody")}, Kind::Rejected, 208},
    {"outside the author's prefix",
     {changeRecord("1", -1,
                   putEdit("/operators/ann",
                           R"({"token-hash":"01234567-0123-0123-0123-0123456789ab",)"
                           R"("prefix":"/teams/b"})")),
      changeRecord("2", 0, limit("x"), "ann")},
     Kind::Rejected,
     208},
    {"inside the author's prefix",
     {changeRecord("1", -1,
                   putEdit("/operators/ann",
                           R"({"token-hash":"01234567-0123-0123-0123-0123456789ab",)"
                           R"("prefix":"/teams/a"})")),
      changeRecord("2", 0, limit("x"), "ann")},
     Kind::Accepted,
     0},
    {"unknown schema", {R"({"schema":2,"kind":"change"})"}, Kind::Stopped, 206},
    {"record after an unknown schema",
     {R"({"schema":2,"kind":"change"})", changeRecord("1", -1, limit("x"))},
     Kind::Stopped,
     206},
};

struct MalformedCase {
  std::string Body_;
  int Error_;
};

std::ostream &operator<<(std::ostream &Out, const MalformedCase &Case) {
  return Out << Case.Body_.substr(0, 100);
}

const MalformedCase MalformedCases[] = {
    {"", 205},
    {"null", 205},
    {"[]", 205},
    {"{", 205},
    {"{}", 205},
    {std::string("\xff\xfe"), 205},
    {R"({"schema":"1","kind":"change"})", 205},
    {R"({"schema":0,"kind":"change"})", 205},
    {R"({"schema":-3,"kind":"change"})", 205},
    {R"({"schema":1})", 205},
    {R"({"schema":1,"kind":"other"})", 205},
    {R"({"schema":1,"kind":"snapshot"})", 205},
    {R"({"schema":1,"kind":"snapshot","covered":"0"})", 205},
    {R"({"schema":1,"kind":"snapshot","covered":-1})", 205},
    {R"({"schema":1,"kind":"change","id":"","author":"bootstrap","base":-1,"edits":[]})", 205},
    {R"({"schema":1,"kind":"change","id":"a","base":-1,"edits":[]})", 205},
    {changeRecord("a", -2, limit("x")), 205},
    {changeRecord("a", -1, ""), 205},
    {changeRecord("a", -1, "5"), 205},
    {changeRecord("a", -1, R"({"path":"/endpoints/e/drain"})"), 205},
    {changeRecord("a", -1, R"({"path":"/endpoints/e/drain","delete":false})"), 205},
    {changeRecord("a", -1, R"({"path":"/endpoints/e/drain","value":true,"delete":true})"), 205},
    {changeRecord("a", -1, R"({"value":true})"), 205},
    {changeRecord("a", -1, putEdit("endpoints", "true")), 201},
    {changeRecord("a", -1, putEdit("/endpoints", R"({"a/b":{"drain":true}})")), 201},
    {changeRecord("a", -1, putEdit("/endpoints", R"({"":{"drain":true}})")), 201},
    {changeRecord("a", -1, limit("x") + "," + limit("x")), 205},
    {changeRecord("a", -1, deleteEdit("/teams/a") + "," + limit("x")), 205},
    {changeRecord("a", -1, deleteEdit("/") + "," + limit("x")), 205},
    {changeRecord(std::string(129, 'a'), -1, limit("x")), 205},
    {std::string(5UL << 20U, ' '), 205},
    {std::string(100000, '['), 205},
    {changeRecord("a", -1, putEdit("/teams/a/limits/c/weight", "1e999")), 207},
    {changeRecord("a", -1, putEdit("/teams/a/limits/c/weight", "18446744073709551615")), 207},
};

} // namespace

BOOST_DATA_TEST_CASE(RecordsAreDecided, boost::unit_test::data::make(LogCases), Case) {
  SettingsLog Log;
  SettingsDecision Last;
  for (std::size_t I = 0; I < Case.Records_.size(); ++I)
    Last = Log.apply(LogOffset(static_cast<std::int64_t>(I)), Case.Records_[I]);
  BOOST_TEST((Last.Kind_ == Case.Kind_), Last.Detail_);
  BOOST_TEST(Last.Error_.value() == Case.Error_);
}

BOOST_DATA_TEST_CASE(MalformedRecordsAreSkipped, boost::unit_test::data::make(MalformedCases),
                     Case) {
  SettingsLog Log;
  const SettingsDecision Outcome = Log.apply(LogOffset(0), Case.Body_);
  BOOST_TEST((Outcome.Kind_ == Kind::Rejected));
  BOOST_TEST(Outcome.Error_.value() == Case.Error_, Outcome.Detail_);
  BOOST_TEST(Log.tree().size() == 0U);
  BOOST_TEST((Log.apply(LogOffset(1), changeRecord("b", -1, limit("x"))).Kind_ == Kind::Accepted));
}

BOOST_AUTO_TEST_CASE(ImageRestoresTheWholeState) {
  SettingsLog Log;
  Log.apply(LogOffset(0), changeRecord("1", -1, putEdit("/defaults/limit/weight", "0.1")));
  Log.apply(LogOffset(1), changeRecord("2", 0, limit("x")));
  Log.apply(LogOffset(2), changeRecord("3", 1, deleteEdit("/teams/a/limits/x")));
  Log.apply(LogOffset(3), changeRecord("4", 0, limit("x")));
  const Result<SettingsLog> Copy = SettingsLog::fromImage(Log.image());
  BOOST_REQUIRE(static_cast<bool>(Copy));
  BOOST_TEST(Copy->digest() == Log.digest());
  BOOST_TEST(Copy->image() == Log.image());
  BOOST_TEST(Copy->compiler().view(NoOffset)->DefaultLimit_.Weight_ == 0.1);
  const Result<std::string> Carried = imageOfSnapshot(formatSnapshot(Log));
  BOOST_REQUIRE(static_cast<bool>(Carried));
  BOOST_TEST(SettingsLog::fromImage(*Carried)->digest() == Log.digest());
}

BOOST_AUTO_TEST_CASE(DamagedImageIsRejected) {
  SettingsLog Log;
  Log.apply(LogOffset(0), changeRecord("1", -1, limit("x", 12345)));
  std::string Image = Log.image();
  Image.replace(Image.find("12345"), 5, "12346");
  const Result<SettingsLog> Copy = SettingsLog::fromImage(Image);
  BOOST_REQUIRE(!Copy);
  BOOST_TEST(Copy.error().Code_ == make_error_code(ErrorCode::MalformedRecord));
}

BOOST_AUTO_TEST_CASE(ReplicaOffsetNeverDecreases) {
  SettingsLog Log;
  const std::string First = changeRecord("1", -1, limit("x", 1));
  const std::string Second = changeRecord("2", 0, limit("x", 2));
  Log.apply(LogOffset(0), First);
  const std::string Old = Log.image();
  Log.apply(LogOffset(1), Second);

  using State = ReplicaResult::State;
  SettingsReplica Replica;
  BOOST_TEST((Replica.applyRecord(LogOffset(1), Second).State_ == State::Gap));
  BOOST_TEST((Replica.applyImage(LogOffset(0), Old).State_ == State::Applied));
  BOOST_TEST((Replica.applyImage(LogOffset(7), Old).State_ == State::Malformed));
  BOOST_TEST((Replica.applyRecord(LogOffset(1), Second).State_ == State::Applied));
  BOOST_TEST((Replica.applyRecord(LogOffset(0), First).State_ == State::Ignored));
  BOOST_TEST((Replica.applyImage(LogOffset(0), Old).State_ == State::Ignored));
  BOOST_TEST(Replica.view()->limitOf(CustomerId("x")).Concurrent_ == 2U);
  BOOST_TEST(Replica.digest() == Log.digest());
  // A record with an unknown schema version stops the replica at its offset; a newer image resumes
  // it.
  BOOST_TEST((Replica.applyRecord(LogOffset(2), R"({"schema":9})").State_ == State::Stopped));
  BOOST_TEST((Replica.offset() == LogOffset(1)));
  BOOST_TEST((Replica.applyRecord(LogOffset(2), First).State_ == State::Stopped));
  Log.apply(LogOffset(2), "");
  BOOST_TEST((Replica.applyImage(LogOffset(2), Log.image()).State_ == State::Applied));
  BOOST_TEST(!Replica.stopped());
}
