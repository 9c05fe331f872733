#include "Core/Settings/SettingsReplica.h"
#include "Tests/Core/Settings/Records.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace rattancart;

namespace {

const std::string GoodRoute = R"({"match":{"method":"POST","path":"/bookings"},)"
                              R"("service":"lift-desk","safety":"at-most-once",)"
                              R"("key":{"header":"idempotency-key"},"timeout":"5s"})";

struct InvalidCase {
  std::string Path_;
  std::string Json_;
  /// The path that the rejection reports.
  std::string ReportedPath_;
};

std::ostream &operator<<(std::ostream &Out, const InvalidCase &Case) {
  return Out << Case.Path_ << ' ' << Case.Json_;
}

const InvalidCase InvalidCases[] = {
    {"/teams/a/routes/r", "5", "/teams/a/routes/r"},
    {"/teams/a/routes/r", R"({"match":{"path":"/x"}})", "/teams/a/routes/r"},
    {"/teams/a/routes/r", R"({"match":{"path":"/x"},"service":"s","model":"m","version":"1"})",
     "/teams/a/routes/r"},
    {"/teams/a/routes/r", R"({"match":{"path":"/x"},"model":"m"})", "/teams/a/routes/r/version"},
    {"/teams/a/routes/r", R"({"match":{"path":"x"},"service":"s"})",
     "/teams/a/routes/r/match/path"},
    {"/teams/a/routes/r", R"({"service":"s"})", "/teams/a/routes/r/match/path"},
    {"/teams/a/routes/r", R"({"match":{"path":"/x"},"service":"s","priority":8})",
     "/teams/a/routes/r/priority"},
    {"/teams/a/routes/r", R"({"match":{"path":"/x"},"service":"s","priority":"1"})",
     "/teams/a/routes/r/priority"},
    {"/teams/a/routes/r", R"({"match":{"path":"/x"},"service":"s","timeout":30})",
     "/teams/a/routes/r/timeout"},
    {"/teams/a/routes/r", R"({"match":{"path":"/x"},"service":"s","delivery":"half"})",
     "/teams/a/routes/r/delivery"},
    {"/teams/a/routes/r",
     R"({"match":{"path":"/x"},"service":"s","safety":"safe","key":{"header":"k"}})",
     "/teams/a/routes/r/key"},
    {"/teams/a/routes/r", R"({"match":{"path":"/x"},"service":"s","colour":"red"})",
     "/teams/a/routes/r/colour"},
    {"/teams/a/limits/c", R"({"requests-per-second":-1})", "/teams/a/limits/c/requests-per-second"},
    {"/teams/a/limits/c", R"({"weight":0})", "/teams/a/limits/c/weight"},
    {"/teams/a/limits/c", R"({"concurrent":1.5})", "/teams/a/limits/c/concurrent"},
    {"/teams/a/models/m/1", R"({"max-tokens":3})", "/teams/a/models/m/1/layer-count"},
    {"/teams/a/models/m", "3", "/teams/a/models/m"},
    {"/teams/a/services/s", R"({"checks-fencing":"yes"})", "/teams/a/services/s/checks-fencing"},
    {"/teams/a/colours/red", "true", "/teams/a/colours"},
    {"/colours", R"({"red":1})", "/colours"},
    {"/operators/o", R"({"token-hash":"x","prefix":"/"})", "/operators/o/token-hash"},
    {"/operators/o", R"({"token-hash":"01234567-0123-0123-0123-0123456789ab","prefix":"a"})",
     "/operators/o/prefix"},
    {"/operators/bootstrap",
     R"({"token-hash":"01234567-0123-0123-0123-0123456789ab","prefix":"/"})",
     "/operators/bootstrap"},
    {"/endpoints/e", R"({"drain":1})", "/endpoints/e/drain"},
    {"/", "1", "/"},
    {"/teams/a/limits/c", R"([1])", "/teams/a/limits/c"},
    {"/teams/a/limits/c", R"({"weight":null})", "/teams/a/limits/c/weight"},
};

} // namespace

