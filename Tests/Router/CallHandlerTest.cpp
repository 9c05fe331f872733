#include "Router/CallHandler.h"
#include "Router/CallHttp.h"

#include <boost/asio/post.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

enum class EndpointFault { None, Refuses, CutBefore, CutAfter, Error, ErrorAfter, Silent, Slow };

/// A service endpoint that counts executions.
class FakeService final : public HttpHandler {
public:
  FakeService(boost::asio::io_context &Loop, Logger &Log)
      : Server_(Loop, {}, *this, Log), Delay_(Loop) {
    BOOST_REQUIRE(!Server_.listen(NetAddress("127.0.0.1:0")));
    Address_ = Server_.address();
  }

  void setFault(EndpointFault Fault) {
    Fault_ = Fault;
    if (Fault == EndpointFault::Refuses)
      Server_.stop();
  }

  void handle(HttpRequest Request, HttpResponderPtr Responder) override {
    Last_ = std::move(Request);
    if (Fault_ == EndpointFault::CutBefore)
      return Responder->abort();
    if (Fault_ == EndpointFault::Error)
      return answer(*Responder, 500);
    ++Executions_;
    switch (Fault_) {
    case EndpointFault::CutAfter:
      return Responder->abort();
    case EndpointFault::ErrorAfter:
      return answer(*Responder, 500);
    case EndpointFault::Silent:
      HeldResponders_.push_back(std::move(Responder));
      return;
    case EndpointFault::Slow:
      return Delay_.after(std::chrono::milliseconds(50), [Responder] { answer(*Responder, 201); });
    default:
      return answer(*Responder, 201);
    }
  }
  static void answer(HttpResponder &Responder, std::uint32_t Status) {
    HttpResponse Response;
    Response.Status_ = Status;
    Response.Headers_.add("x-service", "lift");
    Response.Headers_.add("x-rattancart-outcome", "forged");
    Response.Body_ = "answer";
    Responder.send(std::move(Response));
  }

  HttpServer Server_;
  Timer Delay_;
  NetAddress Address_;
  EndpointFault Fault_ = EndpointFault::None;
  int Executions_ = 0;
  HttpRequest Last_;
  std::vector<HttpResponderPtr> HeldResponders_;
};

/// Answers claims with the replies of a script, one letter each: w won, l lost, i not eligible,
/// d done, u unavailable.
class FakeClaims final : public ClaimClient {
public:
  FakeClaims(boost::asio::io_context &Loop, std::string &Trace) : Loop_(Loop), Trace_(Trace) {}
  bool available() const override { return true; }
  void claim(const RequestId &, const IdempotencyKey &Key, LogOffset Position,
             std::function<void(const ClaimReply &)> Reply) override {
    Trace_ += 'C';
    Key_ = Key;
    Position_ = Position;
    for (const char Letter : Script_) {
      ClaimReply Scripted;
      Scripted.State_ = static_cast<ClaimReply::State>(std::string("wlidu").find(Letter));
      Scripted.Offset_ = LogOffset(42);
      Scripted.Status_ = 201;
      Scripted.Body_ = "recorded";
      boost::asio::post(Loop_, [Reply, Scripted] { Reply(Scripted); });
    }
  }
  void abandon(const RequestId &) override { Trace_ += 'A'; }
  void finish(const RequestId &, const IdempotencyKey &, std::uint32_t Status,
              std::string) override {
    Trace_ += Status == 0 ? 'f' : 'F';
  }
  void release(const RequestId &, const IdempotencyKey &) override { Trace_ += 'R'; }

  std::string Script_;
  IdempotencyKey Key_;
  LogOffset Position_{0};

private:
  boost::asio::io_context &Loop_;
  std::string &Trace_;
};

class FakeResponder final : public HttpResponder {
public:
  explicit FakeResponder(std::string &Trace) : Trace_(Trace) {}
  void send(HttpResponse Response) override {
    Trace_ += 'T';
    Answer_ = std::move(Response);
  }
  void startChunked(HttpResponse) override {}
  void sendChunk(std::string_view) override {}
  void finishChunked() override {}
  void abort() override {}
  bool isOpen() const override { return Open_; }
  std::size_t queuedBytes() const override { return 0; }
  void onClosed(std::function<void()> Handler) override { OnClosed_ = std::move(Handler); }

  std::optional<HttpResponse> Answer_;
  bool Open_ = true;
  std::function<void()> OnClosed_;

private:
  std::string &Trace_;
};

class UnlimitedRetryBudget final : public RetryBudget {
public:
  void onFirstAttempt(const RouteId &, std::uint32_t, TimePoint) override {}
  bool tryConsumeRetry(const RouteId &, TimePoint) override { return true; }
};

