#include "platform/PlatformProtocol.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace rattancart;
using namespace rattancart::platform;
using namespace std::chrono_literals;

namespace {

HttpRequest callerRequest() {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/a/1?x=2";
  Request.Body_ = "body";
  for (const auto &[Name, Value] : std::initializer_list<std::pair<const char *, const char *>>{
           {"Host", "h.example"},
           {"X-Attempt-Id", "9c41"},
           {"X-Deadline-Ms", "20000"},
           {"X-Model", "m"},
           {"X-Token-Counts", "1460,80"},
           {"X-Prompt-Prefix", "5c1e:800"},
           {"X-Length-Hint", "55.5"},
           {"Last-Event-Id", "12"},
           {"Authorization", "Token secret"},
           {"X-Tenant", "forged"},
           {"X-Hop-Count", "forged"},
           {"X-Expect-Instance", "forged"},
           {"X-Request-Priority", "0"},
           {"Connection", "keep-alive, X-Private"},
           {"X-Private", "1"},
           {"Transfer-Encoding", "chunked"},
           {"Accept", "text/event-stream"}})
    Request.Headers_.add(Name, Value);
  return Request;
}

struct HeadCase {
  const char *Name_;
  std::uint32_t Status_;
  const char *Header_;
  bool NotRun_;
};

std::ostream &operator<<(std::ostream &Out, const HeadCase &Case) { return Out << Case.Name_; }

const HeadCase HeadCases[] = {
    {"success", 200, "X-Response-Stamp", false},
    {"shed", 503, "X-Not-Executed", true},
    {"another endpoint", 421, "X-Not-Executed", true},
    {"another endpoint, without the header", 421, "X-Instance-Id", true},
    {"408 without a statement", 408, "X-Response-Stamp", false},
    {"429 without a statement", 429, "X-Response-Stamp", false},
    {"503 without a statement", 503, "X-Response-Stamp", false},
    {"500", 500, "X-Response-Stamp", false},
};

/// A list of prompt parts, and the ids of those that other requests may share.
struct PromptPartsCase {
  const char *Name_;
  const char *Header_;
  std::vector<std::string> Shared_;
};

std::ostream &operator<<(std::ostream &Out, const PromptPartsCase &Case) {
  return Out << Case.Name_;
}

const PromptPartsCase PromptPartsCases[] = {
    {"none", "", {}},
    {"the request's own part only", "e440:250", {}},
    {"two shared parts", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", {"5c1e07a2", "91bd3f06"}},
    {"spaces after commas", "5c1e07a2:800, 91bd3f06:410, e4402b7d:250", {"5c1e07a2", "91bd3f06"}},
    {"sizes missing", "5c1e07a2,91bd3f06,e4402b7d", {"5c1e07a2", "91bd3f06"}},
    {"empty entries", ",,:3,5c1e07a2:800,", {"5c1e07a2"}},
};

struct OrderCase {
  std::uint32_t Status_;
  OrderOutcome Outcome_;
};

std::ostream &operator<<(std::ostream &Out, const OrderCase &Case) { return Out << Case.Status_; }

const OrderCase OrderCases[] = {
    {200, OrderOutcome::Accepted}, {202, OrderOutcome::Accepted},
    {409, OrderOutcome::Conflict}, {412, OrderOutcome::Fenced},
    {400, OrderOutcome::NotRun},   {421, OrderOutcome::WrongEndpoint},
    {500, OrderOutcome::Unknown},  {503, OrderOutcome::Unknown},
};

} // namespace

BOOST_DATA_TEST_CASE(ParsesThePromptPartsThatOthersMayShare, PromptPartsCases, Case) {
  HttpRequest Request;
  Request.Headers_.add("X-Prompt-Prefix", Case.Header_);
  std::vector<std::string> Parts;
  for (const PromptPartId &Each : PlatformProtocol().parseRequest(Request).SharedPromptParts_)
    Parts.push_back(Each.str());
  BOOST_TEST(Parts == Case.Shared_, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AReportOfAnotherEndpointIsToldApart) {
  HttpResponse Response;
  Response.Status_ = 421;
  BOOST_TEST((PlatformProtocol().parseReport(Response).error().Code_ == ErrorCode::WrongEndpoint));
  Response.Status_ = 503;
  BOOST_TEST(
      (PlatformProtocol().parseReport(Response).error().Code_ == ErrorCode::MalformedResponse));
}

BOOST_AUTO_TEST_CASE(ParsesTheHeadersOfACaller) {
  const CallerRequest Caller = PlatformProtocol().parseRequest(callerRequest());
  BOOST_TEST(Caller.Id_.str() == "9c41");
  BOOST_TEST((Caller.TimeBudget_ == 20s));
  BOOST_TEST(Caller.Key_ == "secret");
  BOOST_TEST(Caller.PromptTokens_ == 1460);
  BOOST_TEST(Caller.MaxAnswerTokens_ == 80);
  BOOST_TEST(Caller.ExpectedAnswerTokens_.value_or(0) == 55.5);
  BOOST_TEST(Caller.LastEvent_.value_or(0) == 12U);
  const CallerRequest Empty = PlatformProtocol().parseRequest({});
  BOOST_TEST(Empty.Key_.empty());
  BOOST_TEST(!Empty.TimeBudget_.has_value());
  BOOST_TEST(!Empty.LastEvent_.has_value());
}

BOOST_AUTO_TEST_CASE(ForwardsTheRequestAndReplacesTheGatewaysFields) {
  ForwardOptions Options;
  Options.TimeBudget_ = 1500ms;
  Options.Expected_ = EndpointId("i-1");
  Options.Customer_ = CustomerId("c");
  Options.Path_ = {{NetAddress("10.0.0.1:80"), {0, 20}}, {NetAddress("10.0.0.2:80"), {20, 80}}};
  Options.LastEvent_ = 17;
  Options.Priority_ = 30;
  const HttpRequest Sent = PlatformProtocol().requestForEndpoint(callerRequest(), Options);
  BOOST_TEST(Sent.Method_ == "POST");
  BOOST_TEST(Sent.Target_ == "/a/1?x=2");
  BOOST_TEST(Sent.Body_ == "body");
  const auto Field = [&](const char *Name) { return std::string(Sent.Headers_.get(Name)); };
  BOOST_TEST(Field("Host") == "h.example");
  BOOST_TEST(Field("X-Attempt-Id") == "9c41");
  BOOST_TEST(Field("X-Model") == "m");
  BOOST_TEST(Field("X-Token-Counts") == "1460,80");
  BOOST_TEST(Field("X-Prompt-Prefix") == "5c1e:800");
  BOOST_TEST(Field("Accept") == "text/event-stream");
  BOOST_TEST(Field("X-Deadline-Ms") == "1500");
  BOOST_TEST(Field("X-Expect-Instance") == "i-1");
  BOOST_TEST(Field("X-Tenant") == "c");
  BOOST_TEST(Field("X-Hop-Count") == "10.0.0.1:80=0-20,10.0.0.2:80=20-80");
  BOOST_TEST(Field("Last-Event-Id") == "17");
  BOOST_TEST(Field("X-Request-Priority") == "9");
  for (const char *Gone : {"Authorization", "Connection", "Transfer-Encoding", "X-Private"})
    BOOST_TEST(!Sent.Headers_.has(Gone), Gone);
}

BOOST_AUTO_TEST_CASE(WithoutACustomerOrAPathThoseFieldsAreLeftOut) {
  const HttpRequest Sent = PlatformProtocol().requestForEndpoint(callerRequest(), {});
  for (const char *Gone : {"X-Tenant", "X-Hop-Count", "Last-Event-Id"})
    BOOST_TEST(!Sent.Headers_.has(Gone), Gone);
  // Without time left, the smallest valid number is sent.
  BOOST_TEST(Sent.Headers_.get("X-Deadline-Ms") == "1");
}

BOOST_DATA_TEST_CASE(OnlyAStatementOfTheEndpointMeansNotRun, HeadCases, Case) {
  HttpResponse Head;
  Head.Status_ = Case.Status_;
  Head.Headers_.add(Case.Header_, "1");
  BOOST_TEST(PlatformProtocol().parseResponse(Head).NotRun_ == Case.NotRun_);
}

BOOST_AUTO_TEST_CASE(ResponsesKeepTheEndpointsFields) {
  HttpResponse Head;
  Head.Headers_.add("X-Response-Stamp", "3e1b");
  Head.Headers_.add("Content-Length", "5");
  Head.Headers_.add("Keep-Alive", "timeout=5");
  Head.Headers_.add("Content-Type", "text/event-stream");
  const HttpResponse Answer = PlatformProtocol().responseForCaller(Head);
  BOOST_TEST(Answer.Headers_.get("X-Response-Stamp") == "3e1b");
  BOOST_TEST(Answer.Headers_.get("Content-Type") == "text/event-stream");
  BOOST_TEST(!Answer.Headers_.has("Content-Length"));
  BOOST_TEST(!Answer.Headers_.has("Keep-Alive"));
}

BOOST_AUTO_TEST_CASE(ErrorResponsesHaveNoSignature) {
  const HttpResponse Answer =
      PlatformProtocol().errorResponse(503, ErrorCode::NoChain, Duration(1250ms));
  BOOST_TEST(Answer.Status_ == 503U);
  BOOST_TEST(Answer.Headers_.get("Retry-After") == "1.250");
  BOOST_TEST(!Answer.Headers_.has("X-Response-Stamp"));
  BOOST_TEST(Answer.Body_.find("501") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(OrdersStateFenceAndExpectedOrders) {
  PlacementOrder Order;
  Order.Engine_ = EndpointId("i-1");
  Order.Layers_ = {20, 31};
  Order.Fence_ = FencingNumber(6);
  Order.ExpectedOrders_ = 2;
  const HttpRequest Request = PlatformProtocol().orderRequest(Order);
  BOOST_TEST(Request.Headers_.get("X-Expect-Instance") == "i-1");
  const auto Body = boost::json::parse(Request.Body_).as_object();
  BOOST_TEST(Body.at("op").as_string() == "place");
  BOOST_TEST(Body.at("from").to_number<int>() == 20);
  BOOST_TEST(Body.at("target").to_number<int>() == 31);
  BOOST_TEST(Body.at("fencing_token").to_number<int>() == 6);
  BOOST_TEST(Body.at("expect").to_number<int>() == 2);
}

BOOST_DATA_TEST_CASE(ParsesTheResponsesToOrders, OrderCases, Case) {
  HttpResponse Answer;
  Answer.Status_ = Case.Status_;
  BOOST_TEST((PlatformProtocol().parseOrderResponse(Answer) == Case.Outcome_));
}

namespace {

struct LimitHeaderCase {
  const char *Name_;
  std::vector<std::string> Values_;
  AnnouncedLimit::Kind Kind_;
  double PerSecond_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const LimitHeaderCase &Case) {
  return Out << Case.Name_;
}

using LimitKind = AnnouncedLimit::Kind;

const LimitHeaderCase LimitHeaderCases[] = {
    {"absent", {}, LimitKind::None},
    {"a decimal number", {"10.4"}, LimitKind::Limited, 10.4},
    {"a whole number with blanks", {" 3 "}, LimitKind::Limited, 3},
    {"zero", {"0"}, LimitKind::Limited, 0},
    {"so high that it limits nothing", {"1e308"}, LimitKind::Limited, 1e308},
    {"too high for a number", {"1e309"}, LimitKind::Malformed},
    {"negative", {"-1"}, LimitKind::Malformed},
    {"no number", {"nan"}, LimitKind::Malformed},
    {"infinite", {"inf"}, LimitKind::Malformed},
    {"a word", {"few"}, LimitKind::Malformed},
    {"a number and a word", {"3 or so"}, LimitKind::Malformed},
    {"empty", {""}, LimitKind::Malformed},
    {"twice", {"5", "3"}, LimitKind::Limited, 3},
    {"a list", {"3, 5"}, LimitKind::Limited, 3},
    {"twice, one of them a word", {"few", "5"}, LimitKind::Limited, 5},
};

} // namespace

BOOST_DATA_TEST_CASE(LimitOfAnAnswerIsRead, LimitHeaderCases, Case) {
  HttpResponse Head;
  for (const std::string &Value : Case.Values_)
    Head.Headers_.add("Server-Limit", Value);
  const AnnouncedLimit Limit = PlatformProtocol().parseResponse(Head).Limit_;
  BOOST_TEST(static_cast<int>(Limit.Kind_) == static_cast<int>(Case.Kind_));
  BOOST_TEST(Limit.Rate_.PerSecond_ == Case.PerSecond_);
}