BOOST_DATA_TEST_CASE(InvalidValuesAreRejectedWithTheirPath,
                     boost::unit_test::data::make(InvalidCases), Case) {
  SettingsLog Log;
  const std::uint64_t Empty = SettingsLog().digest();
  const SettingsDecision Outcome =
      Log.apply(LogOffset(0), changeRecord("c", -1, putEdit(Case.Path_, Case.Json_)));
  BOOST_TEST((Outcome.Kind_ == SettingsDecision::Kind::Rejected));
  BOOST_TEST(Outcome.Error_ == make_error_code(ErrorCode::InvalidValue));
  BOOST_TEST(Outcome.Detail_.starts_with(Case.ReportedPath_ + ":"), Outcome.Detail_);
  BOOST_TEST(Log.tree().size() == 0U);
  BOOST_TEST(Log.digest() != Empty);
}

BOOST_AUTO_TEST_CASE(ViewContainsEachKindOfSetting) {
  SettingsReplica Replica;
  const std::string Edits =
      putEdit("/teams/rigging/routes/bookings", GoodRoute) + "," +
      putEdit("/teams/rigging/limits/big", R"({"requests-per-second":12.5,"concurrent":4})") + "," +
      putEdit("/teams/rigging/models/brief/3", R"({"layer-count":48})") + "," +
      putEdit("/teams/rigging/services/lift-desk", R"({"deduplicates":true})") + "," +
      putEdit("/defaults/limit", R"({"requests-per-second":1})") + "," +
      putEdit("/endpoints/eng-1/drain", "true") + "," +
      putEdit("/operators/ann",
              R"({"token-hash":"01234567-0123-0123-0123-0123456789ab","prefix":"/teams/rigging"})");
  const ReplicaResult Applied = Replica.applyRecord(LogOffset(0), changeRecord("c", -1, Edits));
  BOOST_TEST(Applied.Decision_->Detail_ == "");
  const SettingsViewPtr View = Replica.view();
  BOOST_REQUIRE(View->Routes_.size() == 1U);
  const Route &Booking = View->Routes_[0];
  BOOST_TEST(Booking.Match_.PathPrefix_ == "/bookings");
  BOOST_TEST((Booking.Safety_ == CallSafety::AtMostOnce));
  BOOST_TEST((Booking.KeySource_ == KeySource::Header));
  BOOST_TEST(Booking.KeyName_ == "idempotency-key");
  BOOST_TEST((Booking.Timeout_ == std::chrono::seconds(5)));
  BOOST_TEST(View->limitOf(CustomerId("big")).RequestsPerSecond_ == 12.5);
  BOOST_TEST(View->limitOf(CustomerId("other")).RequestsPerSecond_ == 1);
  BOOST_TEST(View->findModel(ModelId("brief"), ModelVersion("3"))->LayerCount_ == 48U);
  BOOST_TEST(View->traitsOf(ServiceId("lift-desk")).Deduplicates_);
  BOOST_TEST((View->Drained_ == std::vector{EndpointId("eng-1")}));
  BOOST_TEST(View->Operators_.size() == 1U);

  // A change can replace a single field, and a deleted subtree disappears from the view.
  Replica.applyRecord(
      LogOffset(1),
      changeRecord("d", 0, putEdit("/teams/rigging/routes/bookings/timeout", R"("9s")")));
  BOOST_TEST((Replica.view()->Routes_[0].Timeout_ == std::chrono::seconds(9)));
  Replica.applyRecord(LogOffset(2), changeRecord("e", 1, deleteEdit("/teams")));
  BOOST_TEST(Replica.view()->Routes_.empty());
  BOOST_TEST(Replica.view()->Limits_.empty());
  BOOST_TEST(Replica.view()->Drained_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TwoTeamsCantUseTheSameName) {
  SettingsLog Log;
  Log.apply(LogOffset(0), changeRecord("a", -1, putEdit("/teams/a/limits/c/concurrent", "1")));
  const SettingsDecision Conflicting =
      Log.apply(LogOffset(1), changeRecord("b", 0, putEdit("/teams/b/limits/c/concurrent", "2")));
  BOOST_TEST(Conflicting.Error_ == make_error_code(ErrorCode::InvalidValue));
  const SettingsDecision Moved =
      Log.apply(LogOffset(2), changeRecord("d", 1,
                                           deleteEdit("/teams/a/limits/c") + "," +
                                               putEdit("/teams/b/limits/c/concurrent", "2")));
  BOOST_TEST(Moved.Detail_ == "");
}
