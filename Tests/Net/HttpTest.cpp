#include "Core/Common/ErrorCode.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

using namespace rattancart;

namespace {

class EchoHandler final : public HttpHandler {
public:
  void handle(HttpRequest Request, HttpResponderPtr Responder) override {
    ++Count_;
    if (Request.path() == "/silent") {
      Held_ = std::move(Responder);
      Held_->onClosed([this] { CallerDisconnected_ = true; });
      return;
    }
    if (Request.path() == "/chunks") {
      Responder->startChunked({});
      Responder->sendChunk("one ");
      Responder->sendChunk("two");
      Responder->finishChunked();
      return;
    }
    if (Request.path().starts_with("/until-close")) {
      Responder->startUntilClose({});
      Responder->sendChunk("one ");
      Responder->sendChunk("two");
      Held_ = std::move(Responder);
      if (Request.path() == "/until-close")
        Held_->finishChunked();
      return;
    }
    HttpResponse Response;
    Response.Body_ = Request.Method_ + " " + Request.Target_ + " " + Request.Body_;
    Responder->send(std::move(Response));
  }

  int Count_ = 0;
  bool CallerDisconnected_ = false;
  HttpResponderPtr Held_;
};

struct Fixture {
  Fixture() : Server_(Loop_, {}, Handler_, Log_), Client_(Loop_) {
    BOOST_REQUIRE(!Server_.listen(NetAddress("127.0.0.1:0")));
  }

  HttpResult call(HttpRequest Request, HttpSendOptions Options = {}) {
    std::optional<HttpResult> Got;
    Client_.send(Server_.address(), std::move(Request), std::move(Options),
                 [&](HttpResult R) { Got = std::move(R); });
    while (!Got && Loop_.run_one())
      ;
    return *Got;
  }

  boost::asio::io_context Loop_;
  NullLogger Log_;
  EchoHandler Handler_;
  HttpServer Server_;
  HttpClient Client_;
};

HttpRequest get(std::string Target) {
  HttpRequest Request;
  Request.Target_ = std::move(Target);
  return Request;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(RequestsReuseOneConnection, Fixture) {
  for (int Round = 0; Round < 3; ++Round) {
    const HttpResult R = call(get("/a?b=1"));
    BOOST_TEST(!R.Error_);
    BOOST_TEST(R.Response_.Body_ == "GET /a?b=1 ");
  }
  BOOST_TEST(Client_.stats().Connects_ == 1);
}

BOOST_FIXTURE_TEST_CASE(FreshUseOpensAConnection, Fixture) {
  HttpSendOptions Options;
  Options.Use_ = ConnectionUse::Fresh;
  call(get("/"));
  call(get("/"), Options);
  BOOST_TEST(Client_.stats().Connects_ == 2);
}

BOOST_FIXTURE_TEST_CASE(ChunkedAnswerIsRead, Fixture) {
  BOOST_TEST(call(get("/chunks")).Response_.Body_ == "one two");
}

BOOST_FIXTURE_TEST_CASE(AnswerWithoutALengthEndsWithItsConnection, Fixture) {
  const HttpResult Result = call(get("/until-close"));
  BOOST_TEST(!Result.Error_);
  BOOST_TEST(Result.CloseDelimited_);
  BOOST_TEST(Result.Response_.Body_ == "one two");
  BOOST_TEST(Result.Response_.Headers_.get("Connection") == "close");
}

BOOST_FIXTURE_TEST_CASE(AbortedAnswerWithoutALengthIsNotComplete, Fixture) {
  std::optional<HttpResult> Got;
  Client_.send(Server_.address(), get("/until-close-never"), {},
               [&](HttpResult R) { Got = std::move(R); });
  while ((!Handler_.Held_ || Handler_.Held_->queuedBytes() > 0) && Loop_.run_one())
    ;
  Loop_.poll();
  Handler_.Held_->abort();
  while (!Got && Loop_.run_one())
    ;
  BOOST_TEST(Got->Error_ == ErrorCode::ConnectionClosed);
  BOOST_TEST(Got->Refused_);
}

BOOST_FIXTURE_TEST_CASE(RequestToASilentServerTimesOutAndItsHandlerIsNotified, Fixture) {
  HttpSendOptions Options;
  Options.ResponseTimeout_ = std::chrono::milliseconds(50);
  const HttpResult R = call(get("/silent"), Options);
  BOOST_TEST(R.Error_ == ErrorCode::ResponseTimeout);
  BOOST_TEST(R.BytesHandedOver_);
  BOOST_TEST(!R.Refused_);
  while (!Handler_.CallerDisconnected_ && Loop_.run_one())
    ;
  BOOST_TEST(Handler_.CallerDisconnected_);
}

BOOST_FIXTURE_TEST_CASE(RefusedConnectHandsOverNothing, Fixture) {
  const NetAddress Closed = Server_.address();
  Server_.stop();
  std::optional<HttpResult> Got;
  Client_.send(Closed, get("/"), {}, [&](HttpResult R) { Got = std::move(R); });
  while (!Got && Loop_.run_one())
    ;
  BOOST_TEST(Got->Error_ == ErrorCode::ConnectFailed);
  BOOST_TEST(!Got->BytesHandedOver_);
  BOOST_TEST(Got->Refused_);
}

BOOST_FIXTURE_TEST_CASE(BeforeSendCanCancelTheRequest, Fixture) {
  HttpSendOptions Options;
  Options.BeforeSend_ = [] { return false; };
  const HttpResult R = call(get("/"), Options);
  BOOST_TEST(R.Error_ == ErrorCode::Cancelled);
  BOOST_TEST(!R.BytesHandedOver_);
  BOOST_TEST(Handler_.Count_ == 0);
}

BOOST_FIXTURE_TEST_CASE(DrainFinishesTheAnswerInFlight, Fixture) {
  std::optional<HttpResult> Got;
  Client_.send(Server_.address(), get("/silent"), {}, [&](HttpResult R) { Got = std::move(R); });
  while (!Handler_.Held_ && Loop_.run_one())
    ;
  Server_.drain();
  Loop_.poll();
  Handler_.Held_->send({});
  Handler_.Held_.reset();
  while (!Got && Loop_.run_one())
    ;
  BOOST_TEST(!Got->Error_);
  BOOST_TEST(Got->Response_.Headers_.get("connection") == "close");
}
