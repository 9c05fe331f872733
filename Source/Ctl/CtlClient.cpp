#include "Ctl/CtlClient.h"

#include "Core/Common/ErrorCode.h"

#include <boost/json/parse.hpp>

#include <fmt/format.h>

#include <utility>

namespace rattancart {

namespace json = boost::json;

namespace {

CtlAnswer readAnswer(const NetAddress &Address, const HttpResult &Outcome) {
  CtlAnswer Answer;
  if (Outcome.Error_) {
    Answer.Error_ = Outcome.Error_;
    Answer.Detail_ = Address.str();
    Answer.MayHaveTakenEffect_ = Outcome.BytesHandedOver_;
    return Answer;
  }
  Answer.Answered_ = true;
  boost::system::error_code Failure;
  Answer.Body_ = json::parse(Outcome.Response_.Body_, Failure);
  if (Failure) {
    Answer.Error_ = ErrorCode::MalformedResponse;
    Answer.Detail_ = fmt::format("{}: status {}, the body is not JSON", Address.str(),
                                 Outcome.Response_.Status_);
    return Answer;
  }
  if (Outcome.Response_.Status_ == 200)
    return Answer;
  Answer.Error_ = ErrorCode::MalformedResponse;
  Answer.Detail_ = fmt::format("{}: status {}", Address.str(), Outcome.Response_.Status_);
  if (!Answer.Body_.is_object())
    return Answer;
  const json::object &Fields = Answer.Body_.as_object();
  const json::value *Number = Fields.if_contains("error");
  const json::value *Detail = Fields.if_contains("detail");
  if (Number && Number->is_int64())
    Answer.Error_ = static_cast<ErrorCode>(Number->as_int64());
  if (Detail && Detail->is_string())
    Answer.Detail_ = std::string(Detail->as_string());
  return Answer;
}

} // namespace

CtlClient::CtlClient(std::vector<NetAddress> Controls, std::string Token, Duration Timeout)
    : Client_(Loop_), Controls_(std::move(Controls)), Token_(std::move(Token)), Timeout_(Timeout) {}

CtlAnswer CtlClient::send(const std::string &Method, const std::string &Target, std::string Body) {
  CtlAnswer Answer;
  for (const NetAddress &Address : Controls_) {
    Answer = sendTo(Address, Method, Target, Body);
    const bool NotReady = Answer.Error_ == make_error_code(ErrorCode::NotReady);
    if (Answer.Answered_ && !NotReady)
      return Answer;
    if (Method != "GET" && Answer.MayHaveTakenEffect_)
      return Answer;
  }
  return Answer;
}

CtlAnswer CtlClient::sendTo(const NetAddress &Address, const std::string &Method,
                            const std::string &Target, std::string Body) {
  HttpRequest Request;
  Request.Method_ = Method;
  Request.Target_ = Target;
  Request.Body_ = std::move(Body);
  if (!Token_.empty())
    Request.Headers_.add("Authorization", "Bearer " + Token_);
  HttpSendOptions Options;
  Options.Use_ = ConnectionUse::Fresh;
  Options.ResponseTimeout_ = Timeout_;
  CtlAnswer Answer;
  bool Done = false;
  Client_.send(Address, std::move(Request), std::move(Options), [&](const HttpResult &Outcome) {
    Answer = readAnswer(Address, Outcome);
    Done = true;
  });
  Loop_.restart();
  while (!Done && Loop_.run_one() > 0) {
  }
  return Answer;
}

} // namespace rattancart
