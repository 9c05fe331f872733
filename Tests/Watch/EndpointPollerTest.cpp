#include "Watch/EndpointPoller.h"
#include "Net/HttpServer.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <functional>

using namespace rattancart;

namespace {

/// Answers load polls, or leaves them unanswered while Silent_ is set.
class LoadHandler final : public HttpHandler {
public:
  void handle(HttpRequest, HttpResponderPtr Responder) override {
    ++Polls_;
    if (Silent_) {
      Unanswered_.push_back(std::move(Responder));
      return;
    }
    HttpResponse Response;
    Response.Body_ = fmt::format(R"({{"id":"s1","incarnation":1,"sequence":{},"leaving":{}}})",
                                 ++Sequence_, Leaving_);
    Responder->send(std::move(Response));
  }

  bool Silent_ = false;
  bool Leaving_ = false;
  int Polls_ = 0;
  int Sequence_ = 0;
  std::vector<HttpResponderPtr> Unanswered_;
};

struct Fixture {
  Fixture()
      : Server_(Loop_, {}, Handler_, Log_), Client_(Loop_), Table_(Time_, std::chrono::seconds(4)),
        Poller_(
            Loop_, Time_, Log_, Client_, Table_, [](const Endpoint &) { return true; },
            [this](const EndpointId &, EndpointChange Change) { LastChange_ = Change; }) {
    BOOST_REQUIRE(!Server_.listen(NetAddress("127.0.0.1:0")));
    Endpoint Listed;
    Listed.Id_ = EndpointId("s1");
    Listed.Incarnation_ = Incarnation(1);
    Listed.Address_ = Server_.address();
    Table_.apply(Listed, TimePoint{});
  }

  void runUntil(const std::function<bool()> &Condition) {
    while (!Condition() && Loop_.run_one_for(std::chrono::seconds(30)))
      ;
    BOOST_REQUIRE(Condition());
  }

  boost::asio::io_context Loop_;
  SystemClock Time_;
  NullLogger Log_;
  LoadHandler Handler_;
  HttpServer Server_;
  HttpClient Client_;
  EndpointTable Table_;
  EndpointChange LastChange_ = EndpointChange::None;
  EndpointPoller Poller_;
  const EndpointId Id_{"s1"};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ResponseMakesAnEndpointUsable, Fixture) {
  BOOST_TEST(!Table_.mayTakeWork(Id_));
  Poller_.poll(Id_);
  runUntil([&] { return Table_.mayTakeWork(Id_); });
}

BOOST_FIXTURE_TEST_CASE(LeavingEndpointGetsNoMoreWork, Fixture) {
  Handler_.Leaving_ = true;
  Poller_.poll(Id_);
  runUntil([&] { return LastChange_ == EndpointChange::Leaving; });
  BOOST_TEST(!Table_.mayTakeWork(Id_));
}

BOOST_FIXTURE_TEST_CASE(SilentEndpointIsMarkedAfterARetryOnANewConnection, Fixture) {
  Poller_.poll(Id_);
  runUntil([&] { return Table_.mayTakeWork(Id_); });
  Handler_.Silent_ = true;
  Poller_.poll(Id_);
  runUntil([&] { return Table_.find(Id_)->Silent_; });
  BOOST_TEST(Handler_.Polls_ == 3);
  BOOST_TEST(Client_.stats().Connects_ == 2);
}
