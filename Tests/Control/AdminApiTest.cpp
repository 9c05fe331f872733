#include "Control/AdminApi.h"
#include "Core/Settings/TokenHash.h"
#include "Tests/Control/FakeLog.h"
#include "Tests/Core/Settings/Records.h"

#include <boost/json/parse.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace rattancart;

namespace {

class FakeResponder final : public HttpResponder {
public:
  void send(HttpResponse Response) override { Responses_.push_back(std::move(Response)); }
  void startChunked(HttpResponse) override {}
  void sendChunk(std::string_view) override {}
  void finishChunked() override {}
  void abort() override {}
  bool isOpen() const override { return true; }
  std::size_t queuedBytes() const override { return 0; }
  void onClosed(std::function<void()>) override {}

  std::vector<HttpResponse> Responses_;
};

class CountingLogger final : public Logger {
public:
  void log(LogEvent Event, std::initializer_list<LogField>) override { ++Counts_[Event]; }
  std::map<LogEvent, int> Counts_;
};

struct IdleListener final : SettingsListener {
  void onSettingsRecord(LogOffset, std::string_view) override {}
  void onSettingsImage() override {}
};

struct OneEndpoint final : EndpointDirectory {
  boost::json::array endpoints() const override { return {boost::json::object{{"id", "eng-1"}}}; }
};

/// The API on a follower of a fake log. "root" is the bootstrap operator's token and "anntoken"
/// that of the operator ann.
struct Fixture {
  Fixture() {
    FollowerOptions_.Self_ = InstanceId("c1");
    Follower_ = std::make_unique<SettingsFollower>(
        SettingsFollower::Services{Log_, Time_, Later_, Logger_, Random_}, FollowerOptions_,
        Listener_);
    Log_.add(changeRecord(
        "0", -1,
        putEdit("/operators/ann", fmt::format(R"({{"token-hash":"{}","prefix":"/teams/a"}})",
                                              tokenHash("anntoken"))) +
            "," + putEdit("/teams/a/limits/x/weight", "1.5")));
    Follower_->start();
    Later_.run(std::chrono::seconds(1));
    Api_ = std::make_unique<AdminApi>(*Follower_, Endpoints_, Logger_, Random_,
                                      AdminOptions{tokenHash("root")});
  }

  HttpResponse call(const std::string &Method, const std::string &Target, const std::string &Token,
                    const std::string &Body = {}) {
    HttpRequest Request;
    Request.Method_ = Method;
    Request.Target_ = Target;
    Request.Body_ = Body;
    if (!Token.empty())
      Request.Headers_.add("authorization", "Bearer " + Token);
    auto Fake = std::make_shared<FakeResponder>();
    HttpResponderPtr Responder = Fake;
    BOOST_REQUIRE(Api_->handle(Request, Responder));
    Later_.run(std::chrono::seconds(20));
    BOOST_REQUIRE(Fake->Responses_.size() == 1U);
    return Fake->Responses_.front();
  }