enum class Kind { Safe, Idempotent, Once, Keyed, Deduplicated };

/// One call and what must come of it. Trace: C claim, A abandon, F finish, f finish without an
/// answer, R release, T answer sent to the caller.
struct Case {
  Kind Kind_;
  const char *Claims_;
  EndpointFault Fault_;
  const char *Outcome_;
  std::uint32_t Status_;
  int Executions_;
  const char *Trace_;
};
std::ostream &operator<<(std::ostream &Out, const Case &C) {
  return Out << static_cast<int>(C.Kind_) << ' ' << C.Claims_ << ' ' << static_cast<int>(C.Fault_);
}

using F = EndpointFault;

/// The endpoint with the fault is tried first; the other endpoint works.
const Case Cases[] = {
    {Kind::Safe, "", F::None, "done", 201, 1, "T"},
    {Kind::Safe, "", F::Refuses, "done", 201, 1, "T"},
    {Kind::Safe, "", F::CutBefore, "done", 201, 1, "T"},
    {Kind::Safe, "", F::Error, "done", 201, 1, "T"},
    {Kind::Safe, "", F::Slow, "done", 201, 1, "T"},
    {Kind::Safe, "", F::Silent, "done", 201, 2, "T"},
    {Kind::Idempotent, "", F::CutAfter, "done", 201, 2, "T"},
    {Kind::Idempotent, "", F::ErrorAfter, "done", 201, 2, "T"},
    {Kind::Once, "", F::None, "done", 201, 1, "T"},
    {Kind::Once, "", F::Refuses, "done", 201, 1, "T"},
    {Kind::Once, "", F::CutBefore, "unknown", 502, 0, "T"},
    {Kind::Once, "", F::CutAfter, "unknown", 502, 1, "T"},
    {Kind::Once, "", F::Error, "unknown", 500, 0, "T"},
    {Kind::Once, "", F::ErrorAfter, "unknown", 500, 1, "T"},
    {Kind::Once, "", F::Silent, "unknown", 504, 1, "T"},
    {Kind::Once, "", F::Slow, "done", 201, 1, "T"},
    {Kind::Keyed, "w", F::None, "done", 201, 1, "CFT"},
    {Kind::Keyed, "w", F::Refuses, "done", 201, 1, "CFT"},
    {Kind::Keyed, "w", F::CutBefore, "unknown", 502, 0, "CfT"},
    {Kind::Keyed, "w", F::CutAfter, "unknown", 502, 1, "CfT"},
    {Kind::Keyed, "w", F::Error, "unknown", 500, 0, "CFT"},
    {Kind::Keyed, "w", F::ErrorAfter, "unknown", 500, 1, "CFT"},
    {Kind::Keyed, "w", F::Slow, "done", 201, 1, "CFT"},
    {Kind::Keyed, "u", F::None, "unknown", 503, 0, "CAT"},
    {Kind::Keyed, "i", F::None, "unknown", 409, 0, "CT"},
    {Kind::Keyed, "d", F::None, "done", 201, 0, "CT"},
    {Kind::Keyed, "ld", F::None, "done", 201, 0, "CT"},
    {Kind::Keyed, "li", F::None, "unknown", 409, 0, "CT"},
    {Kind::Deduplicated, "", F::None, "done", 201, 1, "T"},
    {Kind::Deduplicated, "", F::CutBefore, "done", 201, 1, "T"},
    {Kind::Deduplicated, "", F::ErrorAfter, "done", 201, 2, "T"},
};

struct Fixture {
  Fixture()
      : Client_(Loop_), Claims_(Loop_, Trace_), First_(Loop_, Log_),
        Second_(Loop_, Log_), Services_{Loop_,           Time_,   Log_,    Client_,
                                        Endpoints_,      Claims_, Random_, DataCenterId("karratha"),
                                        InstanceId("r1")},
        Handler_(Services_, Budget_) {
    addEndpoint("first", First_.Address_, 0);
    addEndpoint("second", Second_.Address_, 50);
  }

  void addEndpoint(const char *Id, const NetAddress &Address, std::uint32_t Queued) {
    Endpoint Added;
    Added.Id_ = EndpointId(Id);
    Added.Address_ = Address;
    Added.DataCenter_ = DataCenterId("karratha");
    Added.Service_ = ServiceId("lift-desk");
    Added.Load_.Queued_ = Queued;
    Endpoints_.apply(Added, Time_.now());
  }