  ManualClock Time_;
  ManualScheduler Later_{Time_};
  std::mt19937_64 Random_{7};
  FakeLog Log_{Later_, Random_};
  CountingLogger Logger_;
  IdleListener Listener_;
  OneEndpoint Endpoints_;
  SettingsFollowerOptions FollowerOptions_;
  std::unique_ptr<SettingsFollower> Follower_;
  std::unique_ptr<AdminApi> Api_;
};

struct ApiCase {
  std::string Method_;
  std::string Target_;
  std::string Token_;
  std::string Body_;
  std::uint32_t Status_;
  /// A text that the answer must contain.
  std::string Part_;
  int Denied_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const ApiCase &Case) {
  return Out << Case.Method_ << ' ' << Case.Target_ << ' ' << Case.Token_ << ' ' << Case.Body_;
}

std::string edit(std::string_view Path, std::string_view Value, int Base = 0) {
  return fmt::format(R"({{"id":"i","base":{},"edits":[{}]}})", Base, putEdit(Path, Value));
}

const std::string InTeam = "/teams/a/limits/x/concurrent";

const ApiCase ApiCases[] = {
    {"GET", "/v1/settings", "", "", 401, "801", 1},
    {"GET", "/v1/settings", "wrong", "", 401, "801", 1},
    {"POST", "/v1/settings", "", edit(InTeam, "3"), 401, "801", 1},
    {"GET", "/v1/endpoints", "", "", 401, "801", 1},
    {"GET", "/v1/settings", "root", "", 200, "token-hash"},
    {"GET", "/v1/settings", "anntoken", "", 200, R"("weight":1.5E0)"},
    {"GET", "/v1/settings?path=/teams/a/limits&numbers=exact", "anntoken", "", 200,
     R"({"x":{"weight":["1.5"]}})"},
    {"GET", "/v1/settings?path=teams", "anntoken", "", 400, "201"},
    {"GET", "/v1/settings/revision", "anntoken", "", 200, R"("revision":0)"},
    {"GET", "/v1/endpoints", "anntoken", "", 200, "eng-1"},
    {"GET", "/v1/history?path=/teams/a/limits/x", "anntoken", "", 200, R"("id":"0")"},
    {"GET", "/v1/history?path=/endpoints", "anntoken", "", 200, R"({"decisions":[]})"},
    {"GET", "/v1/history?limit=0", "anntoken", "", 400, "804"},
    {"GET", "/v1/history?limit=x", "anntoken", "", 400, "804"},
    {"GET", "/v1/changes/0", "anntoken", "", 200, R"("state":"accepted")"},
    {"GET", "/v1/changes/9", "anntoken", "", 200, R"("state":"unknown","error":210)"},
    {"POST", "/v1/settings", "anntoken", edit(InTeam, "3"), 200, R"("revision":1)"},
    {"POST", "/v1/settings", "anntoken", edit("/teams/b/limits/x/concurrent", "3"), 403, "802", 1},
    {"POST", "/v1/settings", "anntoken", edit("/operators/ann/prefix", R"("/")"), 403, "802", 1},
    {"POST", "/v1/settings", "anntoken", edit("/teams", "{}"), 403, "802", 1},
    {"POST", "/v1/settings", "anntoken", edit(InTeam, "3", -1), 200, "accepted"},
    {"POST", "/v1/settings", "anntoken", edit("/teams/a/limits/x/weight", "2", -1), 409, "202"},
    {"POST", "/v1/settings", "anntoken", edit(InTeam, "3", 99), 409, "211"},
    {"POST", "/v1/settings", "anntoken", edit(InTeam, R"("x")"), 400, InTeam},
    {"POST", "/v1/settings", "anntoken", "{", 400, "804"},
    {"POST", "/v1/settings", "anntoken", "[]", 400, "804"},
    {"POST", "/v1/settings", "anntoken", "{}", 400, "205"},
    {"POST", "/v1/settings", "anntoken", R"({"edits":[{"path":"/teams/a","delete":true}]})", 400,
     "base"},
    {"POST", "/v1/validate", "anntoken", edit(InTeam, "3"), 200, R"("state":"valid")"},
    {"POST", "/v1/validate", "anntoken", edit(InTeam, "-3"), 200, R"("error":207)"},
    {"POST", "/v1/endpoints/eng-1/drain", "root", "", 200, "accepted"},
    {"POST", "/v1/endpoints/eng-1/drain", "root", R"({"drain":false})", 200, "accepted"},
    {"POST", "/v1/endpoints/eng-1/drain", "root", "5", 400, "804"},
    {"POST", "/v1/endpoints/eng-1/drain", "anntoken", "", 403, "802", 1},
    {"POST", "/v1/endpoints/a b/drain", "root", "", 400, "201"},
    {"DELETE", "/v1/settings", "root", "", 404, "803"},
    {"POST", "/v1/endpoints//drain", "root", "", 404, "803"},
};

} // namespace

BOOST_DATA_TEST_CASE(RequestsAreAnswered, boost::unit_test::data::make(ApiCases), Case) {
  Fixture Test;
  const HttpResponse Response = Test.call(Case.Method_, Case.Target_, Case.Token_, Case.Body_);
  BOOST_TEST(Response.Status_ == Case.Status_, Response.Body_);
  BOOST_TEST(Response.Body_.find(Case.Part_) != std::string::npos, Response.Body_);
  BOOST_TEST(Test.Logger_.Counts_[LogEvent::AdminDenied] == Case.Denied_);
}

BOOST_AUTO_TEST_CASE(OtherPathsAreLeftAlone) {
  Fixture Test;
  HttpRequest Request;
  Request.Target_ = "/v1/state";
  HttpResponderPtr Responder = std::make_shared<FakeResponder>();
  BOOST_TEST(!Test.Api_->handle(Request, Responder));
  BOOST_TEST(Responder != nullptr);
  BOOST_TEST(Request.Target_ == "/v1/state");
}

BOOST_AUTO_TEST_CASE(OperatorsAreHiddenFromTeams) {
  Fixture Test;
  BOOST_TEST(Test.call("GET", "/v1/settings", "anntoken").Body_.find("token-hash") ==
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ALostAppendAnswerIsSettledByTheLog) {
  Fixture Test;
  Test.Log_.Faults_.LoseAnswers_ = 100;
  const HttpResponse Response = Test.call("POST", "/v1/settings", "anntoken", edit(InTeam, "3"));
  BOOST_TEST(Response.Status_ == 200U, Response.Body_);
}

BOOST_AUTO_TEST_CASE(AnOutcomeThatCannotBeReadIsUnknown) {
  Fixture Test;
  Test.Log_.Faults_.AppendLate_ = 100;
  Test.Log_.Faults_.MinLateSeconds_ = 10;
  const HttpResponse Response = Test.call("POST", "/v1/settings", "anntoken", edit(InTeam, "3"));
  BOOST_TEST(Response.Status_ == 202U, Response.Body_);
  BOOST_TEST(Response.Body_.find(R"("id":"i","state":"unknown","error":210)") != std::string::npos);
  Test.Later_.run(std::chrono::seconds(30));
  BOOST_TEST(Test.call("GET", "/v1/changes/i", "anntoken").Body_.find("accepted") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(AChangeWithoutPlatformIsUnknownAtOnce) {
  Fixture Test;
  Test.Log_.Faults_.Down_ = true;
  const HttpResponse Response = Test.call("POST", "/v1/settings", "anntoken", edit(InTeam, "3"));
  BOOST_TEST(Response.Status_ == 503U, Response.Body_);
  BOOST_TEST(Response.Body_.find(R"("state":"unknown","error":601)") != std::string::npos);
}