  RoutedRequest request(Kind CallKind, Duration Timeout) {
    auto View = std::make_shared<SettingsView>();
    Route Target;
    Target.Id_ = RouteId("book");
    Target.Service_ = ServiceId("lift-desk");
    Target.Safety_ = CallKind == Kind::Safe         ? CallSafety::Safe
                     : CallKind == Kind::Idempotent ? CallSafety::Idempotent
                                                    : CallSafety::AtMostOnce;
    if (CallKind == Kind::Keyed || CallKind == Kind::Deduplicated) {
      Target.KeySource_ = KeySource::Header;
      Target.KeyName_ = "x-order";
    }
    View->Routes_.push_back(Target);
    ServiceTraits Traits;
    Traits.Service_ = ServiceId("lift-desk");
    Traits.Deduplicates_ = CallKind == Kind::Deduplicated;
    View->Services_[Traits.Service_] = Traits;
    RoutedRequest Request;
    Request.Id_ = RequestId("call-1");
    Request.Http_.Method_ = "POST";
    Request.Http_.Target_ = "/bookings";
    Request.Http_.Headers_.add("x-order", "o 1");
    Request.Http_.Headers_.add("x-rattancart-fence", "99");
    Request.Http_.Headers_.add("connection", "close, x-secret");
    Request.Http_.Headers_.add("x-secret", "s");
    Request.Http_.Body_ = "{}";
    Request.View_ = View;
    Request.Route_ = &View->Routes_[0];
    Request.Customer_ = CustomerId("dust");
    Request.ArrivedAt_ = Time_.now();
    Request.Deadline_ = Time_.now() + Timeout;
    Request.ClaimPosition_ = LogOffset(17);
    Request.Responder_ = Responder_;
    Request.OnFinished_ = [this](const RequestEnd &) { ++Finished_; };
    return Request;
  }

  void run(Kind CallKind, Duration Timeout = std::chrono::minutes(1)) {
    Handler_.handle(request(CallKind, Timeout));
    while (Finished_ == 0 && Loop_.run_one())
      ;
  }

  boost::asio::io_context Loop_;
  SystemClock Time_;
  NullLogger Log_;
  std::string Trace_;
  HttpClient Client_;
  EndpointTable Endpoints_;
  FakeClaims Claims_;
  FakeService First_;
  FakeService Second_;
  std::mt19937_64 Random_{1};
  UnlimitedRetryBudget Budget_;
  RouterServices Services_;
  CallHandler Handler_;
  std::shared_ptr<FakeResponder> Responder_ = std::make_shared<FakeResponder>(Trace_);
  int Finished_ = 0;
};

} // namespace

BOOST_DATA_TEST_CASE(FaultDecidesTheOutcome, data::make(Cases), C) {
  Fixture T;
  T.First_.setFault(C.Fault_);
  T.Claims_.Script_ = C.Claims_;
  T.run(C.Kind_, std::chrono::milliseconds(C.Fault_ == F::Silent ? 400 : 60'000));
  BOOST_REQUIRE(T.Responder_->Answer_);
  BOOST_TEST(T.Responder_->Answer_->Headers_.get("x-rattancart-outcome") == C.Outcome_);
  BOOST_TEST(T.Responder_->Answer_->Status_ == C.Status_);
  BOOST_TEST(T.First_.Executions_ + T.Second_.Executions_ == C.Executions_);
  BOOST_TEST(T.Trace_ == C.Trace_);
  BOOST_TEST(T.Finished_ == 1);
  BOOST_TEST(T.Handler_.inFlight() == 0U);
}

BOOST_DATA_TEST_CASE(NoEndpointLeftIsNotRunWhereProven,
                     data::make({"keyed", "once", "deduplicated"}), Name) {
  Fixture T;
  T.First_.setFault(F::Refuses);
  T.Second_.setFault(F::Refuses);
  T.Claims_.Script_ = "w";
  const std::string KindName = Name;
  T.run(KindName == "keyed" ? Kind::Keyed : KindName == "once" ? Kind::Once : Kind::Deduplicated);
  const bool IsProven = KindName != "deduplicated";
  BOOST_TEST(T.Responder_->Answer_->Headers_.get("x-rattancart-outcome") ==
             (IsProven ? "not-run" : "unknown"));
  // The caller gets the answer before the key is released.
  BOOST_TEST(T.Trace_ == (KindName == "keyed" ? "CTR" : "T"));
}

BOOST_AUTO_TEST_CASE(EndpointGetsTheCallsHeaders) {
  Fixture T;
  T.Claims_.Script_ = "w";
  T.run(Kind::Keyed);
  const HttpHeaders &Sent = T.First_.Last_.Headers_;
  BOOST_TEST(Sent.get("x-rattancart-call") == "call-1");
  BOOST_TEST(Sent.get("idempotency-key") == "o 1");
  BOOST_TEST(Sent.get("x-rattancart-fence") == "42");
  BOOST_TEST(!Sent.has("x-secret"));
  BOOST_TEST(T.Responder_->Answer_->Headers_.get("x-service") == "lift");
  BOOST_TEST(T.Responder_->Answer_->Body_ == "answer");
  BOOST_TEST(T.Claims_.Position_.value() == 17);
  BOOST_TEST(T.Claims_.Key_.str().starts_with("lift-desk/dust/#"));
}

BOOST_AUTO_TEST_CASE(LateAnswerIsRecordedAfterTheDeadline) {
  Fixture T;
  T.Claims_.Script_ = "w";
  T.First_.setFault(F::Silent);
  T.Handler_.handle(T.request(Kind::Keyed, std::chrono::milliseconds(200)));
  while (!T.Responder_->Answer_ && T.Loop_.run_one())
    ;
  BOOST_TEST(T.Responder_->Answer_->Status_ == 504U);
  BOOST_TEST(T.Finished_ == 0);
  FakeService::answer(*T.First_.HeldResponders_.at(0), 201);
  while (T.Finished_ == 0 && T.Loop_.run_one())
    ;
  BOOST_TEST(T.Trace_ == "CTF");
}

BOOST_AUTO_TEST_CASE(LeavingEndpointGetsNoCall) {
  Fixture T;
  T.Endpoints_.markLeaving(EndpointId("first"), Incarnation(0));
  T.run(Kind::Once);
  BOOST_TEST(T.First_.Executions_ == 0);
  BOOST_TEST(T.Second_.Executions_ == 1);
}

BOOST_AUTO_TEST_CASE(GoneCallersClaimIsAbandoned) {
  Fixture T;
  T.Handler_.handle(T.request(Kind::Keyed, std::chrono::minutes(1)));
  T.Responder_->Open_ = false;
  T.Responder_->OnClosed_();
  BOOST_TEST(T.Trace_ == "CA");
  BOOST_TEST(T.Finished_ == 1);
}

struct KeyCase {
  KeySource Source_;
  const char *Name_;
  const char *Header_;
  const char *Body_;
  const char *Key_;
};
std::ostream &operator<<(std::ostream &Out, const KeyCase &C) { return Out << C.Name_ << C.Body_; }

const KeyCase KeyCases[] = {
    {KeySource::None, "", "k1", "", nullptr},
    {KeySource::Header, "x-key", "k1", "", "k1"},
    {KeySource::Header, "x-key", "", "", nullptr},
    {KeySource::JsonPointer, "/order/id", "", R"({"order":{"id":"o7"}})", "o7"},
    {KeySource::JsonPointer, "/order/id", "", R"({"order":{"id":17}})", "17"},
    {KeySource::JsonPointer, "/order/id", "", R"({"order":{"id":""}})", nullptr},
    {KeySource::JsonPointer, "/order/id", "", R"({"order":{"id":null}})", nullptr},
    {KeySource::JsonPointer, "/order/id", "", R"({"order":[]})", nullptr},
    {KeySource::JsonPointer, "/order/id", "", "not json", nullptr},
    {KeySource::JsonPointer, "no pointer", "", "{}", nullptr},
};

BOOST_DATA_TEST_CASE(KeyIsFoundWhereTheRouteSays, data::make(KeyCases), C) {
  Route Target;
  Target.KeySource_ = C.Source_;
  Target.KeyName_ = C.Name_;
  HttpRequest Request;
  Request.Headers_.add("X-Key", C.Header_);
  Request.Body_ = C.Body_;
  const std::optional<IdempotencyKey> Key = findKey(Target, Request);
  BOOST_TEST(Key.has_value() == (C.Key_ != nullptr));
  if (Key && C.Key_)
    BOOST_TEST(Key->str() == C.Key_);
}

BOOST_AUTO_TEST_CASE(ClaimKeysOfDifferentCallsDiffer) {
  const auto Make = [](const char *Service, const char *Customer, const std::string &Key) {
    return claimKey(ServiceId(Service), CustomerId(Customer), IdempotencyKey(Key)).str();
  };
  BOOST_TEST(Make("s", "a", "1") != Make("s", "b", "1"));
  BOOST_TEST(Make("s", "a", "1") != Make("t", "a", "1"));
  BOOST_TEST(Make("s", "a", "b/1") != Make("s", "a/b", "1"));
  const std::string Digest = Make("s", "a", std::string(300, 'x'));
  BOOST_TEST(Digest != Make("s", "a", std::string(301, 'x')));
  BOOST_TEST(Make("s", "a", Digest.substr(4)) != Digest);
}
